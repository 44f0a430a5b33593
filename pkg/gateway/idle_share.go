package gateway

import "trefoilferry.example/ferry/pkg/exchange"

// idleConnectionShare is the part of the connections that a server accepts which all daemons together may keep idle. The
// rest is for requests in progress.
const idleConnectionShare = 0.5

// idleShare returns how many idle connections one of so many daemons (0 if unknown) may keep to a server that accepts
// maxConnections in total, 0 if unknown.
func idleShare(maxConnections, daemons int) int {
	if maxConnections <= 0 {
		return exchange.DefaultMaxIdle
	}
	if daemons <= 0 {
		daemons = assumedDaemons
	}
	return max(min(int(float64(maxConnections)*idleConnectionShare)/daemons, exchange.DefaultMaxIdle), 1)
}
