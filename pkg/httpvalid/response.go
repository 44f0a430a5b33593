// Package httpvalid rejects responses that net/http reads although they are not valid HTTP.
package httpvalid

import (
	"fmt"
	"net/http"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// minStatus and maxStatus bound the status codes of HTTP (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

// CheckResponse fails with code FrameMismatch and outcome Unknown if the head of a response is invalid. The caller closes
// its body.
func CheckResponse(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return invalid(fmt.Sprintf("the response has status %.16q, want %d to %d", resp.Status, minStatus, maxStatus))
	}
	return nil
}

func invalid(message string) error {
	return failure.New(failure.FrameMismatch, failure.Unknown, message)
}
