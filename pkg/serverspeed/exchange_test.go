package serverspeed

import (
	"testing"
	"time"
)

// Load: a server is heard of ten times a second and turns slow once. Guards against news that is passed on again and again,
// late, or when it is old.
func TestExchangePassesChangesOn(t *testing.T) {
	x, passed := NewExchange(), 0
	now := begin
	for k := range 100 {
		before := now
		now = now.Add(100 * time.Millisecond)
		slowness := 1.2
		if k >= 50 {
			slowness = 3
		}
		x.Record(4, slowness, now.Add(-20*time.Millisecond), now)
		x.Record(4, 8, now.Add(-50*time.Millisecond), now)
		x.Record(4, 8, now.Add(-maxStatementAge-time.Second), now)
		x.News(before, now, func(index uint32, got float64, at time.Time) {
			passed++
			if index != 4 || got != slowness || now.Sub(at) != 20*time.Millisecond {
				t.Errorf("step %d: news of server %d, %v from %v ago, want %v", k, index, got, now.Sub(at), slowness)
			}
		})
		if k == 50 && x.servers[4].slowness != 3 {
			t.Error("a server that turned slow is not passed on at once")
		}
	}
	if passed < 3 || passed > 6 {
		t.Errorf("%d statements passed on in 10 s, want about one in 3 s and the change", passed)
	}
	x.Forget(4)
	x.News(time.Time{}, now, func(uint32, float64, time.Time) { t.Error("news of a server that is gone") })
}
