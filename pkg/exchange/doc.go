// Package exchange sends HTTP/1.1 requests to backend servers over pooled connections.
//
// Unlike net/http's transport it never repeats a request by itself, it tells whether a byte of the request
// reached the network, and it skips late answers that belong to an earlier request of the connection.
package exchange
