package allowance

import "github.com/cespare/xxhash/v2"

// Use is what a daemon tells the holder of its part of one allowance. All but ID are in units; Received and Returned are
// totals since the first answer of the holder.
type Use struct {
	ID       uint64
	Received float64
	Returned float64
	// Available is what the daemon may still use, parts from earlier holders included.
	Available float64
	// Wanted is what requests wait for, First the units of the one that is served first, or of a
	// usual request if none waits.
	Wanted float64
	First  float64
	// Spare is what the daemon wants to hold for requests to come.
	Spare float64
	// Recent is what the daemon used within the window of the limit, in equal parts of it, the latest first. It counts when the
	// holder hears first of the daemon's part.
	Recent [recentParts]float64
	// Rate is what requests lately took a second.
	Rate float64
	// Gained is what the daemon gained while it heard of no lending holder, in total like Received.
	Gained float64
}

// recentParts is the number of parts of a window in which recent use is told.
const recentParts = 4

// ID returns the identifier of an allowance in messages.
func ID(name string) uint64 { return xxhash.Sum64String(name) }
