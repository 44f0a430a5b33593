package entry

import (
	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/timeline"
)

// configNotes records verdicts on change sets that arrive after the daemon has caught up.
type configNotes struct {
	ring *timeline.Ring
	log  *eventlog.Logger
	last uint64
}

func (n *configNotes) note(history []*ferrypb.HistoryEntry, silent bool) {
	for _, e := range history {
		if e.GetOffset() <= n.last {
			continue
		}
		n.last = e.GetOffset()
		if !silent {
			n.one(e)
		}
	}
}

func (n *configNotes) one(e *ferrypb.HistoryEntry) {
	kind, line := timeline.ConfigApplied, eventlog.ConfigApplied
	if !e.GetAccepted() {
		kind, line = timeline.ConfigRefused, eventlog.ConfigRefused
	}
	n.ring.Add(timeline.Event{Kind: kind, Object: e.GetObject(), Detail: e.GetId()})
	n.log.Log(line, "offset", e.GetOffset(), "id", e.GetId(), "reason", e.GetReason())
}
