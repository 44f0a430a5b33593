package agent

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/placement"
)

// viewKey tells whether a view would differ from the last one.
type viewKey struct {
	placementOffset uint64
	configOffset    uint64
	reportAt        time.Time
	fencing         uint64
	servedAs        string
	adapters        uint64
	closed          int
	refusal         *failure.Failure
	ready           bool
	gone            bool
}

// publish replaces the view of the traffic goroutines if it changed.
func (c *Core) publish() {
	key := c.currentViewKey()
	if c.view != nil && key == c.lastView {
		return
	}
	c.lastView = key
	c.view = c.buildView(key.ready)
	c.do(PublishView{View: c.view})
}

func (c *Core) currentViewKey() viewKey {
	key := viewKey{
		placementOffset: c.placementOffset,
		reportAt:        c.reportAt,
		fencing:         c.fencing,
		servedAs:        c.servedAs(),
		adapters:        c.adapters.version,
		closed:          len(c.closed),
		refusal:         c.refusal,
		gone:            c.engineGone,
		ready:           c.refusal == nil && c.configKnown && c.placementKnown && c.announced() && (!c.isEngine() || c.engineKnown()),
	}
	if c.set != nil {
		key.configOffset = c.set.Offset
	}
	return key
}

func (c *Core) buildView(isReady bool) *View {
	v := &View{
		Identity:        c.id,
		Fencing:         c.fencing,
		ServedAs:        c.servedAs(),
		Refusal:         c.refusal,
		Ready:           isReady,
		Leaving:         c.stopping || c.handingOver(),
		Set:             c.set,
		PlacementOffset: c.placementOffset,
		Models:          map[string]ServedModel{},
		Report:          c.report,
		Adapters:        c.adapters.resident(),
		MemoryBytes:     c.capacity(),
		CommittedBytes:  c.committed(),
		HeldBytes:       c.held(),
	}
	for _, m := range c.report.Models {
		key := placement.Key{Model: m.Model, Version: m.Version}
		if c.servesVersion(key) && !c.closed[versionTarget(key)] && !c.engineGone {
			v.Models[m.Model] = ServedModel{Version: m.Version, Bytes: m.Bytes}
		}
	}
	v.Copies = c.copiesView()
	if !c.isEngine() && c.placement != nil {
		v.ServiceRunners = len(c.placement.ServiceRunners(c.id.Service))
	}
	return v
}

func (c *Core) copiesView() []*ferrypb.LoadedModel {
	var out []*ferrypb.LoadedModel
	for _, own := range c.own() {
		model := &ferrypb.LoadedModel{Model: own.Model, Version: own.Version, Bytes: own.Bytes, State: own.State.String()}
		for _, key := range c.adapters.ordered() {
			if key.Model == own.Model && c.adapters.states[key].phase == adapterResident {
				model.Adapters = append(model.Adapters, key.Adapter)
			}
		}
		out = append(out, model)
	}
	return out
}
