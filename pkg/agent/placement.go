package agent

import (
	"time"

	"trefoilferry.example/ferry/pkg/placement"
)

// Planner decides what the own runner shall claim, release, abandon and load next. It is a pure function.
type Planner = placement.Planner

// plannerOf returns the planner of the settings. Settings that have passed their check name a known policy; those that
// were made without the defaults get the planned one.
func plannerOf(s *Settings) Planner {
	planner, err := placement.NewPlanner(s.Placement.Policy)
	if err != nil {
		return placement.Plan
	}
	return planner
}

const (
	// planInterval is the time between two plans while nothing but demand and time changes.
	planInterval = time.Second
	// quietInterval is the same while the last plan asked for nothing and nobody reports unmet demand. Only the passing
	// over of a runner that does not act depends on time alone, and that takes 20 s.
	quietInterval = 5 * time.Second
)

// planMemo keeps the last plan. It is made anew when the records, the configuration or the host list change.
type planMemo struct {
	made            time.Time
	placementOffset uint64
	configOffset    uint64
	freeBytes       uint64
	output          placement.PlanOutput
}

// planned returns the current plan.
func (c *Core) planned() placement.PlanOutput {
	m := &c.memo
	fresh := !m.made.IsZero() && c.now.Sub(m.made) < c.planPeriod() && m.freeBytes == c.freeBytes()
	if fresh && m.placementOffset == c.placementOffset && m.configOffset == c.set.Offset {
		return m.output
	}
	*m = planMemo{made: c.now, placementOffset: c.placementOffset, configOffset: c.set.Offset, freeBytes: c.freeBytes()}
	m.output = c.plan(c.planInput())
	c.noteTurns(m.output.Turns)
	return m.output
}

func (c *Core) planPeriod() time.Duration {
	o := c.memo.output
	if len(c.demand.hints) > 0 || len(o.Claims)+len(o.Releases)+len(o.Abandons)+len(o.Turns) > 0 {
		return planInterval
	}
	return quietInterval
}

func (c *Core) planInput() placement.PlanInput {
	return placement.PlanInput{
		Snapshot:         c.placement,
		Config:           c.set,
		Hosts:            c.hosts,
		Demands:          c.demand.demands(c.now),
		Usage:            c.usage(),
		TurnSince:        c.turnSince,
		Self:             c.id.Runner,
		Now:              c.now,
		FreeBytes:        c.freeBytes(),
		StoreConcurrency: c.limits.StoreConcurrency,
	}
}

// noteTurns notes since when each unfinished claim has held its turn to load, and forgets the finished ones.
func (c *Core) noteTurns(turns []uint64) {
	since := make(map[uint64]time.Time)
	for _, open := range c.placement.OpenLoads() {
		if at, known := c.turnSince[open.Claim]; known {
			since[open.Claim] = at
		}
	}
	for _, claim := range turns {
		if _, known := since[claim]; !known {
			since[claim] = c.now
		}
	}
	c.turnSince = since
}

// usage describes the own ready copies.
func (c *Core) usage() map[placement.Key]placement.Usage {
	out := map[placement.Key]placement.Usage{}
	for _, own := range c.own() {
		if own.State != ready {
			continue
		}
		item, _ := c.item(own)
		out[keyOf(own)] = placement.Usage{
			RatePerSecond: c.demand.rates[own.Model],
			ReadySince:    c.demand.readySince[own.Claim],
			LastUsed:      c.demand.usedAt[own.Model],
			Pinned:        item.Unsettled,
		}
	}
	return out
}
