package allowance

import "time"

const (
	// settleCapacity is the part of the burst that a bucket holds while parts that an earlier holder lent may be in use by
	// daemons that this one has not heard of.
	settleCapacity = 0.5
	// settleTime is the longest time in a tenure for which daemons that have not reported yet may gain units at the pace that
	// an earlier holder promised.
	settleTime = 2800 * time.Millisecond
)

// settling is what a new holder leaves to the parts and paces of an earlier one, and the usual time between reports.
type settling struct {
	// capacity is the part of the burst that buckets hold, rate the part of the rate that they gain.
	capacity float64
	rate     float64
	// known is the part of the daemons that have reported since the tenure began; 0 if their number is unknown.
	known    float64
	began    time.Duration
	interval time.Duration
}
