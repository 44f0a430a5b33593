package gateway

import "testing"

// Load pattern: a burst at all daemons, after which each keeps its connections. Guards against idle connections that fill
// the number which a server accepts, so that it resets new ones.
func TestIdleConnectionsOfAllDaemonsLeaveRoom(t *testing.T) {
	for _, c := range []struct{ daemons, accepted int }{{1, 110}, {5, 110}, {31, 230}, {103, 680}, {350, 940}} {
		share := idleShare(c.accepted, c.daemons)
		if total := share * c.daemons; share < 1 || total > c.accepted/2 {
			t.Errorf("%d daemons, %d connections accepted: %d idle each, %d in all, want at least 1 each and %d in all", c.daemons, c.accepted, share, total, c.accepted/2)
		}
	}
}
