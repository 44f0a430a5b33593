// Package httpvalid rejects responses that net/http reads although they are not valid HTTP.
package httpvalid

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// minStatus and maxStatus bound the status codes of HTTP (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

// CheckResponse fails with code FrameMismatch and outcome Unknown if the head of a response is invalid. The caller closes
// the body then. Otherwise, the body of the response fails in place of its end if its trailer is invalid.
func CheckResponse(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return invalid(fmt.Sprintf("the response has status %.16q, want %d to %d", resp.Status, minStatus, maxStatus))
	}
	if err := checkFieldNames(resp.Header); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerChecker{ReadCloser: resp.Body, resp: resp}
	}
	return nil
}

// checkFieldNames fails if a name is not a token (RFC 9110, section 5.1). net/http reads names with blanks: the one before
// the colon of "Content-Length : 5" makes it another field, so that the response counts as one without a length.
func checkFieldNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return invalid(fmt.Sprintf("the response has a field with the invalid name %.64q", name))
		}
	}
	return nil
}

func invalid(message string) error {
	return failure.New(failure.FrameMismatch, failure.Unknown, message)
}
