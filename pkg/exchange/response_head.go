package exchange

import (
	"io"
	"net/http"
)

// answer is the head of a server's answer and its unread body. The body reads from the connection, which its owner
// closes or reuses.
type answer struct {
	status int
	header http.Header
	length int64
	body   io.Reader
	// last is set when the server closes the connection after the answer.
	last bool
}

func newAnswer(resp *http.Response) *answer {
	return &answer{
		status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, body: resp.Body,
		last: resp.Close || !resp.ProtoAtLeast(1, 1) || resp.StatusCode == http.StatusSwitchingProtocols,
	}
}
