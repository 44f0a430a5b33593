package gateway

import (
	"net/http"

	"trefoilferry.example/ferry/pkg/bytebudget"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/verdict"
)

// attemptResult is the result of sending a request to one server.
type attemptResult struct {
	// fail is nil when the stream was delivered completely, or when response holds a successful response.
	fail *failure.Failure
	// head is that of the server's response; its zero value stands for none.
	head verdict.Response
	// response is a complete response that has not been written to the caller yet. It is also set, together with fail,
	// for a signed error response of the server.
	response *bufferedResponse
	// delivered is set once a part of a stream has been written to the caller.
	delivered bool
	// suspect is set if the connection broke soon after the response had begun, so that the prompt may have crashed the
	// server.
	suspect bool
	// superseded holds the ids of the servers that had the request as well and were cancelled because of this response.
	superseded []string
}

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// share is what the response holds of the budget for received bytes.
	share *bytebudget.Share
}
