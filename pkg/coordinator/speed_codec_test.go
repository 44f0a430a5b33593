package coordinator

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
)

// Guards against statements that are attributed to another runner or lost on the way, and against news of all runners that
// fill the holder's link.
func TestSpeedsAreEncodedByRunner(t *testing.T) {
	now := time.Unix(8000, 0)
	var speeds []statedSpeed
	for i := range uint32(100) {
		speeds = append(speeds, statedSpeed{index: 700 - 7*i, slowness: 0.55 + float64(i)/100, at: now.Add(-time.Duration(i) * time.Millisecond)})
	}
	numbers := encodeSpeeds(speeds, now)
	got := decodeSpeeds(numbers, now)
	if len(got) != len(speeds) {
		t.Fatalf("%d statements decoded, want %d", len(got), len(speeds))
	}
	for i, s := range speeds {
		if g := got[i]; g.index != s.index || math.Abs(g.slowness-s.slowness) > 0.006 || !g.at.Equal(s.at) {
			t.Errorf("decoded %+v, want %+v", g, s)
		}
	}
	if n := proto.Size(&ferrypb.FleetView{Speeds: numbers}); n > 5*len(speeds) {
		t.Errorf("%d statements take %d bytes, want at most five each", len(speeds), n)
	}
}

// Guards against panics and impossible speeds from another writer.
func TestOddSpeedsAreIgnored(t *testing.T) {
	now := time.Unix(8000, 0)
	for _, numbers := range [][]uint32{nil, {1}, {1, 100}, {1, 0, 5}, {1, math.MaxUint32, 5}, {1, 100, math.MaxUint32}} {
		if got := decodeSpeeds(numbers, now); len(got) != 0 {
			t.Errorf("%v: %+v, want none", numbers, got)
		}
	}
	for _, odd := range []float64{math.Inf(1), -5, 0} {
		if got := decodeSpeeds(encodeSpeeds([]statedSpeed{{index: 1, slowness: odd, at: now.Add(time.Hour)}}, now), now); len(got) != 1 || got[0].slowness <= 0 || got[0].slowness > maxSpeedPercent/100 || got[0].at.After(now) {
			t.Errorf("slowness %v decoded as %+v, want it bounded and not from the future", odd, got)
		}
	}
}
