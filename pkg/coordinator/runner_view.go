package coordinator

import (
	"maps"
	"slices"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/gateway"
)

// runnerView is the state of the runners as a daemon has received it. Versions belong to one tenure, the content outlives
// it.
type runnerView struct {
	tenure         int64
	version        uint64
	serversVersion uint64
	holdings       map[string]gateway.Holding
	indexes        map[string]uint32
	names          map[uint32]string
	// hashes holds the content hash of each holding, for the digests.
	hashes map[string]uint32
}

func newRunnerView() *runnerView {
	return &runnerView{holdings: map[string]gateway.Holding{}, indexes: map[string]uint32{}, names: map[uint32]string{}, hashes: map[string]uint32{}}
}

// digests returns the digests of the holdings; nil if there are none.
func (v *runnerView) digests() []uint32 {
	if len(v.hashes) == 0 {
		return nil
	}
	out := &digests{}
	for id, content := range v.hashes {
		out.add(id, content)
	}
	return out[:]
}

// apply applies the changes in a view. It replaces the map of holdings, because readers keep the previous one.
func (v *runnerView) apply(view *ferrypb.FleetView) {
	if view.Tenure == v.tenure && view.Version == v.version && len(view.Holdings) == 0 {
		return
	}
	if view.Tenure != v.tenure {
		v.tenure, v.serversVersion = view.Tenure, 0
	}
	v.holdings, v.version = maps.Clone(v.holdings), view.Version
	for id := range v.holdings {
		if view.HoldingsFull || slices.Contains(view.HoldingBuckets, bucketOf(id)) {
			v.remove(id)
		}
	}
	for _, h := range view.Holdings {
		v.remove(h.Runner)
		if h.Gone {
			continue
		}
		v.holdings[h.Runner] = holdingFromProto(h)
		v.indexes[h.Runner], v.names[h.Index], v.hashes[h.Runner] = h.Index, h.Runner, hashHolding(h)
	}
}

func (v *runnerView) remove(id string) {
	if index, ok := v.indexes[id]; ok && v.names[index] == id {
		delete(v.names, index)
	}
	delete(v.holdings, id)
	delete(v.indexes, id)
	delete(v.hashes, id)
}

func (v *runnerView) placement(view *ferrypb.FleetView) *gateway.Placement {
	p := &gateway.Placement{Version: view.Version, Holdings: v.holdings, Daemons: int(view.Daemons),
		PeerTokens: map[string]int{}, PeerRequests: map[string]int{}}
	for index, w := range decodeWork(view.Work) {
		if name, ok := v.names[index]; ok {
			p.PeerTokens[name], p.PeerRequests[name] = w.promptTokens, w.requests
		}
	}
	return p
}

func holdingFromProto(h *ferrypb.Holding) gateway.Holding {
	return gateway.Holding{BornMillis: h.BornMillis, Models: set(h.Models), Adapters: set(h.Adapters), Unloading: set(h.Leaving), Loading: h.Loading}
}

func set(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}
