package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/quarantine"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

// Guards against a request that is taken from a silent server before another one is found for it and paid for: its
// caller then loses a response that the silent server would have completed.
func TestSilentServerKeepsItsRequestWithoutAnother(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(f *Forwarder, j *job, p *progress)
		want    obstacle
	}{
		"another server":       {func(*Forwarder, *job, *progress) {}, ""},
		"attempts used":        {func(_ *Forwarder, _ *job, p *progress) { p.sent = 1 }, obstacleAttempts},
		"retry budget spent":   {func(f *Forwarder, _ *job, _ *progress) { f.budgets = newBudgets(BudgetLimits{Window: time.Second}) }, obstacleBudget},
		"other server tried":   {func(_ *Forwarder, j *job, _ *progress) { j.tried["r1"] = true }, obstacleServer},
		"other server suspect": {func(f *Forwarder, _ *job, _ *progress) { f.backend.tracker.RecordFailure("r1", time.Now()) }, obstacleServer},
		"no time left":         {func(_ *Forwarder, j *job, _ *progress) { j.deadline = time.Now().Add(time.Millisecond) }, obstacleServer},
		"suspect prompt":       {func(_ *Forwarder, j *job, p *progress) { p.suspect, j.parts = true, []string{"aa"} }, obstaclePrompt},
	} {
		t.Run(name, func(t *testing.T) {
			control := NewControl(eventlog.Discard(), NewPollTiming(time.Second))
			control.view.Store(modelView(2))
			f := &Forwarder{control: control, log: eventlog.Discard(), chooser: testChooser(), board: quarantine.NewBoard(),
				metrics: NewMetrics(prometheus.NewRegistry()), budgets: newBudgets(BudgetLimits{Slack: 100, Window: time.Second}),
				backend: &backend{tracker: NewTracker(), limits: serverlimit.NewTable(rand.Float64)}}
			j, p := modelJob("id", "", 10, 10), &progress{outcome: failure.NotRun, relay: &streamRelay{}}
			j.route = &fleet.Route{Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2}
			j.deadline = time.Now().Add(4 * time.Second)
			c.prepare(f, j, p)
			next, why := f.chooseTakeover(j, &choice{server: fleet.Server{ID: "r0"}}, p, true, time.Now())
			if why != c.want || (next != nil) != (c.want == "") {
				t.Errorf("kept by %q with server %v, want %q", why, next, c.want)
			}
			if next != nil && next.server.ID != "r1" {
				t.Errorf("taken over by %s, want r1", next.server.ID)
			}
		})
	}
}

// testTaker is a server that is offered a request. It answers after the given time.
type testTaker struct {
	after    time.Duration
	declines bool
	asked    atomic.Int32
	released atomic.Bool
	steps    []handoverStep
}

func (t *testTaker) ask(sending func()) bool {
	t.asked.Add(1)
	sending()
	time.Sleep(t.after)
	return !t.declines
}

func (t *testTaker) settled(step handoverStep) { t.steps = append(t.steps, step) }

func (t *testTaker) release() { t.released.Store(true) }

// Guards against an attempt that is cancelled although no server takes its request over, and against one that stays at
// a dead server because another one only became available later.
func TestSilenceIsLookedAtAgain(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	var looks atomic.Int32
	found := &testTaker{}
	watch := newSilenceWatch(10*time.Millisecond, time.Hour, cancel, func(s silence) taker {
		if n := looks.Add(1); s.repeated != (n > 1) {
			t.Error(fmt.Sprint("look ", n, " repeated: ", s.repeated))
		}
		if looks.Load() < 3 {
			return nil
		}
		return found
	})
	time.Sleep(silenceRecheck / 2)
	if ctx.Err() != nil {
		t.Fatal("the attempt was cancelled although no server takes its request over")
	}
	select {
	case <-ctx.Done():
	case <-time.After(10 * silenceRecheck):
		t.Fatal("the attempt was not cancelled once a server takes its request over")
	}
	if next := watch.stop(false); next != found || looks.Load() != 3 {
		t.Errorf("server that takes the request over: %v after %d looks, want the one found at the third", next, looks.Load())
	}
}

// Guards against an attempt that is given up for a server that has not taken its request, and against an event of the silent
// server that reaches the caller beside those of the server that has.
func TestSilentServerKeepsItsRequestUntilAnotherOneTakesIt(t *testing.T) {
	for name, c := range map[string]struct {
		other *testTaker
		// speaks is set if the silent server sends an event while the other one is asked.
		speaks    bool
		deadAfter time.Duration
		want      handoverStep
	}{
		"taken":                                   {&testTaker{}, false, time.Hour, handoverMove},
		"declined":                                {&testTaker{declines: true}, false, time.Hour, handoverStay},
		"declined, presumed dead":                 {&testTaker{declines: true}, false, handoverLimit, handoverStay},
		"declined after an event":                 {&testTaker{after: handoverLimit / 2, declines: true}, true, time.Hour, handoverStay},
		"taken after an event":                    {&testTaker{after: handoverLimit / 2}, true, time.Hour, handoverMove},
		"no answer from both":                     {&testTaker{after: 2 * handoverLimit}, false, time.Hour, handoverWithdraw},
		"late refusal":                            {&testTaker{after: 2 * handoverLimit, declines: true}, false, time.Hour, handoverWithdraw},
		"no answer, presumed dead":                {&testTaker{after: 2 * handoverLimit}, false, handoverLimit, handoverMove},
		"no answer, the silent server goes on":    {&testTaker{after: 2 * handoverLimit}, true, handoverLimit, handoverWithdraw},
		"late refusal, the silent server goes on": {&testTaker{after: 2 * handoverLimit, declines: true}, true, handoverLimit, handoverWithdraw},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			other := c.other
			watch := newSilenceWatch(time.Millisecond, c.deadAfter, cancel, func(s silence) taker {
				if s.repeated {
					return nil
				}
				return other
			})
			for other.asked.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			if c.speaks {
				if delivers := watch.pause(true); delivers != (c.want != handoverMove) {
					t.Errorf("the event reaches the caller: %v", delivers)
				}
			} else {
				time.Sleep(handoverLimit + 50*time.Millisecond)
			}
			if cancelled := ctx.Err() != nil; cancelled != (c.want == handoverMove) {
				t.Errorf("the attempt at the silent server was cancelled: %v", cancelled)
			}
			next := watch.stop(c.want != handoverMove)
			if (next != nil) != (c.want == handoverMove) || len(other.steps) != 1 || other.steps[0] != c.want {
				t.Errorf("next server %v after %v, want %s", next, other.steps, c.want)
			}
			if released := other.released.Load(); released != (c.want == handoverWithdraw) {
				t.Errorf("the withdrawn attempt has ended: %v", released)
			}
		})
	}
}

// Load pattern: a caller that reads slowly holds up the reading from its server. Guards against a server that is presumed
// dead for the time in which nobody listened to it.
func TestTimeOfAPauseIsNoSilence(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	seen := make(chan silence, 1)
	watch := newSilenceWatch(20*time.Millisecond, time.Second, cancel, func(s silence) taker {
		select {
		case seen <- s:
		default:
		}
		return nil
	})
	defer watch.end(false)
	watch.pause(false)
	time.Sleep(time.Second)
	watch.resume()
	select {
	case s := <-seen:
		if s.dead || s.length > handoverLimit {
			t.Errorf("silence after a pause: %v, presumed dead: %v; want less than %v", s.length, s.dead, handoverLimit)
		}
	case <-ctx.Done():
	}
}

// Load patterns: streams that pause, and buffered responses whose servers say nothing until they are complete. Guards against
// a sound server that is presumed dead, and against a request that stays at a dead one until its deadline.
func TestServerIsPresumedDeadByWhatItsResponseAllows(t *testing.T) {
	arrived := time.Now()
	for name, c := range map[string]struct {
		kind         fleet.Kind
		target, time time.Duration
		want         time.Duration
	}{
		"stream":                           {fleet.Streaming, time.Second, 15 * time.Second, 3 * time.Second},
		"stream with little time":          {fleet.Streaming, time.Second, 2 * time.Second, 1500 * time.Millisecond},
		"stream without a deadline":        {fleet.Streaming, 4 * time.Second, 0, 3 * time.Second},
		"buffered response":                {fleet.Idempotent, time.Second, 15 * time.Second, 3 * time.Second},
		"long buffered response":           {fleet.Idempotent, 4 * time.Second, 15 * time.Second, 8 * time.Second},
		"long response with little time":   {fleet.Idempotent, 4 * time.Second, 8 * time.Second, 6 * time.Second},
		"long response without a deadline": {fleet.Idempotent, 4 * time.Second, 0, 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			j := &job{arrived: arrived, route: &fleet.Route{Kind: c.kind, TargetLatency: c.target}}
			if c.time > 0 {
				j.deadline = arrived.Add(c.time)
			}
			if got := deadAfter(j); got != c.want {
				t.Errorf("presumed dead after %v, want %v", got, c.want)
			}
		})
	}
}
