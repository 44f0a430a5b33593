package placement

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rankEpoch is the time for which a runner stays first choice for a missing copy. A first choice that does not
// act, for a reason that the others cannot see, is passed over in the next epoch.
const rankEpoch = 20 * time.Second

// rankBuffer is enough for common names; longer ones are moved to the heap.
const rankBuffer = 160

// rank is the rendezvous hash of a model version and a runner.
func rank(key Key, runner string, epoch int64) uint64 {
	var buffer [rankBuffer]byte
	b := append(buffer[:0], key.Model...)
	b = append(append(b, 0), key.Version...)
	b = append(append(b, 0), runner...)
	b = strconv.AppendInt(append(b, 0), epoch, 10)
	return xxhash.Sum64(b)
}
