// Package gateway is the entry daemon towards callers that speak a platform's own request protocol.
//
// It forwards each request to a backend server of its route's service. Foreign names and formats stay behind the
// interfaces Codec, ConfigSource and ServerSource.
package gateway
