package coordinator

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// Runner is the coordinator's view of one model runner.
type Runner struct {
	// id never changes, so it may be read without the coordinator's lock.
	id string
	// index identifies the runner in reports.
	index uint32
	// version is the view version at which the runner last changed.
	version uint64
	Server  fleet.Server
	Region  string
	// StateKnown is set while the last read of the runner's report by this coordinator is valid.
	StateKnown bool
	// AcceptedOrders is the number of orders that the runner has accepted.
	AcceptedOrders int64
	Models         []fleet.ResidentModel
	// LoadingAdapters is the number of adapters that were loading at the last report.
	LoadingAdapters int
	OnDisk          []string
	InMemory        []string
	// Pending is the order whose effect has not been seen yet; nil for none.
	Pending *PendingOrder
	// NotBefore is the earliest time of the next read or order after a failure.
	NotBefore time.Time
	// Unreachable is set from a read of the report that could not connect until the next successful read. The models
	// on the runner are unavailable in that time, and a crashed runner returns without them.
	Unreachable bool
	// RunningRequests is the number of requests in progress on the runner, as reported by the daemons.
	RunningRequests int
	// LastRead is when the runner's report was last read.
	LastRead time.Time
	// AdapterLastUsed is when each adapter was last requested, by MODEL/ADAPTER.
	AdapterLastUsed map[string]time.Time
}

// PendingOrder is an order in progress.
type PendingOrder struct {
	Order Order
	// LoadModel is the model that the whole change loads, also while another model is still being unloaded for it.
	LoadModel string
	Since     time.Time
}

// HasModel reports whether the model is resident on the runner.
func (r *Runner) HasModel(model string) bool { return r.residentModel(model) != nil }

func (r *Runner) residentModel(model string) *fleet.ResidentModel {
	for i := range r.Models {
		if r.Models[i].Name == model {
			return &r.Models[i]
		}
	}
	return nil
}

// HasAdapter reports whether the adapter is resident on the runner.
func (r *Runner) HasAdapter(model, adapter string) bool {
	h := r.residentModel(model)
	return h != nil && slices.Contains(h.Adapters, adapter)
}

// adapterCount returns the number of occupied adapter slots.
func (r *Runner) adapterCount() int {
	n := r.LoadingAdapters
	for i := range r.Models {
		n += len(r.Models[i].Adapters)
	}
	return n
}

// loadingModel returns the model that the change in progress loads; empty for none.
func (r *Runner) loadingModel() string {
	if r.Pending != nil {
		return r.Pending.LoadModel
	}
	return ""
}

// unloadingModel returns the model that is being unloaded; empty for none.
func (r *Runner) unloadingModel() string {
	if r.Pending != nil && r.Pending.Order.Operation == Unload && r.Pending.Order.Adapter == "" {
		return r.Pending.Order.Model
	}
	return ""
}

// canTakeOrders reports whether an order may be planned for the runner.
func (r *Runner) canTakeOrders(now time.Time) bool {
	return r.StateKnown && !r.Server.Draining && r.Pending == nil && !now.Before(r.NotBefore)
}

// hasLocalWeights reports whether the runner has cached the weights on its disk or in its memory.
func (r *Runner) hasLocalWeights(model string) bool {
	return slices.Contains(r.OnDisk, model) || slices.Contains(r.InMemory, model)
}
