package lease

import (
	"fmt"
	"testing"
	"time"
)

// Load pattern: a fleet of 18 hosts with 0.8 cores and 85 with 0.144 cores loses its holder. Guards against a weak host
// that takes the lease while strong ones are there: it answers the reports of all others too late, and each of them then
// reads the store (scale-2 of apdd-orders-large), and against a take-over that becomes slower for it.
func TestStrongHostsTakeTheLease(t *testing.T) {
	const strong, weak, positions = 18, 85, 200
	taken, total := 0, time.Duration(0)
	for position := range int64(positions) {
		first, byStrong := time.Hour, false
		for i := range strong + weak {
			cores := 0.144
			if i < strong {
				cores = 0.8
			}
			if d := takeoverDelay(strong+weak, cores, fmt.Sprint("host-", i), position); d < first {
				first, byStrong = d, i < strong
			}
		}
		total += first
		if byStrong {
			taken++
		}
	}
	if taken != positions {
		t.Errorf("leases taken by strong hosts: %d of %d, want all", taken, positions)
	}
	if mean := total / positions; mean > 100*time.Millisecond {
		t.Errorf("mean delay of the first host: %v, want at most 100 ms", mean)
	}
}

// Guards against small fleets, or fleets of weak hosts only, that wait long for a new holder, and against one host that
// always goes first.
func TestTakeoverDelayFitsTheFleet(t *testing.T) {
	for _, c := range []struct {
		daemons int
		cores   float64
		most    time.Duration
	}{{5, 0.304, 80 * time.Millisecond}, {5, 0, 50 * time.Millisecond}, {350, 0.144, 2 * maxTakeoverSpread}} {
		for position := range int64(50) {
			if d := takeoverDelay(c.daemons, c.cores, "host", position); d < 0 || d > c.most {
				t.Errorf("delay at %d daemons with %v cores: %v, want at most %v", c.daemons, c.cores, d, c.most)
			}
		}
	}
	if a, b := takeoverDelay(100, 1, "host", 1), takeoverDelay(100, 1, "host", 2); a == b {
		t.Errorf("delay at two positions of the record: %v and %v, want two", a, b)
	}
}
