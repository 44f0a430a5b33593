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

// fetchAll fetches count objects concurrently and returns the time until the last fetch has ended.
func fetchAll(t *testing.T, s *Server, kind string, count int) time.Duration {
	t.Helper()
	server := httptest.NewServer(s)
	defer server.Close()
	client := NewClient(server.URL)
	start := time.Now()
	var fetches sync.WaitGroup
	for i := range count {
		fetches.Go(func() {
			if err := client.Fetch(context.Background(), kind, fmt.Sprint(i), 1000); err != nil {
				t.Error(err)
			}
		})
	}
	fetches.Wait()
	return time.Since(start)
}

// Guards against a store that is faster than its limits. There are no upper bounds on the times, since those depend on
// the load of the machine.
func TestLoadTimeLimits(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		config  Config
		kind    string
		count   int
		atLeast time.Duration
	}{
		"one model":                  {Config{LoadTime: 100 * ms, ModelsInFlight: 3}, "model", 1, 100 * ms},
		"models within concurrency":  {Config{LoadTime: 100 * ms, ModelsInFlight: 3}, "model", 3, 100 * ms},
		"models beyond concurrency":  {Config{LoadTime: 100 * ms, ModelsInFlight: 2}, "model", 4, 190 * ms},
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
				t.Fatalf("time of all fetches: %v, want at least %v", took, test.atLeast)
			}
		})
	}
}

// Guards against a speed that does not fall in proportion to the number of loads beyond the limit.
func TestPoolSpeed(t *testing.T) {
	tests := []struct {
		limit, active int
		want          float64
	}{{0, 50, 1}, {4, 1, 1}, {4, 4, 1}, {4, 8, 0.5}, {24, 96, 0.25}}
	for _, test := range tests {
		p := &pool{limit: test.limit, active: test.active}
		if got := p.speed(); got != test.want {
			t.Errorf("speed with limit %d and %d active loads: %v, want %v", test.limit, test.active, got, test.want)
		}
	}
}

// Guards against a failed fetch that is reported as a success.
func TestFetchFaults(t *testing.T) {
	s := New(Config{})
	server := httptest.NewServer(s)
	defer server.Close()
	client := NewClient(server.URL)
	for name, test := range map[string]struct {
		faults faults.Switches
		code   failure.Code
	}{
		"down":          {faults.Switches{Down: true}, failure.ConnectionLost},
		"refused":       {faults.Switches{Refuse: true}, failure.EngineFailed},
		"response lost": {faults.Switches{LoseAnswerAfterEffect: 1}, failure.ConnectionLost},
	} {
		s.Faults.Set(test.faults)
		if err := client.Fetch(context.Background(), "model", "m", 1); !failure.HasCode(err, test.code) {
			t.Errorf("%s: error of the fetch: %v, want code %v", name, err, test.code)
		}
	}
}
