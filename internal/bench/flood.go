package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Flood is extra load of short questions to one member, for instance at a multiple of its cap. The other arrivals of the
// load are the same with and without it.
type Flood struct {
	// Member is the name of a model or adapter; empty means no flood.
	Member string
	// Rate is the mean number of requests per second. With 0 there is no extra load, but Member is still left out of the
	// attainment of the other members.
	Rate float64
	// Start is the start of the flood, counted from the start of the load. The flood lasts until the end of the load.
	Start time.Duration
}

// check fails with code SettingsInvalid for a negative rate, a rate without a member, or a member that is not in the
// catalog.
func (f Flood) check(c Catalog) error {
	if f.Rate < 0 || (f.Rate > 0 && f.Member == "") {
		return failure.New(failure.SettingsInvalid, failure.NotRun, fmt.Sprintf("a flood needs a member and a rate of at least 0: got member %q, rate %g", f.Member, f.Rate))
	}
	if _, ok := f.member(c); !ok && f.Member != "" {
		return failure.New(failure.SettingsInvalid, failure.NotRun, "flood: no model or adapter with the name "+f.Member)
	}
	return nil
}

func (f Flood) member(c Catalog) (Member, bool) {
	for _, members := range [][]Member{c.Models, c.Adapters} {
		i := slices.IndexFunc(members, func(m Member) bool { return m.Name == f.Member })
		if i >= 0 {
			return members[i], true
		}
	}
	return Member{}, false
}

// arrivals returns the requests of the flood in time order.
func (f Flood) arrivals(load Load) []Arrival {
	member, ok := f.member(load.Catalog)
	if !ok || f.Rate <= 0 {
		return nil
	}
	class := Question
	if member.Adapter != "" {
		class = AdapterQuestion
	}
	rng := rand.New(rand.NewPCG(load.Seed, streamFlood))
	gap := func() time.Duration { return time.Duration(rng.ExpFloat64() / f.Rate * float64(time.Second)) }
	var out []Arrival
	for at := f.Start + gap(); at < load.Duration; at += gap() {
		out = append(out, Arrival{
			ID:           fmt.Sprintf("bench-%d-flood-%d", load.Seed, len(out)),
			At:           at,
			Class:        class,
			Member:       member,
			Entry:        rng.IntN(1 << 16),
			PromptTokens: load.Mix.QuestionPrompt.pick(rng),
			OutputTokens: load.Mix.QuestionOutput.pick(rng),
			Nonce:        rng.Uint64(),
		})
	}
	return out
}

// otherMembersShare returns the attainment of the generations of all members except the given one.
func otherMembersShare(observations []*Observation, member string) Share {
	out := Share{}
	for _, o := range observations {
		if o.Arrival.Class != ServiceCall && o.Arrival.Member.Name != member {
			out.add(o.attained())
		}
	}
	return out
}
