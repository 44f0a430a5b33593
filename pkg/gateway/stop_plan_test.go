package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

// Guards against requests that a stopping daemon takes or starts although it may not finish them, and against refusing
// work that fits into what is left of the grace.
func TestStopPlanTakesWhatCanBeFinished(t *testing.T) {
	signalled := time.Now()
	at := func(s float64) time.Time { return signalled.Add(time.Duration(s * float64(time.Second))) }
	stopping := StopPlan{LastArrival: at(2.5), LastStart: at(4.8), End: at(7.1)}
	for _, c := range []struct {
		name string
		plan StopPlan
		now  float64
		// expected is the expected duration in seconds.
		expected      float64
		takes, starts bool
	}{
		{"not stopping", StopPlan{}, 100, 100, true, true},
		{"just signalled", stopping, 0, 1, true, true},
		{"as long as the grace", stopping, 2.4, 4.7, true, true},
		{"longer than the grace", stopping, 2.4, 4.8, true, false},
		{"held since before", stopping, 4.7, 2, false, true},
		{"late", stopping, 2.5, 0, false, true},
		{"late start", stopping, 4.8, 0, false, false},
		{"after the end", stopping, 7.2, 0, false, false},
	} {
		if got := c.plan.takes(at(c.now)); got != c.takes {
			t.Errorf("%s: takes a request read %v s after the signal: %v, want %v", c.name, c.now, got, c.takes)
		}
		if got := c.plan.starts(at(c.now), time.Duration(c.expected*float64(time.Second))); got != c.starts {
			t.Errorf("%s: starts a request of %v s at %v s: %v, want %v", c.name, c.expected, c.now, got, c.starts)
		}
	}
}

// Guards against refusing a resumed stream, or a request that ends with its deadline, by the length of the whole response.
func TestExpectedTimeOfRequests(t *testing.T) {
	now := time.Now()
	c := &choice{predicted: 100 * time.Millisecond}
	j := modelJob("id", "", 10, 10)
	j.meta.ExpectedOutputTokens = 1000
	if got, want := j.expectedTime(c, now), 100*time.Millisecond+1000*decodeStepTime; got != want {
		t.Errorf("expected time of 1000 tokens: %v, want %v", got, want)
	}
	j.deadline = now.Add(time.Second)
	if got := j.expectedTime(c, now); got != time.Second {
		t.Errorf("expected time with a second left: %v, want 1s", got)
	}
	j.meta.LastEventID = "900"
	if got := j.expectedTime(c, now); got != c.predicted {
		t.Errorf("expected time of a resumed stream: %v, want %v", got, c.predicted)
	}
}

// Guards against a request that waits for its model when the stop begins and is cut off with the process, and against one
// that is sent to a server so late.
func TestHeldRequestIsRefusedWhenTheStopLeavesNoTime(t *testing.T) {
	view := modelView(1)
	view.Changed = make(chan struct{})
	control := NewControl(eventlog.Discard(), NewPollTiming(time.Second))
	control.view.Store(view)
	f := &Forwarder{control: control, log: eventlog.Discard(), chooser: testChooser(), demand: NewDemand(), stop: newStopState(),
		backend: &backend{tracker: NewTracker(), limits: serverlimit.NewTable(rand.Float64)}}
	f.StartDraining(StopPlan{LastArrival: time.Now(), LastStart: time.Now().Add(100 * time.Millisecond), End: time.Now().Add(time.Second)})
	for _, model := range []string{"missing", "m"} {
		j, p := modelJob("id", "", 10, 10), &progress{outcome: failure.NotRun, relay: &streamRelay{}}
		j.meta.Model, j.deadline = model, time.Now().Add(4*time.Second)
		began := time.Now()
		_, fail := f.nextServer(t.Context(), j, p)
		if took := time.Since(began); fail == nil || fail.Code != failure.Leaving || fail.Outcome != failure.NotRun || took > 500*time.Millisecond {
			t.Errorf("model %s: failure %v after %v, want leaving, not run, within 500 ms", model, fail, took)
		}
	}
}
