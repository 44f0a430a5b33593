package coordinator

import (
	"slices"
	"time"
)

// LoadLimits limits the loads from the weight store over all runners together.
type LoadLimits struct {
	// Window is the length of the sliding window in which loads are counted.
	Window time.Duration
	// Factor times the rate of the store is the number of loads that may start per second of the window.
	Factor float64
}

// loadLimiter counts the loads from the store that started within the window. A load counts from when it was planned,
// but the runner may start it later, so part of the allowance is kept in reserve.
type loadLimiter struct {
	limits LoadLimits
	starts []time.Time
}

const (
	// loadReserveShare is the share of the allowance that is reserved for loads that start later than they were
	// ordered.
	loadReserveShare = 0.25
	// overlapShare is the share of the allowance that each of two holders uses while both may be sending orders.
	overlapShare = 0.5
)

// available returns how many loads may start now; it may be negative. soleHolder is set when no other holder can be
// sending orders.
func (l *loadLimiter) available(perSecond float64, soleHolder bool, now time.Time) int {
	share := 1 - loadReserveShare
	if !soleHolder {
		share *= overlapShare
	}
	limit := int(perSecond * l.limits.Window.Seconds() * l.limits.Factor * share)
	return max(limit, 1) - len(l.recent(now))
}

// recent returns the start times of the loads within the window.
func (l *loadLimiter) recent(now time.Time) []time.Time {
	l.starts = slices.DeleteFunc(l.starts, func(t time.Time) bool { return now.Sub(t) > l.limits.Window })
	return l.starts
}

func (l *loadLimiter) recordStart(now time.Time) { l.starts = append(l.starts, now) }
