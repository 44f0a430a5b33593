package coordinator

import (
	"maps"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/gateway"
)

// runnerView is the state of the runners as a daemon has received it during one tenure.
type runnerView struct {
	tenure         int64
	version        uint64
	serversVersion uint64
	holdings       map[string]gateway.Holding
	indexes        map[string]uint32
	names          map[uint32]string
}

func newRunnerView() *runnerView {
	return &runnerView{holdings: map[string]gateway.Holding{}, indexes: map[string]uint32{}, names: map[uint32]string{}}
}

// apply applies the changes in a view. It replaces the map of holdings, because readers keep the previous one.
func (v *runnerView) apply(view *ferrypb.FleetView) {
	if view.Tenure == v.tenure && view.Version == v.version && len(view.Holdings) == 0 {
		return
	}
	if view.Tenure != v.tenure {
		v.tenure, v.serversVersion = view.Tenure, 0
	}
	next := maps.Clone(v.holdings)
	if view.HoldingsFull {
		next = map[string]gateway.Holding{}
		v.indexes, v.names = map[string]uint32{}, map[uint32]string{}
	}
	for _, h := range view.Holdings {
		if h.Gone {
			delete(next, h.Runner)
			continue
		}
		next[h.Runner] = holdingFromProto(h)
		v.indexes[h.Runner], v.names[h.Index] = h.Index, h.Runner
	}
	v.holdings, v.version = next, view.Version
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
