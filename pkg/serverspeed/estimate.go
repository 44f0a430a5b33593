package serverspeed

import "time"

// Estimate is what is known of the speed of a server at a moment.
type Estimate struct {
	// Slowness is how long work is expected to take at this moment, as a multiple of the usual time; 1 is as usual.
	Slowness float64
	// Mean is the slowness over the last seconds, without what the server stated for a moment.
	Mean float64
	// Age is the time since the newest evidence; negative if there is none.
	Age time.Duration
	// Spread is the mean ratio between single pieces of evidence and the estimate, from 1.
	Spread float64
}

// usual is the estimate for servers of which nothing is known or nothing matters.
var usual = Estimate{Slowness: 1, Mean: 1, Age: -1, Spread: 1}
