package placement

import (
	"time"

	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/object"
)

// Config is the part of the configuration that the planner reads; *object.Set implements it.
type Config interface {
	Models() []*object.Model
	Model(name string) (*object.Model, bool)
	Placements() []*object.Placement
	Drained(runner string) bool
}

var _ Config = (*object.Set)(nil)

// Demand is a hint from an entry host that no copy of a model can meet the target of some requests.
type Demand struct {
	Model string
	// UnmetPerSecond is the rate of requests whose target no copy could meet.
	UnmetPerSecond float64
	// At is when the hint arrived.
	At time.Time
}

// Usage is an agent's record of the use of one of its own copies.
type Usage struct {
	// RatePerSecond is the recent rate of requests.
	RatePerSecond float64
	// ReadySince is when this agent saw the copy become ready.
	ReadySince time.Time
	// LastUsed is the time of the latest request; zero before the first one.
	LastUsed time.Time
	// Pinned is true if an unload would not free the memory, because a load order is unsettled.
	Pinned bool
}

// PlanInput is everything that a plan depends on.
type PlanInput struct {
	Snapshot *Snapshot
	Config   Config
	// Hosts is the latest host list. If it is empty, no list is known and every runner counts as live.
	Hosts []infra.Host
	// Demands are the hints that this agent received.
	Demands []Demand
	// Usage holds the use of the runner's own ready copies.
	Usage map[ModelKey]Usage
	// LoadTurnSince holds, by claim, since when this agent has seen an unfinished claim hold its turn to load.
	LoadTurnSince map[uint64]time.Time
	// Self is the name of the runner that the plan is for.
	Self string
	Now  time.Time
	// FreeBytes is the memory that the runner's ledger can still reserve.
	FreeBytes uint64
	// StoreConcurrency is the number of loads that the weight store serves at full speed.
	StoreConcurrency int
	// LoadBytesPerSecond is the expected throughput of one load; 0 means that load time is ignored.
	LoadBytesPerSecond float64
}

// PlannedClaim is a claim that the agent should append.
type PlannedClaim struct {
	Model   string
	Version string
	Bytes   uint64
	Floor   bool
	// Wanted is the number of floor copies that the configuration requires.
	Wanted uint32
}

// PlannedRelease is a release that the agent should append.
type PlannedRelease struct {
	Claim uint64
	// Keep is the number of other ready copies that must remain.
	Keep uint32
}

// PlanOutput is what the agent should do for its own runner.
type PlanOutput struct {
	Claims   []PlannedClaim
	Releases []PlannedRelease
	// Abandons are the runner's claims that are no longer wanted. An agent that has already sent the load order
	// finishes the load first.
	Abandons []uint64
	// LoadTurns are the claims that hold a turn to load, over all runners.
	LoadTurns []uint64
	// Load is the runner's claim whose load may start now; 0 for none.
	Load uint64
}
