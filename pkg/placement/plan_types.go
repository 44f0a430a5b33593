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

// Demand is a hint of an entry host that no copy of a model meets its target.
type Demand struct {
	Model string
	// UnmetPerSecond is the rate of requests that no copy could meet.
	UnmetPerSecond float64
	// At is the time at which the hint arrived.
	At time.Time
}

// Usage is what an agent knows about one of its own copies.
type Usage struct {
	// RatePerSecond is the recent rate of requests.
	RatePerSecond float64
	// ReadySince is the time at which the copy became ready at this agent.
	ReadySince time.Time
	// LastUsed is the time of the last request; zero before the first one.
	LastUsed time.Time
	// Pinned is true when an unload would not free the memory, because a load order is unsettled.
	Pinned bool
}

// PlanInput is everything that Plan decides on.
type PlanInput struct {
	Snapshot *Snapshot
	Config   Config
	// Hosts is the last host list; empty means that none is known and every runner counts as live.
	Hosts []infra.Host
	// Demands are the hints that this agent received.
	Demands []Demand
	// Usage describes the own ready copies.
	Usage map[Key]Usage
	// TurnSince tells since when this agent has seen an unfinished claim hold its turn to load.
	TurnSince map[uint64]time.Time
	// Self is the name of the own runner.
	Self string
	Now  time.Time
	// FreeBytes is the memory that the own ledger can still reserve.
	FreeBytes uint64
	// StoreConcurrency is the number of loads that the weight store serves at full speed.
	StoreConcurrency int
	// LoadBytesPerSecond is the expected rate of one load; 0 means that load time is not counted.
	LoadBytesPerSecond float64
}

// ClaimWish is a claim that the agent shall append.
type ClaimWish struct {
	Model   string
	Version string
	Bytes   uint64
	Floor   bool
	// Wanted is the number of floor copies that the configuration asks for.
	Wanted uint32
}

// ReleaseWish is a release that the agent shall append.
type ReleaseWish struct {
	Claim uint64
	// Keep is the number of other ready copies that must remain.
	Keep uint32
}

// PlanOutput is what the agent shall do for its own runner.
type PlanOutput struct {
	Claims   []ClaimWish
	Releases []ReleaseWish
	// Abandons are own claims that are no longer wanted; an agent that has sent the load order finishes it first.
	Abandons []uint64
	// Turns are the claims that hold a turn to load, over all runners.
	Turns []uint64
	// Load is the own claim whose load may start now; 0 for none.
	Load uint64
}
