package configlog

import "trefoilferry.example/ferry/api/ferrypb"

// historyLimit bounds the remembered verdicts and thereby the size of a checkpoint.
const historyLimit = 1000

// history keeps the last verdicts in log order.
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

// has reports whether the id has a verdict. Sets without an id are refused one by one.
func (h *history) has(id string) bool {
	_, ok := h.byID[id]
	return ok && id != ""
}

func (h *history) find(id string) (*ferrypb.HistoryEntry, bool) {
	e, ok := h.byID[id]
	return e, ok
}

// list returns a copy of the list; later entries do not appear in it.
func (h *history) list() []*ferrypb.HistoryEntry {
	return append([]*ferrypb.HistoryEntry(nil), h.entries...)
}
