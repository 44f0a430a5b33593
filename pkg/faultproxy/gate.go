package faultproxy

import "sync"

// direction is the direction of data through the proxy.
type direction int

const (
	toTarget direction = iota
	toClient
)

// gate blocks the forwarding of either direction while it is held. All connections of a proxy share it.
type gate struct {
	mu sync.Mutex
	// held is indexed by direction.
	held [2]bool
	// changed is closed and replaced with every change of held.
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

// state reports whether a direction is held, and returns a channel that is closed at the next change.
func (g *gate) state(d direction) (bool, chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held[d], g.changed
}

// waitOpen waits until the direction is not held; it returns false if done is closed first.
func (g *gate) waitOpen(d direction, done <-chan struct{}) bool {
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
