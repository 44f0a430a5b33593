package agent

import (
	"time"

	"trefoilferry.example/ferry/pkg/placement"
)

// Planner decides which copies this agent's runner claims, releases, abandons and loads next. It is a pure function.
type Planner = placement.Planner

// plannerOf returns the planner for the policy in the settings. Settings that have passed Check name a known policy;
// Settings built without the defaults name none and get placement.Plan.
func plannerOf(s *Settings) Planner {
	planner, err := placement.NewPlanner(s.Placement.Policy)
	if err != nil {
		return placement.Plan
	}
	return planner
}

const (
	// planInterval is the time between two plans while only demand and time change.
	planInterval = time.Second
	// idlePlanInterval replaces planInterval while the last plan is empty and there are no demand hints. Only one
	// decision depends on time alone, skipping a runner that does not act, and that takes 20 s.
	idlePlanInterval = 5 * time.Second
)

// planCache holds the last plan and the inputs it depends on. The plan is recomputed when the placement records, the
// configuration, the free memory or the host list change, and after planInterval or idlePlanInterval.
type planCache struct {
	computedAt      time.Time
	placementOffset uint64
	configOffset    uint64
	freeBytes       uint64
	output          placement.PlanOutput
}

// planned returns the current plan, recomputing it if it is out of date.
func (c *Core) planned() placement.PlanOutput {
	m := &c.planCache
	fresh := !m.computedAt.IsZero() && c.now.Sub(m.computedAt) < c.planPeriod() && m.freeBytes == c.freeBytes()
	if fresh && m.placementOffset == c.placementOffset && m.configOffset == c.config.Offset {
		return m.output
	}
	*m = planCache{computedAt: c.now, placementOffset: c.placementOffset, configOffset: c.config.Offset, freeBytes: c.freeBytes()}
	m.output = c.planner(c.planInput())
	c.trackLoadTurns(m.output.LoadTurns)
	return m.output
}

func (c *Core) planPeriod() time.Duration {
	o := c.planCache.output
	if len(c.demand.hints) > 0 || len(o.Claims)+len(o.Releases)+len(o.Abandons)+len(o.LoadTurns) > 0 {
		return planInterval
	}
	return idlePlanInterval
}

func (c *Core) planInput() placement.PlanInput {
	return placement.PlanInput{
		Snapshot:         c.placement,
		Config:           c.config,
		Hosts:            c.hosts,
		Demands:          c.demand.currentHints(c.now),
		Usage:            c.usage(),
		LoadTurnSince:    c.loadTurnSince,
		Self:             c.id.Runner,
		Now:              c.now,
		FreeBytes:        c.freeBytes(),
		StoreConcurrency: c.limits.StoreConcurrency,
	}
}

// trackLoadTurns records since when it has been the turn of each unfinished claim to load, and drops finished claims.
func (c *Core) trackLoadTurns(turns []uint64) {
	since := make(map[uint64]time.Time)
	for _, open := range c.placement.OpenLoads() {
		if at, known := c.loadTurnSince[open.ClaimOffset]; known {
			since[open.ClaimOffset] = at
		}
	}
	for _, claim := range turns {
		if _, known := since[claim]; !known {
			since[claim] = c.now
		}
	}
	c.loadTurnSince = since
}

// usage returns the usage of this runner's ready copies.
func (c *Core) usage() map[placement.ModelKey]placement.Usage {
	out := map[placement.ModelKey]placement.Usage{}
	for _, cp := range c.ownCopies() {
		if cp.State != ready {
			continue
		}
		item, _ := c.reservation(cp)
		out[keyOf(cp)] = placement.Usage{
			RatePerSecond: c.demand.servedRates[cp.Model],
			ReadySince:    c.demand.readySince[cp.ClaimOffset],
			LastUsed:      c.demand.lastUsed[cp.Model],
			Pinned:        item.Unsettled,
		}
	}
	return out
}
