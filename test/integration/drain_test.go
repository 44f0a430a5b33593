package integration

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/faultproxy"
)

const (
	// noNewWorkWithin is the guaranteed time after which a leaving backend server gets no new work.
	noNewWorkWithin = 3 * time.Second
	// observeLeaving is the time after noNewWorkWithin during which the engine must start no request.
	observeLeaving = 1200 * time.Millisecond
	// hostListLag is the time after which a change shows in the host list.
	hostListLag = time.Second
	// longTokens is the length of the streams that are in progress while the runner leaves: 4.5 s at 100 tokens per
	// second.
	longTokens = 450
)

// drainTrigger is one of the events that make a backend server leave.
type drainTrigger struct {
	name string
	// start triggers the drain and returns the time from which noNewWorkWithin counts.
	start func(t *testing.T, c *cluster.Cluster, r *cluster.Runner) time.Time
	undo  func(t *testing.T, c *cluster.Cluster, r *cluster.Runner)
}

func drainTriggers() []drainTrigger {
	ctx := context.Background()
	return []drainTrigger{
		{"marked leaving in the host list", func(t *testing.T, c *cluster.Cluster, r *cluster.Runner) time.Time {
			must(t, c.SetLeaving(ctx, r))
			return time.Now().Add(hostListLag)
		}, func(t *testing.T, c *cluster.Cluster, r *cluster.Runner) {
			must(t, c.SetLive(ctx, r))
		}},
		{"drain published", func(t *testing.T, c *cluster.Cluster, r *cluster.Runner) time.Time {
			if out := ferryctl(t, "--log-url", c.LogURL, "--json", "drain", r.Spec.Name); out.exit != 0 {
				t.Fatalf("drain of %s: exit code %d, want 0: %s", r.Spec.Name, out.exit, out.output)
			}
			return lastAccepted(history(t, c)).Time
		}, func(t *testing.T, c *cluster.Cluster, r *cluster.Runner) {
			if out := ferryctl(t, "--log-url", c.LogURL, "--json", "undrain", r.Spec.Name); out.exit != 0 {
				t.Fatalf("undrain of %s: exit code %d, want 0: %s", r.Spec.Name, out.exit, out.output)
			}
		}},
		{"SIGTERM to the agent", func(_ *testing.T, _ *cluster.Cluster, r *cluster.Runner) time.Time {
			r.Agent.Signal(syscall.SIGTERM)
			return time.Now()
		}, func(t *testing.T, c *cluster.Cluster, r *cluster.Runner) {
			if err := r.Agent.Wait(15 * time.Second); err != nil {
				t.Errorf("exit of the agent of %s after SIGTERM: %v, want no error", r.Spec.Name, err)
			}
			must(t, c.StartAgent(ctx, r))
		}},
	}
}

// Guards against a leaving backend server that gets new work, makes requests fail or cuts off requests in progress, also
// while an entry host cannot read the log.
func TestLeavingRunnerGetsNoNewWork(t *testing.T) {
	spec := smallSpec()
	spec.HostListDelay = hostListLag
	// Loads of replacement copies outlast the observation. A leaving runner therefore still has its copies then, and a
	// fault that lets it accept new work shows.
	spec.Store.LoadTime = noNewWorkWithin + 2*observeLeaving
	// Entry hosts read the host list too seldom to see the change, so the agents must act on it. Each case has a system
	// of its own, which ends before the entry hosts read the list a second time.
	spec.EntrySettings = map[string]string{"platform.hosts_interval": "1m"}
	views := []struct {
		name   string
		faults faultproxy.Faults
	}{
		{"all entry hosts current", faultproxy.Faults{}},
		{"an entry host without the log", faultproxy.Faults{HoldToTarget: true, HoldToClient: true}},
	}
	for _, view := range views {
		t.Run(view.name, func(t *testing.T) {
			c := start(t, spec)
			for _, d := range drainTriggers() {
				t.Run(d.name, func(t *testing.T) {
					must(t, c.Entries[0].LogProxy.SetFaults(view.faults))
					defer func() { must(t, c.Entries[0].LogProxy.SetFaults(faultproxy.Faults{})) }()
					checkDrain(t, c, d)
				})
				must(t, c.WaitReady(context.Background(), readyTimeout))
				waitCopies(t, c)
				waitCaughtUp(t, c)
			}
		})
	}
}

func checkDrain(t *testing.T, c *cluster.Cluster, d drainTrigger) {
	requests := startLoad(loadShape{callers: 8, tokens: 12, pause: 20 * time.Millisecond}, func(i int) *cluster.Entry {
		return c.Entries[i%len(c.Entries)]
	})
	streams := startLongStreams(c)
	must(t, c.WaitFor(context.Background(), 5*time.Second, "a runner serves a long stream", func() bool { return streams.allStarted() }))
	victim := requireRunning(t, c)
	before := readCounters(t, c, victim)
	leavingSince := d.start(t, c, victim)
	time.Sleep(time.Until(leavingSince.Add(noNewWorkWithin)))
	atBound := readCounters(t, c, victim)
	time.Sleep(observeLeaving)
	afterObserving := readCounters(t, c, victim)
	requests.stop()
	streams.wg.Wait()
	end := readCounters(t, c, victim)
	d.undo(t, c, victim)
	if afterObserving.Started != atBound.Started {
		t.Errorf("requests started at %s later than %v after it began to leave: %d, want 0", victim.Spec.Name, noNewWorkWithin, afterObserving.Started-atBound.Started)
	}
	if before.Started == 0 || atBound.Started < before.Started {
		t.Errorf("requests started at %s: %d before it began to leave and %d after %v, want at least 1 and no decrease",
			victim.Spec.Name, before.Started, atBound.Started, noNewWorkWithin)
	}
	if end.Cancelled != before.Cancelled || end.CutRequests != before.CutRequests {
		t.Errorf("requests at %s while it left: %d cut off and %d cancelled, want 0 of both", victim.Spec.Name, end.CutRequests-before.CutRequests, end.Cancelled-before.Cancelled)
	}
	for _, failure := range streams.failures {
		t.Error(failure)
	}
	requests.requireAllIntact(t, 100)
}

// longStreams are four streams that are in progress while a runner leaves.
type longStreams struct {
	wg sync.WaitGroup

	mu       sync.Mutex
	started  int
	failures []string
}

// allStarted reports whether text has arrived on every stream.
func (l *longStreams) allStarted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started == 4
}

func startLongStreams(c *cluster.Cluster) *longStreams {
	l := &longStreams{}
	for i, model := range []string{"alpha", "beta", "alpha", "beta"} {
		l.wg.Go(func() {
			ctx, cancel := withTimeout(30 * time.Second)
			defer cancel()
			prompt := uniquePrompt()
			var once sync.Once
			r := chat(ctx, c.Entries[i%len(c.Entries)].URL, model, prompt, longTokens, true, func(string) {
				once.Do(func() {
					l.mu.Lock()
					defer l.mu.Unlock()
					l.started++
				})
			})
			l.mu.Lock()
			defer l.mu.Unlock()
			if !r.intact(model, "", prompt, longTokens) {
				l.failures = append(l.failures, fmt.Sprintf("long stream of %s not intact: %d bytes, done %v, stream error %q, err %v", model, len(r.text), r.done, r.streamErr, r.err))
			}
		})
	}
	return l
}

func readCounters(t *testing.T, c *cluster.Cluster, r *cluster.Runner) engineCounters {
	t.Helper()
	var out engineCounters
	must(t, c.ReadCounters(context.Background(), r.BackendURL, "/counters", &out))
	return out
}
