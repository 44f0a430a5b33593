package coordinator

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// Runner is what the coordinator believes about one model runner.
type Runner struct {
	// id never changes, so it may be read without the coordinator's lock.
	id string
	// index names the runner in reports.
	index uint32
	// version is the coordinator's version at which the runner changed.
	version uint64
	Server  fleet.Server
	Region  string
	// Known is set once the runner's own report was read by this coordinator.
	Known  bool
	Orders int64
	Models []fleet.HeldModel
	// Arriving is the number of adapters on their way at the last report.
	Arriving int
	OnDisk   []string
	InMem    []string
	// Pending is the order whose effect has not been seen; nil for none.
	Pending *PendingOrder
	// NextTry delays orders after an unclear answer.
	NextTry time.Time
	// Unreachable is set from a read of the report that found no connection to the next one that did. What the runner
	// holds serves nobody then, and a runner that crashed comes back empty.
	Unreachable bool
	// Running is the number of requests in progress there, as the daemons report.
	Running int
	// Checked is when the runner's report was last read.
	Checked time.Time
	// LastUse is when an adapter was last asked for, by MODEL/ADAPTER.
	LastUse map[string]time.Time
}

// PendingOrder is an order in progress.
type PendingOrder struct {
	Order Order
	// Load is the model that the whole change makes resident, also while another one is still being unloaded.
	Load  string
	Since time.Time
}

// Holds reports whether the model is resident.
func (r *Runner) Holds(model string) bool { return r.held(model) != nil }

func (r *Runner) held(model string) *fleet.HeldModel {
	for i := range r.Models {
		if r.Models[i].Name == model {
			return &r.Models[i]
		}
	}
	return nil
}

// HoldsAdapter reports whether the adapter is resident.
func (r *Runner) HoldsAdapter(model, adapter string) bool {
	h := r.held(model)
	return h != nil && slices.Contains(h.Adapters, adapter)
}

// adapterCount returns the number of places that adapters take.
func (r *Runner) adapterCount() int {
	n := r.Arriving
	for i := range r.Models {
		n += len(r.Models[i].Adapters)
	}
	return n
}

// loading returns the model that a change in progress makes resident; empty for none.
func (r *Runner) loading() string {
	if r.Pending != nil {
		return r.Pending.Load
	}
	return ""
}

// unloading returns the model that is being unloaded; empty for none.
func (r *Runner) unloading() string {
	if r.Pending != nil && r.Pending.Order.Operation == Unload && r.Pending.Order.Adapter == "" {
		return r.Pending.Order.Model
	}
	return ""
}

// usable reports whether orders may be planned for the runner.
func (r *Runner) usable(now time.Time) bool {
	return r.Known && !r.Server.Draining && r.Pending == nil && !now.Before(r.NextTry)
}

// keeps reports whether the weights are at hand without the store.
func (r *Runner) keeps(model string) bool {
	return slices.Contains(r.OnDisk, model) || slices.Contains(r.InMem, model)
}
