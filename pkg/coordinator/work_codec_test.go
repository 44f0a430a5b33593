package coordinator

import (
	"maps"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
)

// Guards against work that is attributed to another runner or lost on the way to the holder and back.
func TestWorkIsEncodedByRunner(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	for range 100 {
		work := map[uint32]runnerWork{}
		for range random.IntN(200) {
			work[random.Uint32N(4000)] = runnerWork{requests: random.IntN(64), promptTokens: random.IntN(400) * workTokenUnit}
		}
		if got := decodeWork(encodeWork(work)); !maps.Equal(got, work) {
			t.Fatalf("decoded work %v, want %v", got, work)
		}
	}
	if got := decodeWork([]uint32{5, 1, 2, 1, 9}); len(got) != 1 || got[5] != (runnerWork{requests: 1, promptTokens: 2 * workTokenUnit}) {
		t.Errorf("work of an incomplete message: %v, want that of runner 5 only", got)
	}
}

// Load pattern: each of 300 daemons is told the work at 1,000 busy runners several times a second; the holder sent 11
// MB/s. Guards against an encoding that grows again.
func TestEncodedWorkIsSmall(t *testing.T) {
	const runners, maxBytesEach = 1000, 5
	work := map[uint32]runnerWork{}
	for i := range uint32(runners) {
		work[3*i] = runnerWork{requests: int(i % 64), promptTokens: int(i * 40)}
	}
	if n := proto.Size(&ferrypb.FleetView{Work: encodeWork(work)}); n > maxBytesEach*runners {
		t.Errorf("work at %d runners takes %d bytes, want at most %d", runners, n, maxBytesEach*runners)
	}
}
