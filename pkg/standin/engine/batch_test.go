package engine

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
)

func newTestJob(id string, priority int32, arrival uint64, prefill, total int) *job {
	return &job{
		ctx: context.Background(), id: id, model: "m", priority: priority, arrival: arrival, prefill: prefill, total: total,
		tokens: make(chan int, total), cut: make(chan struct{}),
	}
}

// Guards against an order of service that ignores priority, or arrival within one priority.
func TestAdmitByPriority(t *testing.T) {
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
		t.Fatalf("got %q and %d waiting", got, len(b.waiting))
	}
}

// Guards against a step whose time does not follow from the rates.
func TestStepTime(t *testing.T) {
	tests := map[string]struct {
		prefill []int
		want    time.Duration
	}{
		"decode of one":             {[]int{0}, 100 * time.Millisecond},
		"decode of a full batch":    {[]int{0, 0}, 125 * time.Millisecond},
		"prompt only":               {[]int{500}, 500 * time.Millisecond},
		"long prompt in parts":      {[]int{5000}, prefillChunk * time.Millisecond},
		"prompt beside a decode":    {[]int{500, 0}, 600 * time.Millisecond},
		"two prompts share a chunk": {[]int{1000, 1000}, prefillChunk * time.Millisecond},
	}
	for name, test := range tests {
		b := &batch{config: Config{MaxRunning: 2, PrefillRate: 1000, DecodeRate: 10}}
		for i, prefill := range test.prefill {
			b.add(newTestJob("j", 0, uint64(i), prefill, 4))
		}
		b.admit()
		if got, _ := b.step(); got.Round(time.Microsecond) != test.want {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
}

// Guards against a cache that grows beyond its size, loses recently used blocks, or numbers events wrongly.
func TestCacheEvicts(t *testing.T) {
	c := newCache(Config{CacheBlocks: 3})
	now := time.Now()
	c.store(now, "m", []uint64{1, 2}, false)
	c.store(now, "m", []uint64{3}, false)
	c.hit([]uint64{1})
	c.store(now, "m", []uint64{4}, false)
	if c.hit([]uint64{2}) != 0 || c.hit([]uint64{1}) != 1 || c.hit([]uint64{4}) != 1 {
		t.Fatal("the block used least recently was kept")
	}
	c.forget(now, "m", true)
	events := c.since(now, 1)
	if len(events) != 5 || events[4].Prefix != 2 || events[4].Stored || c.seq != 8 || c.order.Len() != 0 {
		t.Fatalf("got %+v, sequence %d", events, c.seq)
	}
}

// Guards against memory that drifts when models, versions and adapters come and go.
func TestMemoryBalances(t *testing.T) {
	m := newMemory(100)
	for _, version := range []string{"1", "2"} {
		if !m.reserve(40) {
			t.Fatal("does not fit")
		}
		m.add(copyKey{"m", version}, 40, "o"+version)
	}
	m.reserve(5)
	m.newest("m").adapters["a"] = 5
	if m.reserve(16) || m.overdraws != 1 || m.used != 85 || m.peak != 101 {
		t.Fatalf("got %+v", m)
	}
	if !m.holds("m", "a") || m.holds("m", "b") || m.holds("n", "") {
		t.Fatal("wrong contents")
	}
	m.remove("m", "2")
	if m.used != 40 || m.newest("m").orderID != "o1" {
		t.Fatalf("got %+v", m)
	}
	m.remove("m", "")
	if m.used != 0 || len(m.models()) != 0 {
		t.Fatalf("got %+v", m)
	}
}

// Guards against requests that an unload leaves waiting for ever, and against cuts that go uncounted.
func TestUnloadCutsAndCounts(t *testing.T) {
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
	case <-j.cut:
	case <-time.After(time.Second):
		t.Fatal("request still waits")
	}
	if c := s.Counters(); c.CutRequests != 1 || c.Unloads != 1 {
		t.Fatalf("got %+v", c)
	}
}
