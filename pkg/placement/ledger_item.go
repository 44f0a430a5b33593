package placement

// Key names a model version in the memory of an engine.
type Key struct {
	Model   string
	Version string
}

// Item is the memory accounting of one model version at a runner.
type Item struct {
	Key Key
	// Bytes is the reserved accelerator memory.
	Bytes uint64
	// Loaded is true once an answer or a report showed the model loaded, until an unload is answered.
	Loaded bool
	// Reported is true while the last report shows the model.
	Reported bool
	// Freeing is true from the start of an unload until the memory is free.
	Freeing bool
	// Unsettled is true while a load order may still reach the engine; the memory then stays reserved
	// after an unload.
	Unsettled bool
}

// strayOrder is a load order that was never answered and may still be carried out, once or several times.
type strayOrder struct {
	id      string
	fencing uint64
	// after is the number of reports received when the sender had certainly ended its sends.
	after uint64
	// own is true for an order of this process.
	own bool
	// exited is true for an order of a predecessor that has exited. Without it the end of a predecessor's order is
	// not known, because a paused one may still send it.
	exited bool
}

type ledgerItem struct {
	bytes    uint64
	loaded   bool
	reported bool
	// unloaded is true after an answered unload that no later load followed.
	unloaded bool
	freeing  bool
	// adopted is true for a predecessor's copy; only an unload frees it.
	adopted bool
	// loads are the ids of the answered load orders since the reservation began.
	loads  []string
	strays []strayOrder
}

func (i *ledgerItem) view(key Key) Item {
	return Item{Key: key, Bytes: i.bytes, Loaded: i.loaded, Reported: i.reported, Freeing: i.freeing,
		Unsettled: len(i.strays) > 0}
}

func (i *ledgerItem) settle(settled func(strayOrder) bool) {
	kept := i.strays[:0]
	for _, s := range i.strays {
		if !settled(s) {
			kept = append(kept, s)
		}
	}
	i.strays = kept
}
