package placement

// ModelKey identifies a model version.
type ModelKey struct {
	Model   string
	Version string
}

// Reservation is the memory reservation of one model version on a runner.
type Reservation struct {
	Key ModelKey
	// Bytes is the reserved accelerator memory.
	Bytes uint64
	// Loaded is true from the first response or report that shows the model loaded until an unload is answered.
	Loaded bool
	// Reported is true while the latest report lists the model.
	Reported bool
	// Freeing is true from when an unload is started until the memory is free.
	Freeing bool
	// Unloaded is true from an answered unload until the next load order. It is false for a predecessor's copy, even if
	// the predecessor unloaded it, because the ledger has seen no response.
	Unloaded bool
	// Unsettled is true while an unanswered load order may still reach the engine; the memory then stays reserved
	// after an unload.
	Unsettled bool
}

// unsettledLoad is a load order that was never answered and may still be carried out, possibly several times.
type unsettledLoad struct {
	id      string
	fencing uint64
	// endedAtReport is the number of reports that had been received when the sender was known to have ended its sends.
	endedAtReport uint64
	// own is true if this process sent the order.
	own bool
	// senderExited is true if a predecessor sent the order and has exited. Until then the end of its sends is unknown,
	// because a paused predecessor may still send the order.
	senderExited bool
}

type ledgerEntry struct {
	bytes    uint64
	loaded   bool
	reported bool
	// unloaded is true after an answered unload with no later load.
	unloaded bool
	freeing  bool
	// adopted is true for a predecessor's copy, which only an unload frees.
	adopted bool
	// loadIDs are the ids of the answered load orders since the reservation was made.
	loadIDs        []string
	unsettledLoads []unsettledLoad
}

func (i *ledgerEntry) view(key ModelKey) Reservation {
	return Reservation{Key: key, Bytes: i.bytes, Loaded: i.loaded, Reported: i.reported, Freeing: i.freeing,
		Unloaded: i.unloaded, Unsettled: len(i.unsettledLoads) > 0}
}

func (i *ledgerEntry) settle(settled func(unsettledLoad) bool) {
	kept := i.unsettledLoads[:0]
	for _, s := range i.unsettledLoads {
		if !settled(s) {
			kept = append(kept, s)
		}
	}
	i.unsettledLoads = kept
}
