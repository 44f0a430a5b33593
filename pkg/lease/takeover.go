package lease

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// takeoverSpread is the time over which takeovers are spread for each daemon, so that most of them see the record of
	// the first one, which takes some tens of milliseconds, before their own turn.
	takeoverSpread = 10 * time.Millisecond
	// maxTakeoverSpread bounds the delay when most of the daemons are lost together.
	maxTakeoverSpread = time.Second
	// strongCores is the processor capacity from which a host can lead a large fleet: the holder answers some hundred
	// reports a second.
	strongCores = 0.5
	// assumedDaemons is used until the number of daemons is known.
	assumedDaemons = 32
)

// takeoverDelay returns how much longer than needed a daemon waits before it takes the lease of another one, given the
// number of daemons and the cores of its host (0 if unknown). It depends on a hash of the daemon's name and the position
// of the record, so that daemons take turns. The first of n strong hosts waits takeoverSpread on average, whatever their
// number; weaker hosts give way to them.
func takeoverDelay(daemons int, cores float64, name string, position int64) time.Duration {
	if daemons <= 0 {
		daemons = assumedDaemons
	}
	weakness := 0.0
	if cores > 0 {
		weakness = 1 - min(cores/strongCores, 1)
	}
	turn := float64(xxhash.Sum64String(name+"/"+strconv.FormatInt(position, 10))) / (1 << 64)
	spread := min(time.Duration(daemons)*takeoverSpread, maxTakeoverSpread)
	return time.Duration((turn + weakness) * float64(spread))
}
