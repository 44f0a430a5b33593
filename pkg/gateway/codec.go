package gateway

import "net/http"

// Codec translates between the platform's headers and the gateway's types.
type Codec interface {
	// DecodeRequest decodes the header of a caller's request. Errors have code BadRequest.
	DecodeRequest(h http.Header) (RequestMeta, error)
	// AttemptHeader returns the header to send to a backend server with one attempt.
	AttemptHeader(h http.Header, meta AttemptMeta) http.Header
	// DecodeResponse decodes the header of a backend server's response.
	DecodeResponse(status int, h http.Header) ResponseMeta
	// ResponseHeader returns the header of the response to the caller, given that of the backend server's response.
	ResponseHeader(h http.Header) http.Header
}
