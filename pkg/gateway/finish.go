package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/verdict"
)

const (
	// startupRetryAfter is the usual time until a daemon that just started has read the configuration.
	startupRetryAfter = 500 * time.Millisecond
	// noBackendRetryAfter covers the time to load a model or for a server to return.
	noBackendRetryAfter = 800 * time.Millisecond
	// defaultRetryAfter is used for failures without a better estimate.
	defaultRetryAfter = 400 * time.Millisecond
	// overloadedRetryAfter is the time after which a full server has usually finished some requests.
	overloadedRetryAfter = 150 * time.Millisecond
)

const (
	// outageRetryShare is the share of a caller's timeout after which it can retry and still be served.
	outageRetryShare = 1.0 / 3
	// outageRetryAfter is used for callers without a timeout; outages of the store last seconds.
	outageRetryAfter = 2 * time.Second
)

// notReadyRetryAfter returns the Retry-After for a daemon without a configuration. A daemon that starts reads it within
// half a second, but while the store is unavailable a caller that retries so soon is refused again, and that retry is
// often its last.
func notReadyRetryAfter(clientTimeout time.Duration, storeUnavailable bool) time.Duration {
	switch {
	case !storeUnavailable:
		return startupRetryAfter
	case clientTimeout > 0:
		return max(time.Duration(float64(clientTimeout)*outageRetryShare), startupRetryAfter)
	default:
		return outageRetryAfter
	}
}

// completeRequest writes a buffered response, and records and logs the served request. Streams are already written.
func (f *Forwarder) completeRequest(w http.ResponseWriter, j *job, c *choice, p *progress, a attemptResult) {
	if a.response != nil {
		f.writeResponse(w, j, a.response)
	}
	f.metrics.recordServed(j, time.Since(j.arrived), p.relay.firstEvent(j.arrived))
	f.log.Log(eventlog.RequestServed, "request", j.meta.RequestID, "route", j.route.Name, "version", j.version,
		"server", c.server.ID, "status", a.head.Status, "candidates", c.candidates, "predicted", c.predicted, "slowness", c.slowness, "took", time.Since(j.arrived),
		"first_event", p.relay.firstEvent(j.arrived), "longest_pause", p.relay.longestPause, "prefill", c.prefill,
		"sent", p.sent+1, "refused", p.refused, "unreached", p.unreached,
		"superseded", strings.Join(a.superseded, ","))
}

func (f *Forwarder) writeResponse(w http.ResponseWriter, j *job, resp *bufferedResponse) {
	header := w.Header()
	for name, values := range f.codec.ResponseHeader(resp.header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(resp.body)))
	w.WriteHeader(resp.status)
	f.writeBody(w, j, resp.body)
}

// failRequest ends a request whose attempts failed: with the last error response of a server if there is one, otherwise
// with an error of the gateway. A stream that has begun is aborted.
func (f *Forwarder) failRequest(w http.ResponseWriter, j *job, p *progress, fail *failure.Failure) {
	f.metrics.recordFailure(j, fail)
	told := p.callersFailure(fail)
	if told.Outcome == failure.NotRun {
		f.returnQuota(j)
	}
	f.logFailure(j, p, fail, p.toldStatus(told))
	if p.relay.started {
		f.metrics.recordAborted(fail)
		// The response header has been sent, so only an aborted connection shows the caller that the stream is incomplete.
		panic(http.ErrAbortHandler)
	}
	if p.failureResponse != nil {
		f.writeResponse(w, j, p.failureResponse)
		return
	}
	f.writeFailure(w, told)
}

// callersFailure returns the failure that the caller of a request is told when its last step failed.
func (p *progress) callersFailure(fail *failure.Failure) *failure.Failure {
	if p.outcome != failure.NotRun && fail.Outcome == failure.NotRun {
		return failure.Wrap(p.last.Code, p.outcome, "an earlier attempt may have been executed", fail)
	}
	return fail
}

// toldStatus returns the status of the response that ends a failed request; 0 if a stream is aborted.
func (p *progress) toldStatus(told *failure.Failure) int {
	switch {
	case p.relay.started:
		return 0
	case p.failureResponse != nil:
		return p.failureResponse.status
	default:
		return verdict.CallerStatus(told.Code, told.Outcome)
	}
}

// logFailure logs a failed request with the status that its caller is told.
func (f *Forwarder) logFailure(j *job, p *progress, fail *failure.Failure, told int) {
	f.metrics.recordTold(told, p.outcome)
	event := eventlog.RequestFailed
	if p.outcome == failure.NotRun && fail.Outcome == failure.NotRun {
		event = eventlog.RequestRefused
	}
	f.log.Log(event, "request", j.meta.RequestID, "route", j.route.Name, "version", j.version, "model", j.meta.Model,
		"adapter", j.meta.Adapter, "code", fail.Code, "outcome", p.outcome, "told", told, "took", time.Since(j.arrived),
		"sent", p.sent, "refused", p.refused, "unreached", p.unreached, "retry_after", fail.RetryAfter,
		"not_retried", p.obstacle, "aborted", p.relay.started, "reason", fail)
}

// rejectRequest responds to a request that failed before its first attempt.
func (f *Forwarder) rejectRequest(w http.ResponseWriter, j *job, fail *failure.Failure) {
	f.log.Log(eventlog.RequestRefused, "request", j.meta.RequestID, "host", j.host, "path", requestPath(j.target), "code", fail.Code,
		"told", verdict.CallerStatus(fail.Code, fail.Outcome), "version", f.control.configVersion(), "reason", fail)
	f.metrics.recordRefusal(fail)
	f.metrics.recordTold(verdict.CallerStatus(fail.Code, fail.Outcome), fail.Outcome)
	if fail.Code == failure.ClientCancelled {
		f.metrics.recordAborted(fail)
		panic(http.ErrAbortHandler)
	}
	f.writeFailure(w, fail)
}

// writeFailure responds to the caller with a failure as JSON.
func (f *Forwarder) writeFailure(w http.ResponseWriter, fail *failure.Failure) {
	status := verdict.CallerStatus(fail.Code, fail.Outcome)
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
	// A failed write means that the caller disconnected.
	_, _ = w.Write(body)
}

// retryAfter returns the Retry-After of a failure, or a default if it has none.
func retryAfter(fail *failure.Failure) time.Duration {
	switch {
	case fail.RetryAfter > 0:
		return fail.RetryAfter
	case fail.Code == failure.Overloaded:
		return overloadedRetryAfter
	default:
		return defaultRetryAfter
	}
}
