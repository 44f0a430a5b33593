package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Load describes an open-loop load with Poisson arrivals.
type Load struct {
	Seed uint64
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	Mix      Mix
	Catalog  Catalog
	// Flood is extra load for one member.
	Flood Flood
}

// Numbers of independent random streams. A change in the use of one stream does not affect the values of the others.
const (
	streamArrivals = iota + 1
	streamModels
	streamAdapters
	streamRequests
	streamFlood
)

// maxRepeatDelay is the longest delay before a service call is sent again.
const maxRepeatDelay = 300 * time.Millisecond

// scheduler generates the arrivals of one load.
type scheduler struct {
	load        Load
	arrivalRand *rand.Rand
	requestRand *rand.Rand
	models      *Popularity
	adapters    *Popularity
	out         []Arrival
}

// Schedule returns all arrivals of a load in time order. It is deterministic: equal loads give equal arrivals.
func Schedule(load Load) []Arrival {
	s := newScheduler(load)
	for at := s.nextGap(); at < load.Duration; at += s.nextGap() {
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
		load:        load,
		arrivalRand: stream(streamArrivals),
		requestRand: stream(streamRequests),
		models:      NewPopularity(stream(streamModels), len(load.Catalog.Models), exponent, load.Duration),
		adapters:    NewPopularity(stream(streamAdapters), len(load.Catalog.Adapters), exponent, load.Duration),
	}
}

// nextGap draws the time until the next arrival.
func (s *scheduler) nextGap() time.Duration {
	return time.Duration(s.arrivalRand.ExpFloat64() / s.load.Rate * float64(time.Second))
}

func (s *scheduler) add(at time.Duration) {
	a := Arrival{
		ID:    fmt.Sprintf("bench-%d-%d", s.load.Seed, len(s.out)),
		At:    at,
		Class: s.drawClass(),
		Entry: s.requestRand.IntN(1 << 16),
		Nonce: s.requestRand.Uint64(),
	}
	s.fill(&a)
	s.out = append(s.out, a)
	if a.Class == ServiceCall && s.requestRand.Float64() < s.load.Mix.RepeatedKeyShare {
		s.repeat(a)
	}
}

// drawClass draws a class according to the shares of the mix. A class that the catalog cannot serve becomes Question.
func (s *scheduler) drawClass() Class {
	left := s.requestRand.Float64()
	for _, c := range Classes() {
		left -= s.load.Mix.Shares[c]
		if left < 0 {
			return s.availableClass(c)
		}
	}
	return Question
}

// availableClass returns c, or Question if the catalog has no adapter or service for c.
func (s *scheduler) availableClass(c Class) Class {
	if c == AdapterQuestion && len(s.load.Catalog.Adapters) == 0 {
		return Question
	}
	if c == ServiceCall && s.load.Catalog.Service == "" {
		return Question
	}
	return c
}

// fill draws the member and the sizes of an arrival according to its class.
func (s *scheduler) fill(a *Arrival) {
	mix := s.load.Mix
	switch a.Class {
	case Dossier:
		a.Member = s.load.Catalog.Models[s.models.Pick(s.requestRand, a.At)]
		a.Dossier = s.requestRand.IntN(mix.DossiersPerModel)
		a.PromptTokens = dossierTokens(a.Member.Name, a.Dossier, mix.DossierPrompt)
		a.OutputTokens = mix.DossierOutput.pick(s.requestRand)
	case ServiceCall:
		a.Member = Member{Name: s.load.Catalog.Service}
		a.Key = "key-" + a.ID
	default:
		a.Member = s.shortRequestMember(a)
		a.PromptTokens = mix.QuestionPrompt.pick(s.requestRand)
		a.OutputTokens = mix.QuestionOutput.pick(s.requestRand)
	}
}

func (s *scheduler) shortRequestMember(a *Arrival) Member {
	if a.Class == AdapterQuestion {
		return s.load.Catalog.Adapters[s.adapters.Pick(s.requestRand, a.At)]
	}
	return s.load.Catalog.Models[s.models.Pick(s.requestRand, a.At)]
}

// repeat adds a second call with the same idempotency key and body through the next entry host.
func (s *scheduler) repeat(first Arrival) {
	repeated := first
	repeated.ID = first.ID + "-again"
	repeated.At += time.Duration(s.requestRand.Int64N(int64(maxRepeatDelay)))
	repeated.Entry++
	s.out = append(s.out, repeated)
}
