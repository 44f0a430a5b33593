package gatewaydaemon

import (
	"time"

	"trefoilferry.example/ferry/pkg/gateway"
)

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
	// waitShare is the share of the time after the last arrival in which requests may still wait for a server.
	waitShare = 0.5
)

// stopSchedule divides the stop grace of a daemon.
type stopSchedule struct {
	// accept is how long new connections are served, and requests taken, after readiness has ended.
	accept time.Duration
	// start is how long a request that was taken may wait for a server; the rest is left for running it.
	start time.Duration
	// finish is how long requests in progress may take, counted from the signal.
	finish time.Duration
}

func newStopSchedule(grace time.Duration) stopSchedule {
	margin := min(maxStopMargin, time.Duration(stopMarginShare*float64(grace)))
	accept, finish := min(balancerUpdateTime, time.Duration(maxAcceptShare*float64(grace))), grace-margin
	return stopSchedule{accept: accept, start: accept + time.Duration(waitShare*float64(finish-accept)), finish: finish}
}

// plan returns the stop plan for requests of a daemon that was told to stop at the given time.
func (s stopSchedule) plan(signalled time.Time) gateway.StopPlan {
	return gateway.StopPlan{LastArrival: signalled.Add(s.accept), LastStart: signalled.Add(s.start), End: signalled.Add(s.finish)}
}
