package bench

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/failure"
)

// Options are the settings of one run.
type Options struct {
	// Profile is the name of the sample deployment: directorate or damier.
	Profile string
	// Policy is the routing policy of the entry hosts.
	Policy string
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	// Warmup is the initial part of Duration that is not measured.
	Warmup           time.Duration
	Seed             uint64
	EntriesPerRegion int
	Faults           []Fault
	// Flood adds requests of one member after the warm-up.
	Flood Flood
	// EntrySettings and AgentSettings override settings of every entry host and every agent. They map section.key to the
	// value.
	EntrySettings map[string]string
	AgentSettings map[string]string
	// LogDir is the directory to which the output of the daemons is written; empty means that it is not kept.
	LogDir string
	// BinDir is the directory of the programs.
	BinDir string
}

// Key prefixes of settings that With passes to the daemons.
const (
	entryPrefix = "entry."
	agentPrefix = "agent."
)

// With returns a copy of the options with changes of the form "key=value,...". The keys are profile, policy, load,
// duration, seed, bin, flood, flood_rate, entry.SECTION.KEY and agent.SECTION.KEY. It fails with code SettingsInvalid
// for an unknown key or an invalid value.
func (o Options) With(changes string) (Options, error) {
	o.EntrySettings = cloneOrEmpty(o.EntrySettings)
	o.AgentSettings = cloneOrEmpty(o.AgentSettings)
	for change := range strings.SplitSeq(changes, ",") {
		key, value, ok := strings.Cut(strings.TrimSpace(change), "=")
		if !ok || !o.set(key, value) {
			return Options{}, failure.New(failure.SettingsInvalid, failure.NotRun, fmt.Sprintf("unknown key or invalid value: %q", change))
		}
	}
	return o, nil
}

// set changes one option and reports whether key and value are valid.
func (o *Options) set(key, value string) bool {
	var err error
	switch {
	case key == "profile":
		o.Profile = value
	case key == "policy":
		o.Policy = value
	case key == "load":
		o.Rate, err = strconv.ParseFloat(value, 64)
	case key == "duration":
		o.Duration, err = time.ParseDuration(value)
	case key == "seed":
		o.Seed, err = strconv.ParseUint(value, 10, 64)
	case key == "flood":
		o.Flood.Member = value
	case key == "flood_rate":
		o.Flood.Rate, err = strconv.ParseFloat(value, 64)
	case key == "bin":
		o.BinDir = value
	case strings.HasPrefix(key, entryPrefix):
		o.EntrySettings[strings.TrimPrefix(key, entryPrefix)] = value
	case strings.HasPrefix(key, agentPrefix):
		o.AgentSettings[strings.TrimPrefix(key, agentPrefix)] = value
	default:
		return false
	}
	return err == nil
}

// cloneOrEmpty returns a copy of m; an empty map if m is nil.
func cloneOrEmpty(m map[string]string) map[string]string {
	if m == nil {
		return map[string]string{}
	}
	return maps.Clone(m)
}

// deployment returns the profile of the options, with their settings applied, and its mix. It fails with code
// SettingsInvalid for an unknown profile, a rate of 0 or less, or a duration not longer than the warm-up.
func (o Options) deployment() (cluster.Profile, Mix, error) {
	if o.Rate <= 0 || o.Duration <= o.Warmup {
		return cluster.Profile{}, Mix{}, failure.New(failure.SettingsInvalid, failure.NotRun, fmt.Sprintf("load must be positive and duration longer than warm-up: got load %g, duration %v, warm-up %v", o.Rate, o.Duration, o.Warmup))
	}
	var profile cluster.Profile
	var mix Mix
	switch o.Profile {
	case "directorate":
		profile, mix = cluster.Directorate(o.EntriesPerRegion), DirectorateMix()
	case "damier":
		profile, mix = cluster.Damier(o.EntriesPerRegion), DamierMix()
	default:
		return cluster.Profile{}, Mix{}, failure.New(failure.SettingsInvalid, failure.NotRun, fmt.Sprintf("profile must be directorate or damier, got %q", o.Profile))
	}
	profile.Spec.EntrySettings = cloneOrEmpty(o.EntrySettings)
	profile.Spec.EntrySettings["routing.policy"] = o.Policy
	profile.Spec.AgentSettings = cloneOrEmpty(o.AgentSettings)
	return profile, mix, nil
}
