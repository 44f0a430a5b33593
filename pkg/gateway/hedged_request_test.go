package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/exchange"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/quarantine"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

// hedgeTarget is the target latency of the requests; a server is silent after three quarters of it.
const hedgeTarget = 100 * time.Millisecond

// hedgeCodec is namedCodec with response headers passed on. It panics on responses with the header Panic.
type hedgeCodec struct{ namedCodec }

func (hedgeCodec) ResponseHeader(h http.Header) http.Header { return h }

func (c hedgeCodec) DecodeResponse(status int, h http.Header) ResponseMeta {
	if h.Get("Panic") != "" {
		panic("test")
	}
	return c.namedCodec.DecodeResponse(status, h)
}

// serverStep is how the nth server that gets the request behaves: it waits, for the end of its connection if wait is 0,
// and responds with a status; 421 and 503 declare that the request was not executed.
type serverStep struct {
	wait   time.Duration
	status int
}

// hedgeRun plays one request against servers that act in the order in which the request reaches them.
type hedgeRun struct {
	f        *Forwarder
	j        *job
	arrivals atomic.Int32
	// atWork is the number of servers that work on the request.
	atWork atomic.Int32
}

func newHedgeRun(t *testing.T, kind fleet.Kind, servers int, steps ...serverStep) *hedgeRun {
	t.Helper()
	r := &hedgeRun{}
	view := &View{Servers: map[string]fleet.Server{}, ByService: map[string][]string{}, ServersKnown: true, ServersAt: time.Now()}
	for n := range servers {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			r.atWork.Add(1)
			defer r.atWork.Add(-1)
			r.act(w, req, steps[int(r.arrivals.Add(1)-1)%len(steps)])
		}))
		t.Cleanup(s.Close)
		id := string(rune('a' + n))
		view.Servers[id] = fleet.Server{ID: id, Service: "plain", Address: s.Listener.Addr().String(), StartMillis: 1, Slots: 4}
		view.ByService["plain"] = append(view.ByService["plain"], id)
	}
	control := NewControl(eventlog.Discard(), NewPollTiming(time.Second))
	control.view.Store(view)
	r.f = NewForwarder(ForwarderConfig{Control: control, Pool: exchange.NewPool(), Tracker: NewTracker(), Demand: NewDemand(),
		Board: quarantine.NewBoard(), Limits: serverlimit.NewTable(rand.Float64), Codec: hedgeCodec{}, Log: eventlog.Discard(),
		Metrics: NewMetrics(prometheus.NewRegistry()), Budget: BudgetLimits{Slack: hedgeBudget * assumedDaemons / budgetSafetyFactor, Window: time.Minute}})
	r.j = &job{route: &fleet.Route{Kind: kind, MaxAttempts: 2, TargetLatency: hedgeTarget}, service: fleet.Service{Name: "plain"},
		meta: RequestMeta{RequestID: "id"}, method: "GET", target: "/x", host: "h", header: http.Header{}, tried: map[string]bool{},
		arrived: time.Now(), deadline: time.Now().Add(time.Second)}
	return r
}

// hedgeBudget is the number of retries that the budget of a hedgeRun permits.
const hedgeBudget = 5

func (r *hedgeRun) act(w http.ResponseWriter, req *http.Request, step serverStep) {
	if step.wait == 0 {
		<-req.Context().Done()
		return
	}
	time.Sleep(step.wait)
	w.Header().Set("Id", "id")
	w.Header().Set("Signed", "1")
	if step.status == http.StatusServiceUnavailable || step.status == http.StatusMisdirectedRequest {
		w.Header().Set("Refused", "1")
	}
	if step.status == http.StatusTeapot {
		w.Header().Set("Panic", "1")
	}
	w.WriteHeader(step.status)
}

// paid returns how many retries of the budget were spent. It spends the others.
func (r *hedgeRun) paid() int {
	left := 0
	for r.f.budgets.take("plain", 0, time.Now()) {
		left++
	}
	return hedgeBudget - left
}

// Guards against an answer of the first server that is lost because another one got the request as well and refused it or
// failed, against one that is waited for in vain, and against requests that are paid for twice or sent too often; requests
// that must not run twice are sent once whatever their server does.
func TestSilentServerIsHedged(t *testing.T) {
	const ok, refused, failed = http.StatusOK, http.StatusServiceUnavailable, http.StatusInternalServerError
	const soon, late = time.Millisecond, 300 * time.Millisecond
	for name, c := range map[string]struct {
		kind     fleet.Kind
		servers  int
		steps    []serverStep
		status   int
		arrivals int
	}{
		"no silence":                          {fleet.Idempotent, 2, []serverStep{{soon, ok}}, ok, 1},
		"second answers":                      {fleet.Idempotent, 2, []serverStep{{0, 0}, {soon, ok}}, ok, 2},
		"second refuses, first answers":       {fleet.Idempotent, 2, []serverStep{{late, ok}, {soon, refused}}, ok, 2},
		"second fails, first answers":         {fleet.Idempotent, 3, []serverStep{{late, ok}, {soon, failed}}, ok, 2},
		"first fails, second answers":         {fleet.Idempotent, 3, []serverStep{{late, failed}, {late, ok}}, ok, 2},
		"first refuses, second answers":       {fleet.Idempotent, 2, []serverStep{{late, refused}, {late, ok}}, ok, 2},
		"second refuses, third answers":       {fleet.Idempotent, 3, []serverStep{{0, 0}, {soon, refused}, {soon, ok}}, ok, 3},
		"both silent, no third":               {fleet.Idempotent, 3, []serverStep{{0, 0}, {0, 0}, {soon, ok}}, http.StatusGatewayTimeout, 2},
		"second refuses, first fails":         {fleet.Idempotent, 3, []serverStep{{late, failed}, {soon, refused}, {late, ok}}, ok, 3},
		"first fails, second refuses":         {fleet.Idempotent, 3, []serverStep{{late, failed}, {late, refused}, {soon, ok}}, ok, 3},
		"both fail":                           {fleet.Idempotent, 3, []serverStep{{late, failed}, {soon, failed}, {soon, ok}}, failed, 2},
		"no other server":                     {fleet.Idempotent, 1, []serverStep{{late, ok}}, ok, 1},
		"must not run twice, first is silent": {fleet.NonIdempotent, 2, []serverStep{{late, ok}, {soon, ok}}, ok, 1},
		"must not run twice, first fails":     {fleet.NonIdempotent, 2, []serverStep{{late, failed}, {soon, ok}}, failed, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHedgeRun(t, c.kind, c.servers, c.steps...)
			w := httptest.NewRecorder()
			r.f.serve(t.Context(), w, r.j)
			if n := int(r.arrivals.Load()); w.Code != c.status || n != c.arrivals {
				t.Errorf("status %d after %d arrivals, want %d after %d: %s", w.Code, n, c.status, c.arrivals, w.Body)
			}
			if n := r.paid(); n != c.arrivals-1 {
				t.Errorf("%d retries paid for, want %d", n, c.arrivals-1)
			}
			r.checkEnded(t)
		})
	}
}

// checkEnded checks that nothing of the request outlasts it for half a second.
func (r *hedgeRun) checkEnded(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(500 * time.Millisecond); r.atWork.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n, used := r.atWork.Load(), r.f.backend.pool.Budget().Used(); n != 0 || used != 0 {
		t.Errorf("%d servers still work on the request and %d bytes are reserved for it, want none", n, used)
	}
}

// Guards against servers that go on with a request whose caller has left.
func TestCallerThatLeavesEndsAllAttempts(t *testing.T) {
	r := newHedgeRun(t, fleet.Idempotent, 3, serverStep{})
	r.j.deadline = time.Now().Add(time.Minute)
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(3*hedgeTarget, leave)
	w := httptest.NewRecorder()
	r.f.serve(ctx, w, r.j)
	if n := r.arrivals.Load(); n != 2 || ctx.Err() == nil {
		t.Errorf("%d arrivals, caller left: %v; want 2 before the caller leaves", n, ctx.Err())
	}
	r.checkEnded(t)
}

// Guards against two attempts at model runners, where a request must not go on at one while another one works on it, and
// against joining streams or repeating requests that may run once.
func TestOnlyRepeatableRequestsToPlainServicesAreHedged(t *testing.T) {
	for _, c := range []struct {
		route  fleet.Route
		engine *fleet.Engine
		want   bool
	}{
		{fleet.Route{Kind: fleet.Idempotent}, nil, true}, {fleet.Route{Kind: fleet.Idempotent}, &fleet.Engine{}, false},
		{fleet.Route{Kind: fleet.NonIdempotent}, nil, false}, {fleet.Route{Kind: fleet.Streaming, Resumable: true}, nil, false},
	} {
		if got := (&job{route: &c.route, service: fleet.Service{Engine: c.engine}}).hedged(); got != c.want {
			t.Errorf("route %+v with engine %v hedged: %v", c.route, c.engine, got)
		}
	}
}

// Guards against a panic in an attempt that ends the process: net/http ends only the request, if its goroutine panics.
func TestPanicInAnAttemptEndsOnlyItsRequest(t *testing.T) {
	r := newHedgeRun(t, fleet.Idempotent, 2, serverStep{}, serverStep{time.Millisecond, http.StatusTeapot})
	defer func() {
		if cause, ok := recover().(string); !ok || !strings.Contains(cause, "DecodeResponse") {
			t.Errorf("panic of the request: %v, want the one of its attempt with its stack", cause)
		}
		r.checkEnded(t)
	}()
	r.f.serve(t.Context(), httptest.NewRecorder(), r.j)
}

// Guards against an answer that promises that a request was not executed although one of its two servers may have executed
// it, and against an answer of the gateway's own where a server has given one.
func TestFailureOfAHedgedRequestKeepsTheDoubt(t *testing.T) {
	refusal := serverStep{time.Millisecond, http.StatusServiceUnavailable}
	for silent, want := range map[serverStep]int{{}: http.StatusGatewayTimeout, {300 * time.Millisecond, http.StatusInternalServerError}: http.StatusInternalServerError} {
		r := newHedgeRun(t, fleet.Idempotent, 2, silent, refusal)
		w := httptest.NewRecorder()
		r.f.serve(t.Context(), w, r.j)
		if w.Code != want {
			t.Errorf("silent server %+v, the other one refuses: status %d, want %d: %s", silent, w.Code, want, w.Body)
		}
	}
}
