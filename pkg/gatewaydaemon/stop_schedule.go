package gatewaydaemon

import "time"

const (
	// balancerUpdateTime is the time for which the platform's balancer may still send new connections after readiness
	// has ended.
	balancerUpdateTime = 2500 * time.Millisecond
	// releaseTimeout is the timeout for releasing the lease.
	releaseTimeout = 400 * time.Millisecond
	// maxStopMargin is enough to release the lease and to exit on a slow host.
	maxStopMargin = 900 * time.Millisecond
	// stopMarginShare bounds the margin of a short stop grace: requests in progress may count on most of the grace.
	stopMarginShare = 0.125
	// maxAcceptShare leaves a part of a short stop grace for the requests of the last new connections.
	maxAcceptShare = 0.625
)

// stopSchedule divides the stop grace of a daemon.
type stopSchedule struct {
	// accept is how long new connections are served after readiness has ended.
	accept time.Duration
	// finish is how long requests in progress may take, counted from the signal.
	finish time.Duration
}

func newStopSchedule(grace time.Duration) stopSchedule {
	margin := min(maxStopMargin, time.Duration(stopMarginShare*float64(grace)))
	return stopSchedule{accept: min(balancerUpdateTime, time.Duration(maxAcceptShare*float64(grace))), finish: grace - margin}
}
