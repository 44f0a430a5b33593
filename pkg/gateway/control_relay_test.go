package gateway

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
)

// Guards against a daemon that drops a server because the holder, whose list is older than the daemon's own read, does
// not know it yet: the holder's later news of the server had the same sequence as the dropped report and was ignored.
func TestOlderListOfTheHolderRemovesNothing(t *testing.T) {
	known := fleet.Server{ID: "known", Service: "s", StartMillis: 1, Sequence: 4}
	fresh := fleet.Server{ID: "fresh", Service: "s", StartMillis: 2, Sequence: 1}
	report := func(s fleet.Server) ServerChange { return ServerChange{ID: s.ID, Server: s} }
	for name, older := range map[string]ServerChanges{
		"complete list":      {Full: true, Changes: []ServerChange{report(known)}},
		"differing buckets":  {Changes: []ServerChange{report(known), {ID: "fresh", Removed: true, Omitted: true}}},
		"differences, empty": {},
	} {
		control := NewControl(eventlog.Discard(), NewPollTiming(5*time.Second))
		now := time.Now()
		control.apply(controlEvent{servers: &serverEvent{changes: ServerChanges{Full: true, Changes: []ServerChange{report(known), report(fresh)}}, sentAt: now}}, now)
		control.apply(controlEvent{relay: &RelayUpdate{Servers: older, ServersAt: now.Add(-time.Second)}}, now)
		control.apply(controlEvent{relay: &RelayUpdate{Servers: ServerChanges{Changes: []ServerChange{report(fresh)}}, ServersAt: now}}, now)
		if view := control.View(); len(view.Servers) != 2 || view.ServersAt.Before(now) {
			t.Errorf("%s: servers %v as of %v, want both as of %v", name, view.Servers, view.ServersAt, now)
		}
		control.apply(controlEvent{relay: &RelayUpdate{Servers: ServerChanges{Full: true, Changes: []ServerChange{report(known)}}, ServersAt: now.Add(time.Second)}}, now)
		if view := control.View(); len(view.Servers) != 1 {
			t.Errorf("%s: servers after a newer list without one of them: %v, want only the other", name, view.Servers)
		}
	}
}
