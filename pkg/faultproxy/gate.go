package faultproxy

import "sync"

// direction is one way through the proxy.
type direction int

const (
	toTarget direction = iota
	toClient
)

// gate holds back the bytes of a direction.
type gate struct {
	mu   sync.Mutex
	held [2]bool
	// changed is closed and replaced with every change.
	changed chan struct{}
}

func newGate() *gate {
	return &gate{changed: make(chan struct{})}
}

func (g *gate) set(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = [2]bool{toTarget: f.HoldToTarget, toClient: f.HoldToClient}
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *gate) state(d direction) (bool, chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held[d], g.changed
}

// pass waits until the direction is open; it returns false when done is closed first.
func (g *gate) pass(d direction, done <-chan struct{}) bool {
	for {
		held, changed := g.state(d)
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}
