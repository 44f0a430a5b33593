package integration

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"trefoilferry.example/ferry/internal/cluster"
)

var (
	soakSeed     = flag.Uint64("soak.seed", 20261204, "seed of the soak's faults and requests")
	soakDuration = flag.Duration("soak.duration", 60*time.Second, "time for which the soak injects faults")
)

const (
	soakCallers = 12
	// soakLanes is the number of goroutines that inject faults, and so of faults that may overlap.
	soakLanes        = 2
	soakReadyTimeout = 20 * time.Second
	// soakMinSuccessRatio is the minimum share of requests that succeed in spite of the faults, so that a system that
	// refuses everything does not pass.
	soakMinSuccessRatio = 0.5
)

// kindKeyed marks calls with an idempotency key in a recorder. They are not checked as kindCall is, since a retry gets
// the stored response without a run of its own.
const kindKeyed = "keyed"

// soak is the state of one run of random, seeded faults under load.
type soak struct {
	c        *cluster.Cluster
	recorder recorder
	wg       sync.WaitGroup

	mu         sync.Mutex
	keys       []string
	violations []string
	succeeded  int
	sent       int
}

// Guards against combinations of faults that the tables of the other tests do not list. During the faults responses are
// intact or explicit errors, requests with the outcome not_run did not run, a key runs at most once and memory is not
// overcommitted. After the faults every request succeeds again.
func TestSoak(t *testing.T) {
	t.Logf("seed %d, duration %v", *soakSeed, *soakDuration)
	s := &soak{c: start(t, soakSpec())}
	ctx, cancel := context.WithTimeout(context.Background(), *soakDuration)
	defer cancel()
	for i := range soakCallers {
		s.wg.Go(func() { s.send(ctx, rand.New(rand.NewPCG(*soakSeed, uint64(i)))) })
	}
	for i := range soakLanes {
		s.wg.Go(func() { s.injectFaults(ctx, t, i) })
	}
	s.wg.Wait()
	must(t, s.c.WaitReady(context.Background(), soakReadyTimeout))
	waitCopies(t, s.c)
	s.check(t)
	l := startLoad(loadShape{callers: 4, tokens: 8, pause: 20 * time.Millisecond}, func(i int) *cluster.Entry {
		return s.c.Entries[i%len(s.c.Entries)]
	})
	time.Sleep(2 * time.Second)
	l.stop()
	l.requireAllIntact(t, 20)
}

func soakSpec() cluster.Spec {
	spec := smallSpec()
	spec.EntrySettings = map[string]string{"limits.frame_timeout": "1s", "limits.request_timeout": "8s"}
	return spec
}

// injectFaults injects one fault after the other until ctx ends. Each lane has its own runners and entry host, so that
// healing a fault of one lane does not end a fault of another.
func (s *soak) injectFaults(ctx context.Context, t *testing.T, lane int) {
	random := rand.New(rand.NewPCG(*soakSeed, uint64(1000+lane)))
	faults := soakFaults(lane)
	for ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		runner := s.c.Runners[(random.IntN(len(s.c.Runners)/soakLanes)*soakLanes+lane)%len(s.c.Runners)]
		entry := s.c.Entries[lane%len(s.c.Entries)]
		duration := time.Duration(300+random.IntN(2500)) * time.Millisecond
		t.Logf("lane %d: %s at %s for %v", lane, f.name, runner.Spec.Name, duration)
		f.inject(s.c, runner, entry)
		select {
		case <-ctx.Done():
		case <-time.After(duration):
		}
		if err := f.heal(s.c, runner, entry); err != nil {
			t.Errorf("healing the fault %q at %s: %v", f.name, runner.Spec.Name, err)
		}
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
}

// send sends one request after the other until ctx ends. A request in progress at that time is not cut off.
func (s *soak) send(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		entry := s.c.Entries[random.IntN(len(s.c.Entries))]
		reqCtx, cancel := withTimeout(15 * time.Second)
		switch random.IntN(4) {
		case 0:
			s.count(s.recorder.post(reqCtx, entry, "", "slot").status == http.StatusOK)
		case 1:
			s.sendKeyed(reqCtx, entry, random)
		default:
			s.sendChat(reqCtx, entry, []string{"alpha", "beta"}[random.IntN(2)], 5+random.IntN(60), random.IntN(2) == 0)
		}
		cancel()
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// sendKeyed sends a call with a new key or with one of the last 8 keys, like a caller that retries after the outcome
// unknown.
func (s *soak) sendKeyed(ctx context.Context, entry *cluster.Entry, random *rand.Rand) {
	key := "soak-" + uuid.NewString()
	s.mu.Lock()
	if recent := min(len(s.keys), 8); recent > 0 && random.IntN(2) == 0 {
		key = s.keys[len(s.keys)-1-random.IntN(recent)]
	} else {
		s.keys = append(s.keys, key)
	}
	s.mu.Unlock()
	id := uuid.NewString()
	r := callAs(ctx, http.MethodPost, entry.URL+"/services/booking/crews", key, id, "crew of "+key)
	s.recorder.add(requestRecord{result: r, id: id, kind: kindKeyed})
	s.count(r.status == http.StatusOK)
}

func (s *soak) sendChat(ctx context.Context, entry *cluster.Entry, model string, tokens int, stream bool) {
	prompt := uniquePrompt()
	r := chat(ctx, entry.URL, model, prompt, tokens, stream, nil)
	intact := r.intact(model, "", prompt, tokens)
	s.count(intact)
	reportedComplete := r.done && r.err == nil
	if reportedComplete && !intact {
		s.addViolation(fmt.Sprintf("response of %s via %s delivered as complete but not intact: %v", model, entry.Spec.Name, r))
	}
	expected := expectedText(model, "", prompt, tokens)
	if r.status == http.StatusOK && (len(r.text) > len(expected) || expected[:len(r.text)] != r.text) {
		s.addViolation(fmt.Sprintf("response of %s via %s: text is not a prefix of the expected text: %v", model, entry.Spec.Name, r))
	}
	s.recorder.add(requestRecord{result: r, id: r.requestID, kind: kindGenerate, prompt: prompt})
}

func (s *soak) count(good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if good {
		s.succeeded++
	}
}

func (s *soak) addViolation(violation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, violation)
}

func (s *soak) check(t *testing.T) {
	t.Helper()
	runs := countRuns(t, s.c)
	s.recorder.checkOutcomes(t, runs)
	for _, violation := range s.violations {
		t.Error(violation)
	}
	for _, key := range s.keys {
		if runs.byKey[key] > 1 {
			t.Errorf("runs of key %s: %d, want at most 1", key, runs.byKey[key])
		}
	}
	t.Logf("%d requests, %d succeeded, %d keys", s.sent, s.succeeded, len(s.keys))
	if float64(s.succeeded) < soakMinSuccessRatio*float64(s.sent) {
		t.Errorf("requests that succeeded: %d of %d, want at least a share of %v", s.succeeded, s.sent, soakMinSuccessRatio)
	}
}
