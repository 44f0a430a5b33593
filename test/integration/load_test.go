package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
)

// load sends chat requests from several callers until it is stopped, and describes every response that is not intact in
// failures.
type load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	sent     int
	failures []string
}

// loadShape sets the number of callers and the requests that each of them sends.
type loadShape struct {
	callers int
	tokens  int
	// pause is the time between the end of a request and the next request of the same caller.
	pause time.Duration
}

// startLoad starts the callers. pick selects the entry host of each request.
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

// request sends one chat request. Its context is independent of the load's, so that stop does not cut it off.
func (l *load) request(entry *cluster.Entry, model string, tokens int, stream bool) {
	ctx, cancel := withTimeout(30 * time.Second)
	defer cancel()
	prompt := uniquePrompt()
	r := chat(ctx, entry.URL, model, prompt, tokens, stream, nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if !r.intact(model, "", prompt, tokens) {
		l.failures = append(l.failures, fmt.Sprintf("response of %s via %s not intact: status %d code %s outcome %s stream error %q done %v err %v",
			model, entry.Spec.Name, r.status, r.code, r.outcome, r.streamErr, r.done, r.err))
	}
}

// stop lets the requests in progress end and sends no more.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

// requireAllIntact fails the test if a response was not intact or if fewer than atLeast requests were sent.
func (l *load) requireAllIntact(t *testing.T, atLeast int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sent < atLeast {
		t.Errorf("requests sent: %d, want at least %d", l.sent, atLeast)
	}
	for i, b := range l.failures {
		if i == 10 {
			t.Errorf("%d more responses not intact", len(l.failures)-i)
			break
		}
		t.Error(b)
	}
	t.Logf("%d requests, %d responses not intact", l.sent, len(l.failures))
}
