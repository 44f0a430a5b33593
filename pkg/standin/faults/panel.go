package faults

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Injector holds the fault switches of one stand-in, serves them over HTTP and applies them to requests. The zero value
// injects no faults. It is safe for concurrent use.
type Injector struct {
	mu       sync.Mutex
	switches Switches
}

// Set replaces all switches.
func (p *Injector) Set(s Switches) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.switches = s
}

// Get returns the switches; counts show the uses that remain.
func (p *Injector) Get() Switches {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.switches
}

// Take decrements the count that field selects and returns true, or returns false if the count is 0. A caller injects
// the fault only after true.
func (p *Injector) Take(field func(*Switches) *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := field(&p.switches)
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// TakeStreamBreak returns the number of tokens after which the next stream must break, and counts that stream in
// BreakStreams. 0 means that the stream is not broken.
func (p *Injector) TakeStreamBreak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	after := p.switches.BreakStreamAfterTokens
	if after > 0 && p.switches.BreakStreams > 0 {
		p.switches.BreakStreams--
		if p.switches.BreakStreams == 0 {
			p.switches.BreakStreamAfterTokens = 0
		}
	}
	return after
}

// ServeHTTP responds with all switches as JSON. A POST first sets the switches named in its body and keeps the others;
// a body with an unknown switch is answered 400 and changes nothing.
func (p *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// Wrap returns a handler that applies the faults common to all stand-ins: down, refuse and delay_millis to every
// request, lose_answer_after_effect to requests with methods other than GET and HEAD. Requests to the control paths
// are passed on without faults.
func (p *Injector) Wrap(next http.Handler, control ...string) http.Handler {
	exempt := map[string]bool{}
	for _, path := range control {
		exempt[path] = true
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if exempt[r.URL.Path] {
			next.ServeHTTP(w, r)
			return
		}
		p.serve(w, r, next)
	})
}

func (p *Injector) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	s := p.Get()
	switch {
	case s.Down:
		CloseConn(w)
		return
	case s.Refuse:
		http.Error(w, "refused by a fault switch", http.StatusServiceUnavailable)
		return
	case !wait(r, time.Duration(s.DelayMillis)*time.Millisecond):
		return
	}
	mutating := r.Method != http.MethodGet && r.Method != http.MethodHead
	if mutating && p.Take(func(s *Switches) *int { return &s.LoseAnswerAfterEffect }) {
		next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		CloseConn(w)
		return
	}
	next.ServeHTTP(w, r)
}

// wait sleeps for d; it returns false if the request is cancelled first.
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
