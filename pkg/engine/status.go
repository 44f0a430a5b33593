package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// headerRequestID is echoed by engines.
const headerRequestID = "X-Request-Id"

// maxErrorBytes bounds the part of an error answer that is kept.
const maxErrorBytes = 64 << 10

// StatusError is the cause of failures that an engine answered with an error status.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Body is the leading part of the engine's answer.
	Body []byte
}

// Error returns the status and the text of the answer.
func (e *StatusError) Error() string {
	return strconv.Itoa(e.Status) + " " + string(e.Body)
}

// ErrorBody is the JSON form of an engine's errors.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is one error of an engine.
type ErrorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    failure.Code `json:"code"`
}

func statusError(resp *http.Response) (*StatusError, ErrorDetail) {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var body ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Message == "" {
		body.Error.Message = "engine answered " + resp.Status
	}
	return &StatusError{Status: resp.StatusCode, Body: data}, body.Error
}

// checkAnswer accepts the start of an event stream that belongs to the request.
func checkAnswer(resp *http.Response, requestID string) error {
	if resp.StatusCode != http.StatusOK {
		return generateFailure(resp)
	}
	if resp.Header.Get(headerRequestID) != requestID {
		return failure.New(failure.FrameMismatch, failure.Unknown, "engine answered another request")
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return failure.New(failure.EngineFailed, failure.Ran, "engine answered without an event stream")
	}
	return nil
}

func generateFailure(resp *http.Response) error {
	cause, detail := statusError(resp)
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		code := failure.Overloaded
		if detail.Code == failure.NotLoaded {
			code = failure.NotLoaded
		}
		return failure.Wrap(code, failure.NotRun, detail.Message, cause).WithRetryAfter(retryAfter(resp))
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return failure.Wrap(failure.BadRequest, failure.Ran, detail.Message, cause)
	default:
		return failure.Wrap(failure.EngineFailed, failure.Ran, detail.Message, cause)
	}
}

func orderFailure(resp *http.Response) error {
	cause, detail := statusError(resp)
	refused := resp.StatusCode >= 400 && resp.StatusCode < 500 ||
		resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusInsufficientStorage
	if !refused {
		return failure.Wrap(failure.OrderFailed, failure.Unknown, detail.Message, cause)
	}
	switch detail.Code {
	case failure.OrderFenced, failure.MemoryExhausted, failure.NotLoaded:
		return failure.Wrap(detail.Code, failure.NotRun, detail.Message, cause)
	default:
		return failure.Wrap(failure.OrderFailed, failure.NotRun, detail.Message, cause)
	}
}

// retryAfter reads the header Retry-After in seconds; 0 without one.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
