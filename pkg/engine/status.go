package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// headerRequestID is the request header that engines echo in the response.
const headerRequestID = "X-Request-Id"

// maxErrorBodyBytes limits the part of an error response that is read.
const maxErrorBodyBytes = 64 << 10

// StatusError is the cause of a failure that an engine reported with an HTTP error status.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Body is the response body, truncated to 64 KiB.
	Body []byte
}

// Error returns the status and the response body.
func (e *StatusError) Error() string {
	return strconv.Itoa(e.Status) + " " + string(e.Body)
}

// ErrorBody is the JSON body of an engine's error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error of an engine.
type ErrorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    failure.Code `json:"code"`
}

// statusError reads the error response. Without an error message in the body, the message states the HTTP status.
func statusError(resp *http.Response) (*StatusError, ErrorDetail) {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	var body ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Message == "" {
		body.Error.Message = "engine responded with status " + resp.Status
	}
	return &StatusError{Status: resp.StatusCode, Body: data}, body.Error
}

// checkResponse verifies that the response is an event stream and belongs to the request.
func checkResponse(resp *http.Response, requestID string) error {
	if resp.StatusCode != http.StatusOK {
		return generateFailure(resp)
	}
	if resp.Header.Get(headerRequestID) != requestID {
		return failure.New(failure.FrameMismatch, failure.Unknown, fmt.Sprintf("engine response belongs to another request, want request %q", requestID))
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return failure.New(failure.EngineFailed, failure.Ran, fmt.Sprintf("engine response has content type %.64q, want text/event-stream", resp.Header.Get("Content-Type")))
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

// retryAfter returns the value of the Retry-After header in seconds; 0 if it is absent or invalid.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
