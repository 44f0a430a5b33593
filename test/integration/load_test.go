package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
)

// load sends chat requests from several callers until it is stopped, and keeps every result that is not whole.
type load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	sent     int
	failures []string
}

// loadShape describes the requests of a load.
type loadShape struct {
	callers int
	tokens  int
	// pause is the time between two requests of one caller.
	pause time.Duration
}

// startLoad starts callers that use the entry hosts returned by pick.
func startLoad(shape loadShape, pick func(i int) *cluster.Entry) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for i := range shape.callers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				l.request(pick(i+n), []string{"alpha", "beta"}[(i+n)%2], shape.tokens, n%2 == 0)
				time.Sleep(shape.pause)
			}
		}()
	}
	return l
}

// request is not bound to the load's context, so that a stop never cuts it.
func (l *load) request(entry *cluster.Entry, model string, tokens int, stream bool) {
	ctx, cancel := withTimeout(30 * time.Second)
	defer cancel()
	prompt := uniquePrompt()
	r := chat(ctx, entry.URL, model, prompt, tokens, stream, nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if !r.intact(model, "", prompt, tokens) {
		l.failures = append(l.failures, fmt.Sprintf("%s via %s: status %d code %s outcome %s stream error %q done %v err %v",
			model, entry.Spec.Name, r.status, r.code, r.outcome, r.streamErr, r.done, r.err))
	}
}

// stop ends the load after the requests in progress.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

// requireAllIntact fails the test when a request was not answered whole, or when too few were sent to prove anything.
func (l *load) requireAllIntact(t *testing.T, atLeast int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sent < atLeast {
		t.Errorf("only %d requests were sent, want at least %d", l.sent, atLeast)
	}
	for i, b := range l.failures {
		if i == 10 {
			t.Errorf("and %d more", len(l.failures)-i)
			break
		}
		t.Error(b)
	}
	t.Logf("%d requests, %d not whole", l.sent, len(l.failures))
}
