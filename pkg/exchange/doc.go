// Package exchange sends HTTP/1.1 requests to backend servers over pooled connections.
//
// Unlike the transport of net/http it never retries a request by itself, it reports whether any byte of the request was
// written, and it skips stale responses, which belong to an earlier request on the connection. A connection carries no two
// requests whose responses could not be told apart.
package exchange
