package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Load describes an open-loop Poisson load.
type Load struct {
	Seed uint64
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	Mix      Mix
	Catalog  Catalog
	// Flood adds requests of one member.
	Flood Flood
}

// Streams of random numbers that are drawn independently, so that a change of one does not shift the others.
const (
	streamArrivals = iota + 1
	streamModels
	streamAdapters
	streamSizes
	streamFlood
)

// repeatWithin bounds the time after which a keyed call is sent again.
const repeatWithin = 300 * time.Millisecond

// scheduler draws the arrivals of one load.
type scheduler struct {
	load     Load
	arrivals *rand.Rand
	sizes    *rand.Rand
	models   *Popularity
	adapters *Popularity
	out      []Arrival
}

// Schedule returns all arrivals of a load in time order. Equal loads give equal arrivals.
func Schedule(load Load) []Arrival {
	s := newScheduler(load)
	for at := s.gap(); at < load.Duration; at += s.gap() {
		s.add(at)
	}
	s.out = append(s.out, load.Flood.arrivals(load)...)
	slices.SortStableFunc(s.out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return s.out
}

func newScheduler(load Load) *scheduler {
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(load.Seed, n)) }
	exponent := load.Mix.ZipfExponent
	return &scheduler{
		load:     load,
		arrivals: stream(streamArrivals),
		sizes:    stream(streamSizes),
		models:   NewPopularity(stream(streamModels), len(load.Catalog.Models), exponent, load.Duration),
		adapters: NewPopularity(stream(streamAdapters), len(load.Catalog.Adapters), exponent, load.Duration),
	}
}

func (s *scheduler) gap() time.Duration {
	return time.Duration(s.arrivals.ExpFloat64() / s.load.Rate * float64(time.Second))
}

func (s *scheduler) add(at time.Duration) {
	a := Arrival{
		ID:    fmt.Sprintf("bench-%d-%d", s.load.Seed, len(s.out)),
		At:    at,
		Class: s.class(),
		Entry: s.sizes.IntN(1 << 16),
		Nonce: s.sizes.Uint64(),
	}
	s.fill(&a)
	s.out = append(s.out, a)
	if a.Class == ServiceCall && s.sizes.Float64() < s.load.Mix.RepeatedKeys {
		s.repeat(a)
	}
}

// class draws a class; classes without a member are replaced by questions.
func (s *scheduler) class() Class {
	left := s.sizes.Float64()
	for _, c := range Classes() {
		left -= s.load.Mix.Shares[c]
		if left < 0 {
			return s.possible(c)
		}
	}
	return Question
}

func (s *scheduler) possible(c Class) Class {
	if c == AdapterQuestion && len(s.load.Catalog.Adapters) == 0 {
		return Question
	}
	if c == ServiceCall && s.load.Catalog.Service == "" {
		return Question
	}
	return c
}

func (s *scheduler) fill(a *Arrival) {
	mix := s.load.Mix
	switch a.Class {
	case Dossier:
		a.Member = s.load.Catalog.Models[s.models.Pick(s.sizes, a.At)]
		a.Dossier = s.sizes.IntN(mix.DossiersPerModel)
		a.PromptTokens = dossierTokens(a.Member.Name, a.Dossier, mix.DossierPrompt)
		a.AnswerTokens = mix.DossierAnswer.pick(s.sizes)
	case ServiceCall:
		a.Member = Member{Name: s.load.Catalog.Service}
		a.Key = "key-" + a.ID
	default:
		a.Member = s.shortMember(a)
		a.PromptTokens = mix.QuestionPrompt.pick(s.sizes)
		a.AnswerTokens = mix.QuestionAnswer.pick(s.sizes)
	}
}

func (s *scheduler) shortMember(a *Arrival) Member {
	if a.Class == AdapterQuestion {
		return s.load.Catalog.Adapters[s.adapters.Pick(s.sizes, a.At)]
	}
	return s.load.Catalog.Models[s.models.Pick(s.sizes, a.At)]
}

// repeat adds a second call with the same key and body through the next entry host.
func (s *scheduler) repeat(first Arrival) {
	again := first
	again.ID = first.ID + "-again"
	again.At += time.Duration(s.sizes.Int64N(int64(repeatWithin)))
	again.Entry++
	s.out = append(s.out, again)
}
