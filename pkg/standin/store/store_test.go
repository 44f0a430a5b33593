package store

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/faults"
)

// fetchAll fetches count objects at once and returns the time until the last one has arrived.
func fetchAll(t *testing.T, s *Server, kind string, count int) time.Duration {
	t.Helper()
	server := httptest.NewServer(s)
	defer server.Close()
	client := NewClient(server.URL)
	begin := time.Now()
	var all sync.WaitGroup
	for i := range count {
		all.Go(func() {
			if err := client.Fetch(context.Background(), kind, fmt.Sprint(i), 1000); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	return time.Since(begin)
}

// Guards against a store that is faster than its limits. Upper bounds are left to the load of the machine.
func TestLimits(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		config  Config
		kind    string
		count   int
		atLeast time.Duration
	}{
		"one model":                  {Config{LoadTime: 100 * ms, Concurrent: 3}, "model", 1, 100 * ms},
		"models within concurrency":  {Config{LoadTime: 100 * ms, Concurrent: 3}, "model", 3, 100 * ms},
		"models beyond concurrency":  {Config{LoadTime: 100 * ms, Concurrent: 2}, "model", 4, 190 * ms},
		"rate of starts":             {Config{LoadsPerSecond: 10}, "model", 4, 290 * ms},
		"scaled rate":                {Config{LoadsPerSecond: 1, Scale: 10}, "model", 4, 290 * ms},
		"time by size":               {Config{BytesPerSecond: 10000}, "model", 1, 100 * ms},
		"adapters within the limit":  {Config{AdaptersInFlight: 8}, "adapter", 8, 5 * ms},
		"adapters beyond the limit":  {Config{AdaptersInFlight: 2}, "adapter", 32, 80 * ms},
		"adapters ignore model rate": {Config{LoadsPerSecond: 0.001}, "adapter", 4, 5 * ms},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if took := fetchAll(t, New(test.config), test.kind, test.count); took < test.atLeast {
				t.Fatalf("took %v, want at least %v", took, test.atLeast)
			}
		})
	}
}

// Guards against a speed that does not fall in proportion to the loads beyond the limit.
func TestPoolSpeed(t *testing.T) {
	tests := []struct {
		limit, active int
		want          float64
	}{{0, 50, 1}, {4, 1, 1}, {4, 4, 1}, {4, 8, 0.5}, {24, 96, 0.25}}
	for _, test := range tests {
		p := &pool{limit: test.limit, active: test.active}
		if got := p.speed(); got != test.want {
			t.Errorf("%+v: got %v", test, got)
		}
	}
}

// Guards against a failed fetch that passes for loaded weights.
func TestFetchFaults(t *testing.T) {
	s := New(Config{})
	server := httptest.NewServer(s)
	defer server.Close()
	client := NewClient(server.URL)
	for name, test := range map[string]struct {
		faults faults.Switches
		code   failure.Code
	}{
		"down":        {faults.Switches{Down: true}, failure.ConnectionLost},
		"refused":     {faults.Switches{Refuse: true}, failure.EngineFailed},
		"answer lost": {faults.Switches{LoseAnswerAfterEffect: 1}, failure.ConnectionLost},
	} {
		s.Faults.Set(test.faults)
		if err := client.Fetch(context.Background(), "model", "m", 1); !failure.HasCode(err, test.code) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
