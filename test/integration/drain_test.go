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
	// noNewWorkWithin is the stated time after which a leaving backend server gets no new work.
	noNewWorkWithin = 3 * time.Second
	// observeLeaving is the time for which a leaving engine is watched afterwards.
	observeLeaving = 1200 * time.Millisecond
	// hostListLag is the lag of the host list.
	hostListLag = time.Second
	// longTokens is the length of a stream that is in progress for the whole window.
	longTokens = 450
)

// drainTrigger is a way in which a backend server leaves.
type drainTrigger struct {
	name string
	// start returns the time from which the 3 s count.
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
				t.Fatalf("drain: %s", out.output)
			}
			return lastAccepted(history(t, c)).Time
		}, func(t *testing.T, c *cluster.Cluster, r *cluster.Runner) {
			if out := ferryctl(t, "--log-url", c.LogURL, "--json", "undrain", r.Spec.Name); out.exit != 0 {
				t.Fatalf("undrain: %s", out.output)
			}
		}},
		{"SIGTERM to the agent", func(_ *testing.T, _ *cluster.Cluster, r *cluster.Runner) time.Time {
			r.Agent.Signal(syscall.SIGTERM)
			return time.Now()
		}, func(t *testing.T, c *cluster.Cluster, r *cluster.Runner) {
			if err := r.Agent.Wait(15 * time.Second); err != nil {
				t.Error(err)
			}
			must(t, c.StartAgent(ctx, r))
		}},
	}
}

// Guards against new work at a backend server that leaves, requests that fail because it leaves, and requests in progress
// that it cuts off; also when an entry host cannot read the log.
func TestLeavingRunnerGetsNoNewWork(t *testing.T) {
	spec := smallSpec()
	spec.HostLag = hostListLag
	// Loads outlast the watched time, so that a runner that does not refuse still holds its copies then.
	spec.Store.LoadTime = noNewWorkWithin + 2*observeLeaving
	// Entry hosts read the host list too seldom to see the change, so that the agents have to act on it. Each view has a
	// system of its own, which ends before the second read of the list.
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
					must(t, c.Entries[0].LogProxy.Set(view.faults))
					defer func() { must(t, c.Entries[0].LogProxy.Set(faultproxy.Faults{})) }()
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
	deadlineStart := d.start(t, c, victim)
	time.Sleep(time.Until(deadlineStart.Add(noNewWorkWithin)))
	first := readCounters(t, c, victim)
	time.Sleep(observeLeaving)
	last := readCounters(t, c, victim)
	requests.stop()
	streams.wg.Wait()
	end := readCounters(t, c, victim)
	d.undo(t, c, victim)
	if last.Started != first.Started {
		t.Errorf("%s started %d requests later than %v after it began to leave", victim.Spec.Name, last.Started-first.Started, noNewWorkWithin)
	}
	if before.Started == 0 || first.Started < before.Started {
		t.Errorf("%s served nothing before", victim.Spec.Name)
	}
	if end.Cancelled != before.Cancelled || end.CutRequests != before.CutRequests {
		t.Errorf("%s cut %d requests and had %d cancelled", victim.Spec.Name, end.CutRequests-before.CutRequests, end.Cancelled-before.Cancelled)
	}
	for _, fault := range streams.failures {
		t.Error(fault)
	}
	requests.requireAllIntact(t, 100)
}

// longStreams are streams that are in progress while a runner leaves.
type longStreams struct {
	wg sync.WaitGroup

	mu       sync.Mutex
	started  int
	failures []string
}

// allStarted reports whether every stream has sent text.
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
				l.failures = append(l.failures, fmt.Sprintf("long stream of %s is not whole: %d bytes, done %v, error %q, %v", model, len(r.text), r.done, r.streamErr, r.err))
			}
		})
	}
	return l
}

func readCounters(t *testing.T, c *cluster.Cluster, r *cluster.Runner) engineCounters {
	t.Helper()
	var out engineCounters
	must(t, c.Counters(context.Background(), r.BackendURL, "/counters", &out))
	return out
}
