package verdict

import (
	"net/http"

	"trefoilferry.example/ferry/pkg/failure"
)

// PromisesNotRun reports whether a status tells a caller that its request has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// CallerStatus returns the status of a failure of the gateway. Statuses that promise "not run" are used only for outcome
// NotRun.
func CallerStatus(code failure.Code, outcome failure.Outcome) int {
	status := code.Status()
	switch {
	case outcome == failure.NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case outcome == failure.NotRun:
		return status
	case code == failure.DeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
