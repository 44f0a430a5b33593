package bench

import (
	"fmt"
	"strings"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
)

// Dimension is the quantity that varies in a slope measurement.
type Dimension string

// Dimensions of a slope measurement.
const (
	VaryRunners Dimension = "runners"
	VaryEntries Dimension = "entries"
	// VaryObjects varies the number of published adapters.
	VaryObjects Dimension = "objects"
	// VaryChanges varies the number of published change sets per minute.
	VaryChanges Dimension = "changes"
	// VaryRequests varies the number of requests per second.
	VaryRequests Dimension = "requests"
)

// Sizes of the dimensions that do not vary in a slope measurement. The system is small, so that one machine runs it far
// from saturation, and has two failure domains, so that floor copies are spread.
const (
	slopeRunners = 6
	slopeEntries = 3
	slopeModels  = 4
	slopeObjects = 8
	slopeDomains = 2
	slopeMemory  = 80 << 30
	slopeRegion  = "region-1"
)

// slopeSize describes the system and the load at one size.
type slopeSize struct {
	runners  int
	entries  int
	adapters int
	// changes is the number of change sets per minute, requests that of requests per second.
	changes  int
	requests int
}

// sizeOf returns the system with one dimension set to n; false for an unknown dimension.
func sizeOf(vary Dimension, n int) (slopeSize, bool) {
	s := slopeSize{runners: slopeRunners, entries: slopeEntries, adapters: slopeObjects}
	switch vary {
	case VaryRunners:
		s.runners = n
	case VaryEntries:
		s.entries = n
	case VaryObjects:
		s.adapters = n
	case VaryChanges:
		s.changes = n
	case VaryRequests:
		s.requests = n
	default:
		return slopeSize{}, false
	}
	return s, true
}

// processes returns the number of processes of the system, stand-ins included.
func (s slopeSize) processes() int {
	const standins = 3
	return 2*s.runners + s.entries + standins
}

func (s slopeSize) spec() cluster.Spec {
	spec := cluster.Spec{
		HostListDelay: time.Second,
		Store:         cluster.StoreSpec{LoadsPerSecond: 20, MaxConcurrentLoads: 16, AdaptersInFlight: 24, LoadTime: 100 * time.Millisecond},
	}
	for i := range s.entries {
		spec.Entries = append(spec.Entries, cluster.EntrySpec{Name: fmt.Sprintf("entry-%d", i+1), Region: slopeRegion, FailureDomain: domainName(i)})
	}
	for i := range s.runners {
		spec.Runners = append(spec.Runners, cluster.RunnerSpec{
			Name: fmt.Sprintf("runner-%d", i+1), Region: slopeRegion, FailureDomain: domainName(i),
			MemoryBytes: slopeMemory, Accelerators: 1, HonoursFencing: true,
		})
	}
	return spec
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%slopeDomains+1) }

// config returns the configuration of the system as INI text.
func (s slopeSize) config() string {
	var b strings.Builder
	for i := range slopeModels {
		fmt.Fprintf(&b, "[model \"model-%d\"]\nversion = v1\nbytes = 20GiB\nmin_copies = 2\nfirst_token_target = 620ms\n"+
			"between_tokens_target = 51ms\npriority = 0\nmax_tokens = 8192\n\n", i+1)
	}
	for i := range s.adapters {
		fmt.Fprintf(&b, "[adapter \"adapter-%d\"]\nmodel = model-%d\nbytes = 96MiB\n\n", i+1, i%slopeModels+1)
	}
	return b.String()
}

// change returns the n-th change set: a workspace with a new priority.
func change(n int) string {
	return fmt.Sprintf("[workspace \"changing\"]\npriority = %d\n", n%100)
}

// catalog returns the models of the system.
func (s slopeSize) catalog() Catalog {
	var c Catalog
	for i := range slopeModels {
		name := fmt.Sprintf("model-%d", i+1)
		c.Models = append(c.Models, Member{Name: name, Model: name, FirstToken: 620 * time.Millisecond, BetweenTokens: 51 * time.Millisecond})
	}
	return c
}
