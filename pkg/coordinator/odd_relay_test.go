package coordinator

import (
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/fleet"
)

func relayedServer(id string) *ferrypb.ServerState {
	return &ferrypb.ServerState{Id: id, Service: "s", Address: "127.0.0.1:80", FailureDomain: "z", BornMillis: 1, Sequence: 2, Slots: 4}
}

// oddServers are relayed servers that are not usable, by the failure that each could cause.
func oddServers() map[string]*ferrypb.ServerState {
	out := map[string]*ferrypb.ServerState{}
	for name, change := range map[string]func(*ferrypb.ServerState){
		"no service":                 func(m *ferrypb.ServerState) { m.Service = "" },
		"dial to a port above all":   func(m *ferrypb.ServerState) { m.Address = "127.0.0.1:99999" },
		"dial to no host":            func(m *ferrypb.ServerState) { m.Address = "" },
		"all requests to one server": func(m *ferrypb.ServerState) { m.Slots = math.MaxUint32 },
		"all starts are older":       func(m *ferrypb.ServerState) { m.BornMillis = math.MaxInt64 },
		"all reports are older":      func(m *ferrypb.ServerState) { m.Sequence = math.MaxInt64 },
		"counter that goes back":     func(m *ferrypb.ServerState) { m.Sequence = math.MinInt64 },
		"model without a name":       func(m *ferrypb.ServerState) { m.Models = []*ferrypb.ResidentModel{{}} },
	} {
		m := relayedServer("odd")
		change(m)
		out[name] = m
	}
	return out
}

// Guards against servers that are used or lost because the holder relays one that is not usable, with the failure in the
// name of each case.
func TestOddRelayedServersChangeNothing(t *testing.T) {
	usual := serverFromProto(relayedServer("odd"))
	for name, odd := range oddServers() {
		for _, full := range []bool{false, true} {
			view := &ferrypb.FleetView{ServersFull: full, Servers: []*ferrypb.ServerState{odd, relayedServer("other")}}
			for _, known := range []map[string]fleet.Server{{}, {"odd": usual}} {
				u, err := relayUpdate(view, known, time.Now(), 0)
				if err != nil {
					t.Fatalf("%s: %v, want an update with the other server", name, err)
				}
				registry := fleet.NewRegistry()
				for id := range known {
					registry.ApplyReport(known[id])
				}
				list := []fleet.Server{}
				for i := range u.Servers.Changes {
					list = append(list, u.Servers.Changes[i].Server)
				}
				registry.Replace(list, false, time.Now())
				got := registry.Servers()
				if s, ok := got["odd"]; len(got) != len(known)+1 || ok != (len(known) > 0) || (ok && s.Address != usual.Address) || s.Slots > 4 {
					t.Errorf("%s, full %v: servers %+v, want the other one and what was known of this one: %d", name, full, got, len(known))
				}
			}
		}
	}
}

// oddConfigs are relayed configurations that cannot be used.
var oddConfigs = map[string]string{
	"null":              "null",
	"empty":             "{}",
	"list":              "[]",
	"cut":               `{"Version":7,"Routes":[`,
	"other version":     `{"Version":9223372036854775807}`,
	"version too large": `{"Version":1` + strings.Repeat("0", 40) + `}`,
	"unknown service":   `{"Version":7,"Routes":[{"Name":"r","Targets":[{"Service":"s","Weight":1}]}]}`,
	"weight too large":  `{"Version":7,"Routes":[{"Name":"r","Targets":[{"Service":"s","Weight":1e30}]}],"Services":{"s":{}}}`,
	"time too large":    `{"Version":7,"Routes":[{"Name":"r","Timeout":1e30}]}`,
	"stack without end": strings.Repeat(`{"Services":`, 100_000),
}

// Guards against a relayed configuration that replaces the routes of a daemon by none, or that is newer than all that the
// operator will write.
func TestOddRelayedConfigurationsAreRefused(t *testing.T) {
	for name, text := range oddConfigs {
		if u, err := relayUpdate(&ferrypb.FleetView{ConfigVersion: 7, Config: []byte(text)}, nil, time.Now(), 0); err == nil {
			t.Errorf("%s: configuration %+v, want an error", name, u.Config)
		}
	}
	for _, text := range []string{"null", "{}"} {
		if u, err := relayUpdate(&ferrypb.FleetView{Config: []byte(text)}, nil, time.Now(), 0); err == nil {
			t.Errorf("%s of no version: configuration %+v, want an error", text, u.Config)
		}
	}
	if u, err := relayUpdate(&ferrypb.FleetView{ConfigVersion: 7, Config: []byte(`{"Version":7}`)}, nil, time.Now(), 0); err != nil || u.Config.Version != 7 {
		t.Errorf("usual configuration: %+v, error %v, want version 7", u, err)
	}
}

// Guards against state that seems new because the age of a time that was never set does not fit into a message.
func TestAgesAreBounded(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		at   time.Time
		want uint32
	}{
		"never":     {time.Time{}, math.MaxUint32},
		"long ago":  {now.Add(-60 * 24 * time.Hour), math.MaxUint32},
		"now":       {now, 0},
		"to come":   {now.Add(time.Hour), 0},
		"as before": {now.Add(-3 * time.Second), 3000},
	} {
		if got := ageMillis(c.at, now); got != c.want {
			t.Errorf("age of %s: %d ms, want %d", name, got, c.want)
		}
	}
}

// Guards against panics on views of a holder, and against servers that are not usable.
func FuzzRelayUpdate(f *testing.F) {
	add := func(view *ferrypb.FleetView) {
		data, err := proto.Marshal(view)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, odd := range oddServers() {
		add(&ferrypb.FleetView{Servers: []*ferrypb.ServerState{odd}, Work: []uint32{math.MaxUint32, 1, math.MaxUint32, 5}, Gone: []string{""}, ServerBuckets: []uint32{99}})
	}
	for _, text := range oddConfigs {
		if len(text) < 16<<10 {
			add(&ferrypb.FleetView{ConfigVersion: 7, Config: []byte(text), ServersFull: true, ServersAgeMillis: math.MaxUint32})
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		view := &ferrypb.FleetView{}
		if proto.Unmarshal(data, view) != nil {
			return
		}
		decodeWork(view.Work)
		u, err := relayUpdate(view, map[string]fleet.Server{}, time.Now(), 0)
		if err != nil {
			return
		}
		for i := range u.Servers.Changes {
			if c := &u.Servers.Changes[i]; !c.Removed && c.Server.RangeError() != "" {
				t.Errorf("server %+v is used: %s", c.Server, c.Server.RangeError())
			}
		}
	})
}
