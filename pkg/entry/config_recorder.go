package entry

import (
	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/timeline"
)

// configRecorder logs whether change sets were applied or refused. It runs on one goroutine.
type configRecorder struct {
	ring *timeline.Ring
	log  *eventlog.Logger
	// lastOffset is the offset of the last history entry seen.
	lastOffset uint64
}

// record handles the history entries that are new since the last call. While the log is replayed at the start, it
// logs nothing.
func (r *configRecorder) record(history []*ferrypb.HistoryEntry, replaying bool) {
	for _, e := range history {
		if e.GetOffset() <= r.lastOffset {
			continue
		}
		r.lastOffset = e.GetOffset()
		if !replaying {
			r.recordEntry(e)
		}
	}
}

func (r *configRecorder) recordEntry(e *ferrypb.HistoryEntry) {
	kind, line := timeline.ConfigApplied, eventlog.ConfigApplied
	if !e.GetAccepted() {
		kind, line = timeline.ConfigRefused, eventlog.ConfigRefused
	}
	r.ring.Add(timeline.Event{Kind: kind, Object: e.GetObject(), Detail: e.GetId()})
	r.log.Log(line, "offset", e.GetOffset(), "id", e.GetId(), "reason", e.GetReason())
}
