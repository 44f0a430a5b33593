package gateway

import "net/http"

// hasContentCoding reports whether a response is encoded. Callers ask for bodies without any encoding, and backend servers
// send none, so that an encoded body comes from elsewhere.
func hasContentCoding(h http.Header) bool {
	for _, coding := range h.Values("Content-Encoding") {
		if coding != "" {
			return true
		}
	}
	return false
}
