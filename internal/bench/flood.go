package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Flood is one member that sends short questions beside the load, for instance at a multiple of its cap.
// The arrivals of the load are the same with and without it.
type Flood struct {
	// Member is the name of a model or an adapter; empty means none.
	Member string
	// Rate is the mean number of requests per second; 0 only names the member whose requests do not count as others'.
	Rate float64
	// From is the time of the first request; the flood lasts until the end of the load.
	From time.Duration
}

// check fails with code SettingsInvalid for a member that the catalog lacks.
func (f Flood) check(c Catalog) error {
	if f.Rate < 0 || (f.Rate > 0 && f.Member == "") {
		return failure.New(failure.SettingsInvalid, failure.NotRun, "a flood needs a member and a rate of at least 0")
	}
	if _, ok := f.member(c); !ok && f.Member != "" {
		return failure.New(failure.SettingsInvalid, failure.NotRun, "no model or adapter to flood: "+f.Member)
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
	for at := f.From + gap(); at < load.Duration; at += gap() {
		out = append(out, Arrival{
			ID:           fmt.Sprintf("bench-%d-flood-%d", load.Seed, len(out)),
			At:           at,
			Class:        class,
			Member:       member,
			Entry:        rng.IntN(1 << 16),
			PromptTokens: load.Mix.QuestionPrompt.pick(rng),
			AnswerTokens: load.Mix.QuestionAnswer.pick(rng),
			Nonce:        rng.Uint64(),
		})
	}
	return out
}

// othersOf returns the attainment of the generations of all members but one.
func othersOf(observations []*Observation, member string) Share {
	out := Share{}
	for _, o := range observations {
		if o.Arrival.Class != ServiceCall && o.Arrival.Member.Name != member {
			out.add(o.attained())
		}
	}
	return out
}
