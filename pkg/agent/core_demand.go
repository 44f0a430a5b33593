package agent

import (
	"maps"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/placement"
)

const (
	// hintMemory is the time after which a hint is forgotten.
	hintMemory = 30 * time.Second
	// servedWeight is the weight of the newest second in the mean rate of requests.
	servedWeight = 0.05
)

// demandState holds what the value of copies rests on.
type demandState struct {
	hints map[string]placement.Demand
	// rates are the requests per second that own copies serve, by model.
	rates  map[string]float64
	totals map[string]uint64
	// usedAt tells when an own copy last served a request, by model.
	usedAt   map[string]time.Time
	countsAt time.Time
	// readySince tells since when an own copy is known to be ready, by claim.
	readySince map[uint64]time.Time
	// releaseAt tells when a release of a claim was last asked for.
	releaseAt map[uint64]time.Time
}

func newDemandState() demandState {
	return demandState{
		hints:      map[string]placement.Demand{},
		rates:      map[string]float64{},
		totals:     map[string]uint64{},
		usedAt:     map[string]time.Time{},
		readySince: map[uint64]time.Time{},
		releaseAt:  map[uint64]time.Time{},
	}
}

func (d *demandState) hint(now time.Time, model string, rate float64) {
	d.hints[model] = placement.Demand{Model: model, UnmetPerSecond: rate, At: now}
}

// demands returns the remembered hints in the order of model names.
func (d *demandState) demands(now time.Time) []placement.Demand {
	var out []placement.Demand
	for _, model := range slices.Sorted(maps.Keys(d.hints)) {
		if now.Sub(d.hints[model].At) > hintMemory {
			delete(d.hints, model)
			continue
		}
		out = append(out, d.hints[model])
	}
	return out
}

// served takes over the total number of requests per model.
func (d *demandState) served(now time.Time, totals map[string]uint64) {
	passed := now.Sub(d.countsAt).Seconds()
	if !d.countsAt.IsZero() && passed < 1 {
		return
	}
	for model, total := range totals {
		if !d.countsAt.IsZero() {
			rate := float64(total-d.totals[model]) / passed
			d.rates[model] += min(1, servedWeight*passed) * (rate - d.rates[model])
		}
		if total != d.totals[model] {
			d.usedAt[model] = now
		}
		d.totals[model] = total
	}
	d.countsAt = now
}

// noteCopies remembers since when own copies are ready and forgets copies that are gone.
func (c *Core) noteCopies() {
	current := map[uint64]time.Time{}
	for _, own := range c.own() {
		if own.State != ready {
			continue
		}
		current[own.Claim] = c.now
		if since, ok := c.demand.readySince[own.Claim]; ok {
			current[own.Claim] = since
		}
	}
	c.demand.readySince = current
	for claim := range c.demand.releaseAt {
		if _, ok := c.placement.Copy(claim); !ok {
			delete(c.demand.releaseAt, claim)
		}
	}
}
