package exchange

// accepts reports whether a response that arrived on the connection belongs to the current request. A response that
// names no request is accepted for the first request of the connection only. The connection is not reused after it:
// the server's next response would name none either, and could not be told from a second copy of this one.
func (c *conn) accepts(req *Request, a *responseHead) bool {
	if req.Unnamed == nil || !req.Unnamed(a.header) {
		return req.Matches == nil || req.Matches(a.header)
	}
	if c.sent > 1 {
		return false
	}
	a.closesConn = true
	return true
}
