package entry

import (
	"net/http"
	"slices"
	"strings"

	"trefoilferry.example/ferry/api/ferrypb"
)

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Host":                true,
	"Expect":              true,
}

// entryHeaders are the response headers that only the entry host sets; a service's values for them are dropped.
var entryHeaders = map[string]bool{
	headerRequestID: true,
	headerOutcome:   true,
}

// forwardable reports whether a header field may be passed on; connHeaders are those of connectionHeaders.
func forwardable(name string, connHeaders map[string]bool) bool {
	canonical := http.CanonicalHeaderKey(name)
	return !hopByHopHeaders[canonical] && !connHeaders[canonical]
}

// connectionHeaders returns the headers listed in the Connection header, which must not be forwarded either.
func connectionHeaders(fields []*ferrypb.Header) map[string]bool {
	out := map[string]bool{}
	for _, f := range fields {
		if !strings.EqualFold(f.GetName(), "Connection") {
			continue
		}
		for name := range strings.SplitSeq(f.GetValue(), ",") {
			out[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}

// forwardedHeader returns the header fields to send to the service, sorted by name, with the request id.
func forwardedHeader(header http.Header, id string) []*ferrypb.Header {
	var all []*ferrypb.Header
	for name, values := range header {
		for _, v := range values {
			all = append(all, &ferrypb.Header{Name: name, Value: v})
		}
	}
	hop := connectionHeaders(all)
	out := slices.DeleteFunc(all, func(f *ferrypb.Header) bool {
		return !forwardable(f.GetName(), hop) || f.GetName() == headerRequestID
	})
	out = append(out, &ferrypb.Header{Name: headerRequestID, Value: id})
	slices.SortStableFunc(out, func(a, b *ferrypb.Header) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out
}
