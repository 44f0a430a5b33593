package idempotency

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra/memlog"
	"trefoilferry.example/ferry/pkg/stream"
)

func startManager(t *testing.T, log *memlog.Log, name string) *Manager {
	t.Helper()
	m := newManager(t, log, name)
	m.Start()
	waitFor(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.protocol.ready
	})
	return m
}

func newManager(t *testing.T, log *memlog.Log, name string) *Manager {
	t.Helper()
	fold := NewFold(DefaultKeyRetention)
	writer := stream.NewWriter(log, testStream, name, time.Now, func() uint64 { return 0 })
	writer.SetRetryDelay(time.Millisecond)
	m := NewManager(ManagerConfig{Protocol: ProtocolConfig{Runner: name, Incarnation: name, AppendInterval: AppendInterval(2), ResultWait: time.Second},
		Fold: fold, Follower: stream.NewFollower(stream.FollowerConfig{Stream: testStream, Fold: fold, Log: log}),
		Writer: writer, Clock: clock.System{}, PollInterval: 20 * time.Millisecond})
	t.Cleanup(m.Close)
	return m
}

// Guards against an agent that refuses requests with a key between its start and its first read of the log.
func TestAcquireWaitsForFirstRead(t *testing.T) {
	log := memlog.New()
	log.SetDown(true)
	m := newManager(t, log, "a")
	m.Start()
	time.AfterFunc(100*time.Millisecond, func() { log.SetDown(false) })
	g, err := m.Acquire(context.Background(), "key", 7)
	if err != nil {
		t.Fatal(err)
	}
	g.Abandon()
	log.SetDown(true)
	late := newManager(t, log, "b")
	late.Start()
	if _, err := late.Acquire(context.Background(), "key", 7); !failure.HasCode(err, failure.LogUnavailable) {
		t.Fatalf("Acquire while the log is unavailable: got %v, want code log_unavailable", err)
	}
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for range 2000 {
		if done() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the condition was not met within 10 s")
}

// Guards against two executions for a key that concurrent callers use at two agents while responses of the log are lost,
// against callers that do not get the stored result, and against leaked goroutines.
func TestManagersShareOneResult(t *testing.T) {
	// Registered first, so that it runs after the managers are closed.
	t.Cleanup(func() { goleak.VerifyNone(t) })
	log := memlog.New()
	managers := []*Manager{startManager(t, log, "a"), startManager(t, log, "b")}
	log.LoseResponses(3)
	var mu sync.Mutex
	executed, replayed := map[string]int{}, map[string]int{}
	var wait sync.WaitGroup
	for i := range 60 {
		key := fmt.Sprint(i % 10)
		wait.Go(func() {
			g, err := managers[i%2].Acquire(context.Background(), key, 7)
			if err != nil {
				t.Errorf("key %s: %v", key, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if d := g.Replay(); d != nil {
				replayed[key] += int(d.Status / 200)
				return
			}
			if g.MayStart() {
				executed[key]++
				g.Finish(&ferrypb.KeyDone{Outcome: "ran", Status: 200})
			}
		})
	}
	wait.Wait()
	for i := range 10 {
		if key := fmt.Sprint(i); executed[key] != 1 || replayed[key] != 5 {
			t.Errorf("key %s: %d executions and %d replays, want 1 and 5", key, executed[key], replayed[key])
		}
	}
	waitFor(t, func() bool { return managers[0].Drained() && managers[1].Drained() })
}

// Guards against a key that stays claimed by a request that was refused during an outage of the log, and against a wrong
// outcome of that refusal.
func TestKeyIsFreeAfterLogOutage(t *testing.T) {
	log := memlog.New()
	a := startManager(t, log, "a")
	log.SetDown(true)
	_, err := a.Acquire(context.Background(), "k", 7)
	if !failure.HasCode(err, failure.LogUnavailable) || failure.From(err).Outcome != failure.NotRun {
		t.Fatalf("Acquire during the outage: got %v, want code log_unavailable with outcome not_run", err)
	}
	log.SetDown(false)
	b := startManager(t, log, "b")
	g, err := b.Acquire(context.Background(), "k", 7)
	if err != nil || !g.MayStart() {
		t.Fatalf("Acquire at another agent after the outage: got error %v, want permission to run", err)
	}
	g.Abandon()
	g, err = a.Acquire(context.Background(), "k", 8)
	if err != nil || !g.MayStart() {
		t.Fatalf("Acquire of an abandoned key: got error %v, want permission to run", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if _, err := b.Acquire(ctx, "k", 8); failure.From(err).Outcome != failure.Unknown {
		t.Fatalf("Acquire of a key in progress at another agent: got %v, want outcome unknown", err)
	}
	if _, err := b.Acquire(context.Background(), "k", 9); !failure.HasCode(err, failure.KeyMismatch) {
		t.Fatalf("Acquire of a key used by another request: got %v, want code key_mismatch", err)
	}
}
