package placement

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rankEpoch is the time for which a runner stays first choice for a missing copy. A first choice that does not
// act, for a reason that the others cannot see, is passed over in the next epoch.
const rankEpoch = 20 * time.Second

// rank is the rendezvous hash of a model version and a runner.
func rank(key Key, runner string, epoch int64) uint64 {
	return xxhash.Sum64String(key.Model + "\x00" + key.Version + "\x00" + runner + "\x00" + strconv.FormatInt(epoch, 10))
}
