package coordinator

import (
	"slices"
	"time"
)

// LoadLimits bound loads from the weight store over all runners.
type LoadLimits struct {
	Window time.Duration
	// Factor times the store's rate is the number of loads that may begin in a window.
	Factor float64
}

// loadRate counts the loads from the store that began within the window. Orders that were carried out late count from
// when they were seen, so the allowance keeps a reserve.
type loadRate struct {
	limits LoadLimits
	starts []time.Time
}

const (
	// loadReserve is the share of the allowance that is kept for loads that begin later than their order.
	loadReserve = 0.25
	// overlapShare is the share of the allowance that each of two holders uses while they may act beside each other.
	overlapShare = 0.5
)

// allowed returns how many loads may begin now. settled is set when no other holder can be acting.
func (l *loadRate) allowed(perSecond float64, settled bool, now time.Time) int {
	share := 1 - loadReserve
	if !settled {
		share *= overlapShare
	}
	limit := int(perSecond * l.limits.Window.Seconds() * l.limits.Factor * share)
	return max(limit, 1) - len(l.recent(now))
}

// recent returns the loads that began within the window.
func (l *loadRate) recent(now time.Time) []time.Time {
	l.starts = slices.DeleteFunc(l.starts, func(t time.Time) bool { return now.Sub(t) > l.limits.Window })
	return l.starts
}

func (l *loadRate) began(now time.Time) { l.starts = append(l.starts, now) }
