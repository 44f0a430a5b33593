package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// notReadyRetry is the usual time until a started daemon has read the configuration.
	notReadyRetry = 500 * time.Millisecond
	// noBackendRetry covers the load of a model or the return of a server.
	noBackendRetry = 800 * time.Millisecond
	// defaultRetry spreads the return of callers that were refused without a better time.
	defaultRetry = 400 * time.Millisecond
	// overloadedRetry is the time after which a full server has usually finished some requests.
	overloadedRetry = 150 * time.Millisecond
)

const (
	// retryShare is the share of its remaining time after which a caller can still be served.
	retryShare = 1.0 / 3
	// maxNotReadyRetry is told to callers that state no deadline; outages of the store last seconds.
	maxNotReadyRetry = 2 * time.Second
)

// notReadyRetryAfter returns when a caller should come back to a daemon without a configuration. A started daemon reads it
// within half a second, but while the store is away a caller that returns so early is refused a second time, often its last.
func notReadyRetryAfter(patience time.Duration, storeLost bool) time.Duration {
	switch {
	case !storeLost:
		return notReadyRetry
	case patience > 0:
		return max(time.Duration(float64(patience)*retryShare), notReadyRetry)
	default:
		return maxNotReadyRetry
	}
}

// finish delivers a whole answer and accounts the request. Streams are already delivered.
func (f *Forwarder) finish(w http.ResponseWriter, j *job, c *choice, p *progress, a attempt) {
	if a.whole != nil {
		f.deliver(w, a.whole)
	}
	f.metrics.served(j, time.Since(j.arrived), p.relay.firstEvent(j.arrived))
	f.log.Log(eventlog.RequestServed, "request", j.meta.RequestID, "route", j.route.Name, "version", j.version,
		"server", c.server.ID, "candidates", c.candidates, "predicted", c.predicted, "took", time.Since(j.arrived),
		"first_event", p.relay.firstEvent(j.arrived), "longest_pause", p.relay.longest, "prefill", c.prefill,
		"sent", p.sent+1, "refused", p.refused, "unreached", p.unreached)
}

func (f *Forwarder) deliver(w http.ResponseWriter, whole *wholeAnswer) {
	header := w.Header()
	for name, values := range f.codec.Relay(whole.header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(whole.body)))
	w.WriteHeader(whole.status)
	// A failed write means that the caller left; its request is already accounted.
	_, _ = w.Write(whole.body)
}

// giveUp ends a request that was not served.
func (f *Forwarder) giveUp(w http.ResponseWriter, j *job, p *progress, fail *failure.Failure) {
	f.metrics.failed(j, fail)
	f.logFailure(j, p, fail)
	if p.relay.started {
		// The head is sent, so only a broken connection tells the caller that the stream is not complete.
		panic(http.ErrAbortHandler)
	}
	if p.whole != nil {
		f.deliver(w, p.whole)
		return
	}
	if p.outcome != failure.NotRun && fail.Outcome == failure.NotRun {
		fail = failure.Wrap(p.last.Code, p.outcome, "an earlier attempt may have run", fail)
	}
	f.write(w, fail)
}

func (f *Forwarder) logFailure(j *job, p *progress, fail *failure.Failure) {
	event := eventlog.RequestFailed
	if p.outcome == failure.NotRun && fail.Outcome == failure.NotRun {
		event = eventlog.RequestRefused
	}
	f.log.Log(event, "request", j.meta.RequestID, "route", j.route.Name, "version", j.version, "model", j.meta.Model,
		"adapter", j.meta.Adapter, "code", fail.Code, "outcome", p.outcome, "took", time.Since(j.arrived),
		"sent", p.sent, "refused", p.refused, "unreached", p.unreached, "retry_after", fail.RetryAfter, "reason", fail)
}

// refuse answers a request that was not accepted.
func (f *Forwarder) refuse(w http.ResponseWriter, j *job, fail *failure.Failure) {
	f.log.Log(eventlog.RequestRefused, "request", j.meta.RequestID, "host", j.host, "path", pathOf(j.target), "code", fail.Code,
		"version", f.control.configVersion(), "reason", fail)
	f.metrics.refused(fail)
	if fail.Code == failure.ClientCancelled {
		panic(http.ErrAbortHandler)
	}
	f.write(w, fail)
}

// write sends a failure as an answer of the daemon's own.
func (f *Forwarder) write(w http.ResponseWriter, fail *failure.Failure) {
	status := ownStatus(fail)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter(fail).Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(map[string]any{"error": map[string]any{
		"code": fail.Code, "outcome": fail.Outcome, "message": fail.Message,
	}})
	if err != nil {
		body = []byte("{}")
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the caller left.
	_, _ = w.Write(body)
}

// ownStatus returns the status of a failure. Statuses that promise that nothing ran need that outcome.
func ownStatus(fail *failure.Failure) int {
	status := fail.Code.Status()
	if fail.Outcome == failure.NotRun {
		if status >= http.StatusInternalServerError {
			return http.StatusServiceUnavailable
		}
		return status
	}
	if fail.Code == failure.DeadlineExpired {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func retryAfter(fail *failure.Failure) time.Duration {
	switch {
	case fail.RetryAfter > 0:
		return fail.RetryAfter
	case fail.Code == failure.Overloaded:
		return overloadedRetry
	default:
		return defaultRetry
	}
}
