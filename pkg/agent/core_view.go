package agent

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/placement"
)

// viewKey identifies the content of a view: a new view is published only when its key differs from that of the last one.
type viewKey struct {
	placementOffset    uint64
	configOffset       uint64
	reportAt           time.Time
	fencing            uint64
	servingIncarnation string
	adaptersVersion    uint64
	loadsAdapters      bool
	closedTargets      int
	refusal            *failure.Failure
	ready              bool
	engineUnreachable  bool
}

// publish emits a new view for the request goroutines if the view has changed.
func (c *Core) publish() {
	key := c.currentViewKey()
	if c.view != nil && key == c.lastViewKey {
		return
	}
	c.lastViewKey = key
	c.view = c.buildView(key.ready)
	c.emit(PublishView{View: c.view})
}

func (c *Core) currentViewKey() viewKey {
	key := viewKey{
		placementOffset:    c.placementOffset,
		reportAt:           c.reportAt,
		fencing:            c.fencing,
		servingIncarnation: c.servingIncarnation(),
		adaptersVersion:    c.adapters.version,
		loadsAdapters:      c.mayOrderAdapters(),
		closedTargets:      len(c.closedTargets),
		refusal:            c.refusal,
		engineUnreachable:  c.engineUnreachable,
		ready:              c.refusal == nil && c.configKnown && c.placementKnown && c.addressable() && (!c.isEngine() || c.reportFresh()),
	}
	if c.config != nil {
		key.configOffset = c.config.Offset
	}
	return key
}

func (c *Core) buildView(isReady bool) *View {
	v := &View{
		Identity:           c.id,
		Fencing:            c.fencing,
		ServingIncarnation: c.servingIncarnation(),
		Refusal:            c.refusal,
		Ready:              isReady,
		Leaving:            c.stopping || c.runnerDraining(),
		Config:             c.config,
		PlacementOffset:    c.placementOffset,
		Report:             c.report,
		Adapters:           c.adapters.resident(),
		LoadsAdapters:      c.mayOrderAdapters(),
		MemoryBytes:        c.capacity(),
		CommittedBytes:     c.committedBytes(),
		HeldBytes:          c.heldBytes(),
	}
	v.Models = c.servedModels()
	v.CopyStatuses = c.copyStatuses()
	if !c.isEngine() && c.placement != nil {
		v.ServiceRunners = len(c.placement.ServiceRunners(c.id.Service))
	}
	return v
}

// servedModels returns the models that accept requests, each with the newest of its versions that do.
func (c *Core) servedModels() map[string]ServedModel {
	out := map[string]ServedModel{}
	claims := map[string]uint64{}
	for _, m := range c.report.Models {
		key := placement.ModelKey{Model: m.Model, Version: m.Version}
		claim := c.claimOf(m)
		if !c.servesVersion(key) || c.closedTargets[versionTarget(key)] || c.engineUnreachable || claim < claims[m.Model] {
			continue
		}
		claims[m.Model] = claim
		out[m.Model] = ServedModel{Version: m.Version, Bytes: m.Bytes}
	}
	return out
}

func (c *Core) copyStatuses() []*ferrypb.LoadedModel {
	var out []*ferrypb.LoadedModel
	for _, cp := range c.ownCopies() {
		model := &ferrypb.LoadedModel{Model: cp.Model, Version: cp.Version, Bytes: cp.Bytes, State: cp.State.String()}
		for _, key := range c.adapters.ordered() {
			if key.Model == cp.Model && c.adapters.states[key].phase == adapterResident {
				model.Adapters = append(model.Adapters, key.Adapter)
			}
		}
		out = append(out, model)
	}
	return out
}
