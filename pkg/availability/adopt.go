package availability

import "time"

// markMargin is how long after its start an incarnation must have been sent a request for the mark in the response to count as
// its own. Clocks of hosts differ, and a mark that is wrongly taken over keeps a sound server from all requests.
const markMargin = time.Second

// find returns the record of an incarnation, nil for none. While the list is older than the start of a server, what that start
// says is recorded for the one before, under the same id; it is taken over here as soon as the list shows the new start.
// What was said before the new start stays with the earlier one. The caller holds mu.
func (t *Table) find(server Incarnation) *record {
	if r, ok := t.records[server]; ok {
		return r
	}
	born, known := t.newest[server.ID]
	earlier := Incarnation{ID: server.ID, StartMillis: born}
	r := t.records[earlier]
	if !known || born >= server.StartMillis || r == nil {
		return nil
	}
	start := time.UnixMilli(server.StartMillis)
	var own record
	if r.pause != nil && !r.pause.saidAt.Before(start) {
		own.pause, own.lastAt = r.pause, r.lastAt
		t.endPause(earlier, r)
	}
	if r.leaving && !r.leavingSentAt.Before(start.Add(markMargin)) {
		own.leaving, own.leavingSince, own.leavingSentAt, own.lastAt = true, r.leavingSince, r.leavingSentAt, r.lastAt
	}
	if own.pause == nil && !own.leaving {
		return nil
	}
	t.records[server] = &own
	t.newest[server.ID] = server.StartMillis
	return &own
}
