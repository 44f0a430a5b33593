package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"trefoilferry.example/ferry/pkg/allowance"
	"trefoilferry.example/ferry/pkg/bytebudget"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/quarantine"
)

// responseMargin is the time that a response takes to reach the caller.
const responseMargin = 15 * time.Millisecond

// Forwarder is the HTTP handler that forwards callers' requests to backend servers.
type Forwarder struct {
	control *Control
	backend *backend
	chooser *chooser
	budgets *budgets
	demand  *Demand
	board   *quarantine.Board
	crashes *crashWatch
	codec   Codec
	log     *eventlog.Logger
	metrics *Metrics
	// stop is what a stopping daemon does with requests; responses then ask callers to close the connection.
	stop *stopState
	// allowances are this daemon's parts of the quotas of workspaces; nil for none.
	allowances *allowance.Table
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	share := f.backend.pool.Budget().Share()
	defer share.Release()
	j, fail := f.accept(w, r, arrived, share)
	f.announceClose(w)
	if plan := f.stop.current(); fail == nil && !plan.takes(time.Now()) {
		f.returnQuota(j)
		fail = stopFailure("the daemon is stopping and takes no more requests")
	}
	if fail != nil {
		f.rejectRequest(w, j, fail)
		return
	}
	f.budgets.recordRequest(j.service.Name, arrived)
	f.metrics.recordRequest(j)
	if j.needsModel() {
		f.demand.recordRequest(demandKey(j), estimateWork(&j.meta))
	}
	f.serve(r.Context(), w, j)
}

// announceClose makes a response that has not begun ask the caller to close the connection if the daemon is stopping.
func (f *Forwarder) announceClose(w http.ResponseWriter) {
	if f.stop.begun() {
		w.Header().Set("Connection", "close")
	}
}

// accept decodes a request, resolves its route and reads its body, which the share holds. The returned job is never nil, so
// that a failure can be logged with it.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request, arrived time.Time, share *bytebudget.Share) (*job, *failure.Failure) {
	j := &job{method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header, arrived: arrived, tried: map[string]bool{}}
	view := f.control.View()
	meta, err := f.codec.DecodeRequest(r.Header)
	j.meta = meta
	if view.Config == nil {
		return j, failure.New(failure.NotReady, failure.NotRun, "no configuration has been read yet").
			WithRetryAfter(notReadyRetryAfter(meta.Timeout, f.control.storeUnavailable.Load()))
	}
	if err != nil {
		return j, failure.From(err)
	}
	route := view.Config.Match(hostName(r.Host), requestPath(r.RequestURI))
	if route == nil {
		return j, failure.New(failure.NotFound, failure.NotRun, "no route matches the host and path")
	}
	j.route, j.version, j.keyed = route, view.Config.Version, view.Keys != nil
	if fail := f.authorize(r.Context(), j); fail != nil {
		return j, fail
	}
	j.service = view.Config.Services[route.Service(j.routeHash())]
	j.maxIdle = idleShare(j.service.MaxConnections, f.control.daemonCount())
	j.chain = prefixChain(&j.meta)
	j.setDeadline()
	j.parts = sharedParts(&j.meta)
	body, fail := readBody(w, r, view.Config.Limits, share)
	j.body = body
	if fail == nil {
		fail = f.barred(j, arrived)
	}
	if fail == nil {
		fail = f.takeQuota(r.Context(), j)
	}
	return j, fail
}

func (j *job) setDeadline() {
	if j.meta.Timeout > 0 {
		j.callerDeadline = j.arrived.Add(j.meta.Timeout)
		j.deadline = j.callerDeadline.Add(-responseMargin)
	}
	if t := j.route.Timeout; t > 0 {
		if end := j.arrived.Add(t); j.deadline.IsZero() || end.Before(j.deadline) {
			j.deadline = end
		}
	}
}

// readBody reads the whole body into the share, so that retries can send it again. A body whose length the share cannot
// hold is refused before it is read.
func readBody(w http.ResponseWriter, r *http.Request, limits fleet.Limits, share *bytebudget.Share) ([]byte, *failure.Failure) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = maxBufferedBytes
	}
	if r.ContentLength > limit {
		return nil, failure.New(failure.BodyTooLarge, failure.NotRun, "the request body is too long")
	}
	in := http.MaxBytesReader(w, r.Body, limit)
	var body []byte
	var err error
	if r.ContentLength > 0 {
		if err = share.Hold(r.ContentLength); err == nil {
			body = make([]byte, r.ContentLength)
			_, err = io.ReadFull(in, body)
		}
	} else {
		body, err = share.ReadAll(in, limit)
	}
	if err == nil {
		return body, nil
	}
	if failure.HasCode(err, failure.BodyTooLarge) {
		return nil, failure.Wrap(failure.Overloaded, failure.NotRun, "the request body cannot be held now", err)
	}
	if _, ok := err.(*http.MaxBytesError); ok {
		return nil, failure.New(failure.BodyTooLarge, failure.NotRun, "the request body is too long")
	}
	return nil, unreadableBody(w, err)
}

// hostName returns the host without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// requestPath returns the path of a request target as the caller wrote it.
func requestPath(target string) string {
	if rest, ok := strings.CutPrefix(target, "http://"); ok {
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			target = rest[i:]
		}
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

func demandKey(j *job) DemandKey {
	return DemandKey{Service: j.service.Name, Model: j.meta.Model, Adapter: j.meta.Adapter}
}
