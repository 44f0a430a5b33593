package entry

import (
	"context"
	"sync"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/routing"
	"trefoilferry.example/ferry/pkg/timeline"
)

const (
	// hintInterval bounds hints to one a second per model.
	hintInterval = time.Second
	// hintRunners is the number of runners that get a hint; the second covers a loss of the first.
	hintRunners = 2
	// hintTimeout bounds a hint call; a lost hint is repeated by the next one.
	hintTimeout = 500 * time.Millisecond
)

// Hinter tells agents without a copy about demand that the copies cannot meet.
type Hinter struct {
	agents Agents
	entry  string
	ring   *timeline.Ring
	clock  clock.Clock

	mu    sync.Mutex
	unmet map[string]*unmetCount
}

func newHinter(p DispatcherParts) *Hinter {
	return &Hinter{agents: p.Agents, entry: p.Entry, ring: p.Ring, clock: p.Clock, unmet: map[string]*unmetCount{}}
}

// missed counts a request that no probed copy can meet in time, and sends hints if one is due.
func (h *Hinter) missed(ctx context.Context, snapshot *Snapshot, model string) {
	rate, round, due := h.count(model, h.clock.Now())
	if !due {
		return
	}
	for _, c := range hintTargets(model, snapshot.marked(snapshot.Routes.Others(model)), round) {
		message := &ferrypb.HintRequest{
			Model:          model,
			UnmetPerSecond: rate,
			Entry:          h.entry,
			ConfigOffset:   snapshot.ConfigOffset,
			Lamport:        h.ring.Tick(),
		}
		go h.send(context.WithoutCancel(ctx), c.Address, message)
	}
}

// count returns the rate of unmet requests over about the last unmetWindow, the number of hints before this one and
// whether a hint is due.
func (h *Hinter) count(model string, now time.Time) (float64, int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.unmet[model]
	if u == nil {
		u = &unmetCount{}
		h.unmet[model] = u
	}
	u.add(now)
	if now.Sub(u.sentAt) < hintInterval {
		return 0, 0, false
	}
	u.sentAt = now
	u.hints++
	return u.requests / unmetWindow.Seconds(), u.hints - 1, true
}

// hintTargets returns the next runners, in the rendezvous order of the model, among those that may take a copy.
// The round moves on with every hint, because the first runners of the order may have no room.
func hintTargets(model string, others []routing.Candidate, round int) []routing.Candidate {
	rest := routing.LeavingFilter{}.Filter(nil, others)
	var order []routing.Candidate
	for len(rest) > 0 {
		i := routing.Rendezvous(model, rest)
		order = append(order, rest[i])
		rest = append(rest[:i:i], rest[i+1:]...)
	}
	var out []routing.Candidate
	for i := range min(hintRunners, len(order)) {
		out = append(out, order[(round*hintRunners+i)%len(order)])
	}
	return out
}

func (h *Hinter) send(ctx context.Context, address string, message *ferrypb.HintRequest) {
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	response, err := h.agents.Hint(ctx, address, message)
	if err == nil {
		h.ring.Observe(response.GetLamport())
	}
}
