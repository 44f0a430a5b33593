package engine

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
)

func newTestJob(id string, priority int32, arrival uint64, prefill, total int) *job {
	return &job{
		ctx: context.Background(), id: id, model: "m", priority: priority, arrival: arrival, prefillLeft: prefill, totalTokens: total,
		tokens: make(chan int, total), aborted: make(chan struct{}),
	}
}

// Guards against a batch that ignores the priority of waiting jobs, or their arrival within one priority.
func TestAdmitOrdersByPriorityThenArrival(t *testing.T) {
	b := &batch{config: Config{MaxRunning: 3, PrefillRate: 1000, DecodeRate: 10}}
	for _, j := range []*job{
		newTestJob("late", 0, 4, 1, 1), newTestJob("low", -1, 1, 1, 1), newTestJob("high", 5, 3, 1, 1), newTestJob("early", 0, 2, 1, 1),
	} {
		b.add(j)
	}
	b.admit()
	got := ""
	for _, j := range b.running {
		got += j.id + " "
	}
	if got != "high early late " || len(b.waiting) != 1 {
		t.Fatalf("running jobs: %q with %d waiting, want \"high early late \" with 1 waiting", got, len(b.waiting))
	}
}

// Guards against a step whose duration does not match the configured rates.
func TestStepTime(t *testing.T) {
	tests := map[string]struct {
		prefill []int
		want    time.Duration
	}{
		"decode of one":             {[]int{0}, 100 * time.Millisecond},
		"decode of a full batch":    {[]int{0, 0}, 125 * time.Millisecond},
		"prompt only":               {[]int{500}, 500 * time.Millisecond},
		"long prompt in parts":      {[]int{5000}, prefillChunkTokens * time.Millisecond},
		"prompt beside a decode":    {[]int{500, 0}, 600 * time.Millisecond},
		"two prompts share a chunk": {[]int{1000, 1000}, prefillChunkTokens * time.Millisecond},
	}
	for name, test := range tests {
		b := &batch{config: Config{MaxRunning: 2, PrefillRate: 1000, DecodeRate: 10}}
		for i, prefill := range test.prefill {
			b.add(newTestJob("j", 0, uint64(i), prefill, 4))
		}
		b.admit()
		if got, _ := b.step(); got.Round(time.Microsecond) != test.want {
			t.Errorf("%s: duration of the step: %v, want %v", name, got, test.want)
		}
	}
}

// Guards against a cache that grows beyond its size, evicts recently used blocks, or numbers events wrongly.
func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newCache(Config{CacheBlocks: 3})
	now := time.Now()
	c.store(now, "m", []uint64{1, 2}, false)
	c.store(now, "m", []uint64{3}, false)
	c.lookup([]uint64{1})
	c.store(now, "m", []uint64{4}, false)
	if c.lookup([]uint64{2}) != 0 || c.lookup([]uint64{1}) != 1 || c.lookup([]uint64{4}) != 1 {
		t.Fatal("cache after the eviction: want blocks 1 and 4 present and block 2, the least recently used, evicted")
	}
	c.evictModel(now, "m", true)
	events := c.eventsFrom(now, 1)
	if len(events) != 5 || events[4].PrefixHash != 2 || events[4].Stored || c.seq != 8 || c.lru.Len() != 0 {
		t.Fatalf("events %+v, last sequence %d, %d blocks; want 5 events ending with the eviction of 2, sequence 8, no blocks", events, c.seq, c.lru.Len())
	}
}

// Guards against wrong accounting of memory when models, versions and adapters are loaded and unloaded.
func TestMemoryAccounting(t *testing.T) {
	m := newMemory(100)
	for _, version := range []string{"1", "2"} {
		if !m.reserve(40) {
			t.Fatalf("reserving 40 bytes for version %s was refused, want success", version)
		}
		m.add(copyKey{"m", version}, 40, "o"+version)
	}
	m.reserve(5)
	m.newest("m").adapters["a"] = 5
	if m.reserve(16) || m.overdraws != 1 || m.used != 85 || m.peak != 101 {
		t.Fatalf("memory after reserving 16 bytes with 85 of 100 used: %+v, want a refusal, 1 overdraw, 85 used, peak 101", m)
	}
	if !m.isLoaded("m", "a") || m.isLoaded("m", "b") || m.isLoaded("n", "") {
		t.Fatalf("loaded models: %+v, want m with adapter a only", m.models())
	}
	m.remove("m", "2")
	if m.used != 40 || m.newest("m").orderID != "o1" {
		t.Fatalf("memory after removing version 2: %+v, want 40 bytes used by order o1", m)
	}
	m.remove("m", "")
	if m.used != 0 || len(m.models()) != 0 {
		t.Fatalf("memory after removing all versions: %+v, want it empty", m)
	}
}

// Guards against requests that wait forever after an unload of their model, and against aborts that are not counted.
func TestUnloadAbortsRequests(t *testing.T) {
	s := New(Config{DecodeRate: 1})
	defer s.Close()
	if err := s.Execute(engine.Order{Kind: engine.LoadModel, Model: "m"}); err != nil {
		t.Fatal(err)
	}
	j := newTestJob("j", 0, 0, 1, 1000)
	if err := s.submit(j); err != nil {
		t.Fatal(err)
	}
	if err := s.Execute(engine.Order{Kind: engine.UnloadModel, Model: "m"}); err != nil {
		t.Fatal(err)
	}
	select {
	case <-j.aborted:
	case <-time.After(time.Second):
		t.Fatal("request was not aborted within 1 s after the unload")
	}
	if c := s.Counters(); c.CutRequests != 1 || c.Unloads != 1 {
		t.Fatalf("counters: %+v, want CutRequests 1 and Unloads 1", c)
	}
}
