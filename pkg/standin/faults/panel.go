package faults

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Panel keeps the switches of one stand-in and serves them at /faults. The zero value has no faults.
type Panel struct {
	mu sync.Mutex
	s  Switches
}

// Set replaces all switches.
func (p *Panel) Set(s Switches) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.s = s
}

// Get returns the switches with what is left of their counts.
func (p *Panel) Get() Switches {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.s
}

// Take uses up one of the count that field selects and reports whether one was left.
func (p *Panel) Take(field func(*Switches) *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := field(&p.s)
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// TakeBreak returns the number of tokens after which the next stream breaks; 0 for a whole stream.
func (p *Panel) TakeBreak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	after := p.s.BreakStreamAfterTokens
	if after > 0 && p.s.BreakStreams > 0 {
		p.s.BreakStreams--
		if p.s.BreakStreams == 0 {
			p.s.BreakStreamAfterTokens = 0
		}
	}
	return after
}

// ServeHTTP changes the switches named in the body of a POST, keeps the others, and answers with all switches.
func (p *Panel) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		next := p.Get()
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&next); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.Set(next)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Get())
}

// Wrap puts the general faults in front of a handler: down, refuse, delay and lose_answer_after_effect for every
// request that changes something. Requests to control paths pass untouched.
func (p *Panel) Wrap(next http.Handler, control ...string) http.Handler {
	free := map[string]bool{}
	for _, path := range control {
		free[path] = true
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if free[r.URL.Path] {
			next.ServeHTTP(w, r)
			return
		}
		p.serve(w, r, next)
	})
}

func (p *Panel) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	s := p.Get()
	switch {
	case s.Down:
		Hangup(w)
		return
	case s.Refuse:
		http.Error(w, "refused by a fault switch", http.StatusServiceUnavailable)
		return
	case !wait(r, time.Duration(s.DelayMillis)*time.Millisecond):
		return
	}
	changes := r.Method != http.MethodGet && r.Method != http.MethodHead
	if changes && p.Take(func(s *Switches) *int { return &s.LoseAnswerAfterEffect }) {
		next.ServeHTTP(&discard{header: http.Header{}}, r)
		Hangup(w)
		return
	}
	next.ServeHTTP(w, r)
}

// wait returns false when the client has gone first.
func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
