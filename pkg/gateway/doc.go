// Package gateway is the entry daemon for callers that use the platform's own request protocol.
//
// It forwards each request to a backend server of the service that the request's route names, with retries and resumed
// event streams. The platform's names and formats are kept out of this package by the interfaces Codec, ConfigSource
// and ServerSource.
package gateway
