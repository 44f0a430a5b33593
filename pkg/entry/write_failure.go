package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/verdict"
)

// HTTP headers of the API for callers.
const (
	headerRequestID  = "X-Request-Id"
	headerOutcome    = "X-Ferry-Outcome"
	headerWorkspace  = "X-Workspace"
	headerKey        = "Idempotency-Key"
	headerRetryAfter = "Retry-After"
)

// errorBody is the body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id"`
}

func failureBody(requestID string, f *failure.Failure) []byte {
	body := errorBody{Error: errorDetail{
		Message:   f.Message,
		Type:      errorType(statusOf(f)),
		Code:      string(f.Code),
		Outcome:   string(f.Outcome),
		RequestID: requestID,
	}}
	// Encoding cannot fail: the struct has only strings.
	data, _ := json.Marshal(body)
	return data
}

// errorType returns the error type of the OpenAI API for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// statusOf returns the status of a failure. Clients that do not know the outcome header take some statuses for the promise
// that the request has not run; these are used only for outcome NotRun.
func statusOf(f *failure.Failure) int {
	status := f.Code.Status()
	if f.Outcome != failure.NotRun && verdict.PromisesNotRun(status) {
		return verdict.CallerStatus(f.Code, f.Outcome)
	}
	return status
}

// writeFailure sends an error response. No response may have been started before.
func writeFailure(w http.ResponseWriter, requestID string, f *failure.Failure) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRequestID, requestID)
	h.Set(headerOutcome, string(f.Outcome))
	if seconds := retryAfterSeconds(f); seconds > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(seconds))
	}
	w.WriteHeader(statusOf(f))
	_, _ = w.Write(failureBody(requestID, f))
}

// retryAfterSeconds returns the value of the Retry-After header; 0 means none. The default for statuses 429 and 503 is
// 1 s.
func retryAfterSeconds(f *failure.Failure) int {
	if f.RetryAfter > 0 {
		return int(math.Ceil(f.RetryAfter.Seconds()))
	}
	if status := statusOf(f); status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return 1
	}
	return 0
}
