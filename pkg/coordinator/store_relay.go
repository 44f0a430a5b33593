package coordinator

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/gateway"
)

// addStoreState adds what the holder has read from the store since the caller's versions, so that other daemons need
// not read it themselves.
func addStoreState(out *ferrypb.FleetView, view *gateway.View, report *ferrypb.LoadReport, now time.Time) {
	if view.Config == nil || !view.ServersKnown {
		return
	}
	out.ConfigVersion, out.ServersVersion = view.Config.Version, view.ServersVersion
	out.ConfigAgeMillis, out.ServersAgeMillis = ageMillis(view.ConfigAt, now), ageMillis(view.ServersAt, now)
	out.ConfigProvenAgeMillis = max(boundedMillisOf(clock.Uptime()-view.ConfigProvenAt), 1)
	if report.ConfigVersion < view.Config.Version {
		// If the configuration cannot be encoded, the caller reads it from the store.
		if data, err := json.Marshal(view.Config); err == nil {
			out.Config = data
		}
	}
	resync := report.ServersVersion <= view.ServersForgotten || report.ServersVersion > view.ServersVersion
	if resync && len(report.ServerDigests) > 0 {
		out.ServerBuckets = serverDigests(view.Servers).differing(report.ServerDigests)
		for id := range view.Servers {
			if slices.Contains(out.ServerBuckets, bucketOf(id)) {
				s := view.Servers[id]
				out.Servers = append(out.Servers, serverToProto(&s))
			}
		}
		return
	}
	out.ServersFull = resync
	for id := range view.Servers {
		s := view.Servers[id]
		if out.ServersFull || view.ServerChanged[id] > report.ServersVersion {
			out.Servers = append(out.Servers, serverToProto(&s))
		}
	}
	for id, version := range view.ServerRemoved {
		if !out.ServersFull && version > report.ServersVersion {
			out.Gone = append(out.Gone, id)
		}
	}
}

// ageMillis returns the time from at to now in milliseconds. It is bounded, because the age of a time that was never set
// would otherwise become an arbitrary one.
func ageMillis(at, now time.Time) uint32 {
	return boundedMillisOf(now.Sub(at))
}

func boundedMillisOf(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), math.MaxUint32))
}

func serverToProto(s *fleet.Server) *ferrypb.ServerState {
	m := &ferrypb.ServerState{Id: s.ID, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain,
		BornMillis: s.StartMillis, Sequence: s.Sequence, Slots: uint32(max(s.Slots, 0)), Draining: s.Draining}
	for _, h := range s.Models {
		m.Models = append(m.Models, &ferrypb.ResidentModel{Name: h.Name, Version: h.Version, Adapters: h.Adapters})
	}
	return m
}

func serverFromProto(m *ferrypb.ServerState) fleet.Server {
	s := fleet.Server{ID: m.Id, Service: m.Service, Address: m.Address, FailureDomain: m.FailureDomain,
		StartMillis: m.BornMillis, Sequence: m.Sequence, Slots: int(m.Slots), Draining: m.Draining}
	for _, h := range m.Models {
		s.Models = append(s.Models, fleet.ResidentModel{Name: h.Name, Version: h.Version, Adapters: h.Adapters})
	}
	return s
}

// relayUpdate decodes the store state relayed by the holder. Ages are counted from when the report was sent, which is sentUp
// on the clock that counts time spent suspended. known are the servers that the daemon knows.
func relayUpdate(view *ferrypb.FleetView, known map[string]fleet.Server, sent time.Time, sentUp time.Duration) (*gateway.RelayUpdate, error) {
	u := &gateway.RelayUpdate{
		ServersAt:     sent.Add(-time.Duration(view.ServersAgeMillis) * time.Millisecond),
		ConfigAt:      sent.Add(-time.Duration(view.ConfigAgeMillis) * time.Millisecond),
		ConfigVersion: view.ConfigVersion,
	}
	if view.ConfigProvenAgeMillis > 0 {
		// A millisecond more, so that the configuration is never taken for younger than it is.
		u.ConfigProvenAt = sentUp - millis(view.ConfigProvenAgeMillis) - time.Millisecond
	}
	if len(view.Config) > 0 {
		config, err := configFromRelay(view)
		if err != nil {
			return nil, err
		}
		u.Config = config
	}
	u.Servers.Full = view.ServersFull
	u.Complete = view.ServersFull || len(view.ServerBuckets) > 0
	for _, m := range view.Servers {
		s := serverFromProto(m)
		if s.RangeError() != "" {
			// A holder with other rules may relay a server that is not usable here. What is known of it stays in force.
			var ok bool
			if s, ok = known[m.Id]; !ok {
				continue
			}
		}
		u.Servers.Changes = append(u.Servers.Changes, gateway.ServerChange{ID: m.Id, Server: s})
	}
	for _, id := range view.Gone {
		u.Servers.Changes = append(u.Servers.Changes, gateway.ServerChange{ID: id, Removed: true})
	}
	if len(view.ServerBuckets) > 0 {
		u.Servers.Changes = append(u.Servers.Changes, missingServers(view, known)...)
	}
	return u, nil
}

// configFromRelay decodes the relayed configuration and validates it as a whole.
func configFromRelay(view *ferrypb.FleetView) (*fleet.Config, error) {
	config := &fleet.Config{}
	if err := json.Unmarshal(view.Config, config); err != nil {
		return nil, failure.Wrap(failure.RecordInvalid, failure.NotRun, "the relayed configuration cannot be read", err)
	}
	problems := config.ValidationErrors()
	if config.Version < 1 || config.Version != view.ConfigVersion {
		problems = append(problems, "it has version "+strconv.FormatInt(config.Version, 10)+" in place of "+strconv.FormatInt(view.ConfigVersion, 10))
	}
	if len(problems) > 0 {
		return nil, failure.New(failure.RecordInvalid, failure.NotRun, "the relayed configuration is invalid: "+problems[0])
	}
	return config, nil
}

// missingServers returns the removal of each known server that is missing in a bucket that the view holds completely.
func missingServers(view *ferrypb.FleetView, known map[string]fleet.Server) []gateway.ServerChange {
	listed := make(map[string]bool, len(view.Servers))
	for _, m := range view.Servers {
		listed[m.Id] = true
	}
	var out []gateway.ServerChange
	for id := range known {
		if !listed[id] && slices.Contains(view.ServerBuckets, bucketOf(id)) {
			out = append(out, gateway.ServerChange{ID: id, Removed: true, Omitted: true})
		}
	}
	return out
}
