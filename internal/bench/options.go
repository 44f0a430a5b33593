package bench

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/failure"
)

// Options are the settings of one run.
type Options struct {
	// Profile is directorate or damier.
	Profile string
	// Policy is the routing policy of the entry hosts.
	Policy string
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	// Warmup is the beginning of the load that is not measured.
	Warmup           time.Duration
	Seed             uint64
	EntriesPerRegion int
	Faults           []Fault
	// Flood adds requests of one member after the warm-up.
	Flood Flood
	// EntrySettings and AgentSettings replace settings of every daemon, as section.key to value.
	EntrySettings map[string]string
	AgentSettings map[string]string
	// LogDir is the directory for the output of the daemons; empty keeps none.
	LogDir string
	// BinDir is the directory of the programs.
	BinDir string
}

// Prefixes of settings that With passes on to the daemons.
const (
	entryPrefix = "entry."
	agentPrefix = "agent."
)

// With returns the options with changes of the form "key=value,...". Keys are profile, policy, load, duration, seed, bin, flood, flood_rate,
// entry.SECTION.KEY and agent.SECTION.KEY. It fails with code SettingsInvalid.
func (o Options) With(changes string) (Options, error) {
	o.EntrySettings = copied(o.EntrySettings)
	o.AgentSettings = copied(o.AgentSettings)
	for change := range strings.SplitSeq(changes, ",") {
		key, value, ok := strings.Cut(strings.TrimSpace(change), "=")
		if !ok || !o.set(key, value) {
			return Options{}, failure.New(failure.SettingsInvalid, failure.NotRun, "setting not understood: "+change)
		}
	}
	return o, nil
}

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

func copied(m map[string]string) map[string]string {
	if m == nil {
		return map[string]string{}
	}
	return maps.Clone(m)
}

// deployment returns the system and the mix of the options. It fails with code SettingsInvalid.
func (o Options) deployment() (cluster.Profile, Mix, error) {
	if o.Rate <= 0 || o.Duration <= o.Warmup {
		return cluster.Profile{}, Mix{}, failure.New(failure.SettingsInvalid, failure.NotRun, "load and duration must be positive, duration longer than warm-up")
	}
	var profile cluster.Profile
	var mix Mix
	switch o.Profile {
	case "directorate":
		profile, mix = cluster.Directorate(o.EntriesPerRegion), DirectorateMix()
	case "damier":
		profile, mix = cluster.Damier(o.EntriesPerRegion), DamierMix()
	default:
		return cluster.Profile{}, Mix{}, failure.New(failure.SettingsInvalid, failure.NotRun, "profile must be directorate or damier")
	}
	profile.Spec.EntrySettings = copied(o.EntrySettings)
	profile.Spec.EntrySettings["routing.policy"] = o.Policy
	profile.Spec.AgentSettings = copied(o.AgentSettings)
	return profile, mix, nil
}
