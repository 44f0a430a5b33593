package placement

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rankEpoch is how long a runner stays the first choice for a missing copy. If the first choice does not act, for a
// reason that the other runners cannot see, the next epoch ranks the runners differently.
const rankEpoch = 20 * time.Second

// rankBuffer is the buffer size in bytes that common names need; longer names are hashed in a buffer on the heap.
const rankBuffer = 160

// rank returns the rendezvous hash of a model version and a runner in an epoch.
func rank(key ModelKey, runner string, epoch int64) uint64 {
	var buffer [rankBuffer]byte
	b := append(buffer[:0], key.Model...)
	b = append(append(b, 0), key.Version...)
	b = append(append(b, 0), runner...)
	b = strconv.AppendInt(append(b, 0), epoch, 10)
	return xxhash.Sum64(b)
}
