package agent

import (
	"maps"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/placement"
)

const (
	// hintRetention is the time after which a demand hint is discarded.
	hintRetention = 30 * time.Second
	// rateSmoothing is the weight of the newest second in the exponential moving average of request rates.
	rateSmoothing = 0.05
)

// demandState holds the demand and usage data from which the planner values copies.
type demandState struct {
	// hints holds the last hint of unmet demand, by model.
	hints map[string]placement.Demand
	// servedRates are the requests per second that this runner's copies serve, by model.
	servedRates map[string]float64
	// servedTotals are the request counts of the last update, by model.
	servedTotals map[string]uint64
	// lastUsed is the time at which a copy on this runner last served a request, by model.
	lastUsed  map[string]time.Time
	countedAt time.Time
	// readySince is the time since which a copy on this runner has been known as ready, by claim.
	readySince map[uint64]time.Time
	// releaseTriedAt is the time at which a release of a claim was last appended.
	releaseTriedAt map[uint64]time.Time
}

func newDemandState() demandState {
	return demandState{
		hints:          map[string]placement.Demand{},
		servedRates:    map[string]float64{},
		servedTotals:   map[string]uint64{},
		lastUsed:       map[string]time.Time{},
		readySince:     map[uint64]time.Time{},
		releaseTriedAt: map[uint64]time.Time{},
	}
}

func (d *demandState) addHint(now time.Time, model string, rate float64) {
	d.hints[model] = placement.Demand{Model: model, UnmetPerSecond: rate, At: now}
}

// currentHints drops expired hints and returns the others ordered by model name.
func (d *demandState) currentHints(now time.Time) []placement.Demand {
	var out []placement.Demand
	for _, model := range slices.Sorted(maps.Keys(d.hints)) {
		if now.Sub(d.hints[model].At) > hintRetention {
			delete(d.hints, model)
			continue
		}
		out = append(out, d.hints[model])
	}
	return out
}

// updateRates updates the request rates from the total number of requests per model, at most once a second.
func (d *demandState) updateRates(now time.Time, totals map[string]uint64) {
	elapsed := now.Sub(d.countedAt).Seconds()
	if !d.countedAt.IsZero() && elapsed < 1 {
		return
	}
	for model, total := range totals {
		if !d.countedAt.IsZero() {
			rate := float64(total-d.servedTotals[model]) / elapsed
			d.servedRates[model] += min(1, rateSmoothing*elapsed) * (rate - d.servedRates[model])
		}
		if total != d.servedTotals[model] {
			d.lastUsed[model] = now
		}
		d.servedTotals[model] = total
	}
	d.countedAt = now
}

// trackReadyCopies records since when this runner's copies have been ready and drops copies that no longer exist.
func (c *Core) trackReadyCopies() {
	current := map[uint64]time.Time{}
	for _, cp := range c.ownCopies() {
		if cp.State != ready {
			continue
		}
		current[cp.ClaimOffset] = c.now
		if since, ok := c.demand.readySince[cp.ClaimOffset]; ok {
			current[cp.ClaimOffset] = since
		}
	}
	c.demand.readySince = current
	for claim := range c.demand.releaseTriedAt {
		if _, ok := c.placement.Copy(claim); !ok {
			delete(c.demand.releaseTriedAt, claim)
		}
	}
}
