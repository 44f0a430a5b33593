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
	// hintInterval is the shortest time between two rounds of hints for one model.
	hintInterval = time.Second
	// hintRunners is the number of runners that get each hint; the second one is there in case the first hint is lost.
	hintRunners = 2
	// hintTimeout bounds a hint call; the next hint replaces a lost one.
	hintTimeout = 500 * time.Millisecond
)

// HintSender tells agents without a copy of a model about requests that the existing copies cannot serve in time, so
// that they may load a copy. It is safe for concurrent use.
type HintSender struct {
	agents      AgentClient
	incarnation string
	ring        *timeline.Ring
	clock       clock.Clock

	mu sync.Mutex
	// unmet holds the unmet requests by model.
	unmet map[string]*unmetRate
}

func newHintSender(p DispatcherConfig) *HintSender {
	return &HintSender{agents: p.Agents, incarnation: p.Incarnation, ring: p.Ring, clock: p.Clock, unmet: map[string]*unmetRate{}}
}

// recordUnmet counts a request that no copy can serve in time, and sends hints if they are due.
func (h *HintSender) recordUnmet(ctx context.Context, snapshot *Snapshot, model string) {
	rate, round, due := h.count(model, h.clock.Now())
	if !due {
		return
	}
	for _, c := range hintTargets(model, snapshot.withLeaving(snapshot.Routes.NonHolders(model)), round) {
		message := &ferrypb.HintRequest{
			Model:          model,
			UnmetPerSecond: rate,
			Entry:          h.incarnation,
			ConfigOffset:   snapshot.ConfigOffset,
			Lamport:        h.ring.Tick(),
		}
		go h.send(context.WithoutCancel(ctx), c.Address, message)
	}
}

// count records an unmet request. If a hint is due, it returns the average number of unmet requests per second over
// about the last unmetWindow, the number of earlier rounds of hints, and true.
func (h *HintSender) count(model string, now time.Time) (float64, int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.unmet[model]
	if u == nil {
		u = &unmetRate{}
		h.unmet[model] = u
	}
	u.add(now)
	if now.Sub(u.lastHintAt) < hintInterval {
		return 0, 0, false
	}
	u.lastHintAt = now
	u.hintsSent++
	return u.decayedCount / unmetWindow.Seconds(), u.hintsSent - 1, true
}

// hintTargets returns the runners that get the hint of this round: the next hintRunners in the model's rendezvous
// order, without runners that are leaving. Each round continues where the previous one ended, because the first runners
// in the order may lack the memory for a copy.
func hintTargets(model string, nonHolders []routing.Candidate, round int) []routing.Candidate {
	rest := routing.DrainingFilter{}.Filter(nil, nonHolders)
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

func (h *HintSender) send(ctx context.Context, address string, message *ferrypb.HintRequest) {
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	response, err := h.agents.Hint(ctx, address, message)
	if err == nil {
		h.ring.Observe(response.GetLamport())
	}
}
