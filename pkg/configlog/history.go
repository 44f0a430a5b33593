package configlog

import "trefoilferry.example/ferry/api/ferrypb"

// historyLimit is the number of stored verdicts; it limits the size of a checkpoint.
const historyLimit = 1000

// history holds the most recent verdicts in log order.
type history struct {
	entries []*ferrypb.HistoryEntry
	byID    map[string]*ferrypb.HistoryEntry
}

func newHistory() *history {
	return &history{byID: map[string]*ferrypb.HistoryEntry{}}
}

func (h *history) add(e *ferrypb.HistoryEntry) {
	h.entries = append(h.entries, e)
	h.byID[e.GetId()] = e
	if len(h.entries) > historyLimit {
		delete(h.byID, h.entries[0].GetId())
		h.entries = h.entries[1:]
	}
}

// has reports whether there is a verdict for the id. Change sets without an id are never duplicates; each is refused.
func (h *history) has(id string) bool {
	_, ok := h.byID[id]
	return ok && id != ""
}

func (h *history) find(id string) (*ferrypb.HistoryEntry, bool) {
	e, ok := h.byID[id]
	return e, ok
}

// list returns a copy of the entries.
func (h *history) list() []*ferrypb.HistoryEntry {
	return append([]*ferrypb.HistoryEntry(nil), h.entries...)
}
