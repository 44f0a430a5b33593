package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

const (
	// transferredShare is the share of the shared parts that a runner is expected to have cached after a transfer: the
	// source may have evicted some of them.
	transferredShare = 0.9
	// transferSetup is the time that a transfer takes besides its bytes.
	transferSetup = 2 * time.Millisecond
	// minTransferGain is the least time that a transfer must save.
	minTransferGain = 20 * time.Millisecond
)

// cacheTransfer is the plan to fetch the shared parts of a prompt from the runner that has probably cached them.
type cacheTransfer struct {
	// source is that runner; empty if a transfer does not pay.
	source string
	// took is the time that the transfer takes.
	took time.Duration
}

// planTransfer plans a transfer of the shared tokens from their owner. Reading them again takes accelerator time, which
// also delays the streams in progress.
func planTransfer(engine *fleet.Engine, shared int, owner string) cacheTransfer {
	if engine == nil || owner == "" || engine.TransferMbps <= 0 || engine.CacheTokenBytes <= 0 {
		return cacheTransfer{}
	}
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	seconds := float64(shared) * engine.CacheTokenBytes * bitsPerByte / (engine.TransferMbps * bitsPerMegabit)
	took := transferSetup + time.Duration(seconds*float64(time.Second))
	if prefillTime(int(transferredShare*float64(shared)))-took < minTransferGain {
		return cacheTransfer{}
	}
	return cacheTransfer{source: owner, took: took}
}
