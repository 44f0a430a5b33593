package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// newHandoverRun is newHedgeRun for a service of model runners, of which one at a time has a request.
func newHandoverRun(t *testing.T, kind fleet.Kind, servers int, steps ...serverStep) *hedgeRun {
	t.Helper()
	r := newHedgeRun(t, kind, servers, steps...)
	r.j.service.Engine = &fleet.Engine{}
	return r
}

// Guards against an answer that is lost while its request moves from a silent model runner to another one, against runners
// that go on with a request which another one has, and against offers that are not paid for or paid for twice.
func TestRequestOfASilentRunnerMovesOnceItIsTaken(t *testing.T) {
	const ok, refused, failed = http.StatusOK, http.StatusServiceUnavailable, http.StatusInternalServerError
	const soon, beside, late = time.Millisecond, 130 * time.Millisecond, 300 * time.Millisecond
	for name, c := range map[string]struct {
		kind     fleet.Kind
		servers  int
		steps    []serverStep
		status   int
		arrivals int
	}{
		"no silence":                                  {fleet.Idempotent, 2, []serverStep{{soon, ok}}, ok, 1},
		"second answers":                              {fleet.Idempotent, 2, []serverStep{{0, 0}, {soon, ok}}, ok, 2},
		"second answers late":                         {fleet.Idempotent, 2, []serverStep{{0, 0}, {late, ok}, {late, ok}}, ok, 3},
		"second refuses late, first answers":          {fleet.Idempotent, 2, []serverStep{{2 * late, ok}, {late, refused}, {late, refused}}, ok, 3},
		"second is late, first fails":                 {fleet.Idempotent, 3, []serverStep{{2 * late, failed}, {late, ok}, {late, ok}}, ok, 3},
		"second was late and fails":                   {fleet.Idempotent, 3, []serverStep{{0, 0}, {late, ok}, {soon, failed}, {soon, ok}}, http.StatusGatewayTimeout, 3},
		"second refuses, first answers":               {fleet.Idempotent, 2, []serverStep{{late, ok}, {soon, refused}}, ok, 2},
		"second fails, first answers":                 {fleet.Idempotent, 2, []serverStep{{late, ok}, {soon, failed}}, ok, 2},
		"first answers while the second is asked":     {fleet.Idempotent, 2, []serverStep{{beside, ok}, {late, ok}}, ok, 2},
		"first answers while the second is silent":    {fleet.Idempotent, 2, []serverStep{{beside, ok}, {0, 0}}, ok, 2},
		"second refuses, first is presumed dead":      {fleet.Idempotent, 2, []serverStep{{0, 0}, {soon, refused}, {soon, ok}}, ok, 3},
		"first fails while the second is asked":       {fleet.Idempotent, 2, []serverStep{{beside, failed}, {late, ok}}, ok, 2},
		"first refuses while the second is asked":     {fleet.Idempotent, 2, []serverStep{{beside, refused}, {late, ok}}, ok, 2},
		"second refuses, third answers":               {fleet.Idempotent, 3, []serverStep{{0, 0}, {soon, refused}, {soon, ok}}, ok, 3},
		"all others refuse":                           {fleet.Idempotent, 5, []serverStep{{0, 0}, {soon, refused}, {soon, refused}, {soon, refused}}, http.StatusGatewayTimeout, 4},
		"both fail":                                   {fleet.Idempotent, 2, []serverStep{{late, failed}, {soon, failed}}, failed, 2},
		"must not run twice":                          {fleet.NonIdempotent, 2, []serverStep{{late, ok}, {soon, ok}}, ok, 1},
		"first answers as the second's time runs out": {fleet.Idempotent, 2, []serverStep{{75*time.Millisecond + handoverLimit, ok}, {0, 0}}, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHandoverRun(t, c.kind, c.servers, c.steps...)
			w := httptest.NewRecorder()
			r.f.serve(t.Context(), w, r.j)
			if w.Code == ok && !time.Now().Before(r.j.deadline) {
				t.Error("the answer was held until the deadline")
			}
			// Whichever comes first decides in the last case.
			if n := int(r.arrivals.Load()); (w.Code != c.status && c.status != 0) || n != c.arrivals {
				t.Errorf("status %d after %d arrivals, want %d after %d: %s", w.Code, n, c.status, c.arrivals, w.Body)
			}
			if n := r.paid(); n != c.arrivals-1 {
				t.Errorf("%d retries paid for, want %d", n, c.arrivals-1)
			}
			r.checkEnded(t)
		})
	}
}

// Guards against runners that go on with a request whose caller has left while it was offered, or after it has moved.
func TestCallerThatLeavesEndsTheOffer(t *testing.T) {
	for name, c := range map[string]struct {
		after    time.Duration
		arrivals int32
	}{
		"offered":   {130 * time.Millisecond, 2},
		"withdrawn": {75*time.Millisecond + 2*handoverLimit, 2},
		"moved":     {900 * time.Millisecond, 3},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHandoverRun(t, fleet.Idempotent, 3, serverStep{})
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(c.after, leave)
			r.f.serve(ctx, httptest.NewRecorder(), r.j)
			if n := r.arrivals.Load(); n != c.arrivals || ctx.Err() == nil || !time.Now().Before(r.j.deadline) {
				t.Errorf("%d arrivals, caller left: %v; want %d before the caller leaves", n, ctx.Err(), c.arrivals)
			}
			r.checkEnded(t)
		})
	}
}

// Guards against a panic beside the goroutine of the request, which would end the process.
func TestPanicInAnOfferEndsOnlyItsRequest(t *testing.T) {
	for name, after := range map[string]time.Duration{"while it is open": time.Millisecond, "after the request has moved": 2 * handoverLimit} {
		t.Run(name, func(t *testing.T) {
			r := newHandoverRun(t, fleet.Idempotent, 2, serverStep{}, serverStep{after, http.StatusTeapot}, serverStep{after, http.StatusTeapot})
			defer func() {
				if cause, ok := recover().(string); !ok || !strings.Contains(cause, "DecodeResponse") {
					t.Errorf("panic of the request: %v, want the one of its offer with its stack", cause)
				}
			}()
			r.f.serve(t.Context(), httptest.NewRecorder(), r.j)
		})
	}
}

// Load pattern: the servers beside a silent one are full. Guards against a quota from which each refusal takes the units of a
// run, because the request was to run a second time.
func TestRefusedRepeatsCostNoQuota(t *testing.T) {
	for name, newRun := range map[string]func(*testing.T, fleet.Kind, int, ...serverStep) *hedgeRun{"model runners": newHandoverRun, "plain servers": newHedgeRun} {
		t.Run(name, func(t *testing.T) {
			refusal := serverStep{time.Millisecond, http.StatusServiceUnavailable}
			r := newRun(t, fleet.Idempotent, 2, serverStep{300 * time.Millisecond, http.StatusOK}, refusal)
			quota, request := quotaForwarder(5000, 0)
			r.f.allowances = quota.allowances
			r.j.workspace, r.j.quotaUnits = request(0, 0).workspace, 1000
			w := httptest.NewRecorder()
			r.f.serve(t.Context(), w, r.j)
			if w.Code != http.StatusOK || r.arrivals.Load() != 2 {
				t.Fatalf("status %d after %d arrivals, want 200 after 2", w.Code, r.arrivals.Load())
			}
			if taken := r.f.allowances.Stats()[AllowanceName("w")].Taken; taken != 0 {
				t.Errorf("units taken for the refused run: %v, want them given back", taken)
			}
		})
	}
}
