package stream

import "sync"

// Signal wakes all waiters at once. The zero value is ready to use. It is safe for concurrent use.
type Signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// C returns a channel that is closed by the next Notify.
func (s *Signal) C() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// Notify wakes all waiters. On a nil Signal it does nothing.
func (s *Signal) Notify() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
