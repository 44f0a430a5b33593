package entry

import (
	"net/http"
	"slices"
	"strings"

	"trefoilferry.example/ferry/api/ferrypb"
)

// hopHeaders belong to one connection and are never passed on.
var hopHeaders = map[string]bool{
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

// own lists the answer headers that only the entry host sets.
var own = map[string]bool{
	headerRequestID: true,
	headerOutcome:   true,
}

func forwardable(name string, hop map[string]bool) bool {
	canonical := http.CanonicalHeaderKey(name)
	return !hopHeaders[canonical] && !hop[canonical]
}

// connectionHeaders returns the headers that the Connection header names as belonging to the connection.
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

// forwardedHeader returns the request header for the service, in the order of names, with the request's id.
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
