package exchange

import (
	"io"
	"net/http"
)

// responseHead is the head of a server's response with its unread body. The body is read from the connection, whose
// owner closes or reuses it.
type responseHead struct {
	status int
	header http.Header
	// length is that of the body; -1 if unknown.
	length int64
	body   io.Reader
	// closesConn is set if the connection cannot be reused after the response.
	closesConn bool
	// unframed is set if the body has neither a length nor chunks, so that only the end of the connection ends it.
	unframed bool
}

func newResponseHead(resp *http.Response) *responseHead {
	return &responseHead{
		status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, body: resp.Body,
		unframed:   resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
		closesConn: resp.Close || !resp.ProtoAtLeast(1, 1) || resp.StatusCode == http.StatusSwitchingProtocols,
	}
}
