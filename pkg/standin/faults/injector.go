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
func (i *Injector) Set(s Switches) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.switches = s
}

// Get returns the switches; counts show the uses that remain.
func (i *Injector) Get() Switches {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.switches
}

// Take decrements the count that field selects and returns true, or returns false if the count is 0. A caller injects
// the fault only after true.
func (i *Injector) Take(field func(*Switches) *int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	count := field(&i.switches)
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// TakeStreamBreak returns the number of tokens after which the next stream must break, and counts that stream in
// BreakStreams. 0 means that the stream is not broken.
func (i *Injector) TakeStreamBreak() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	after := i.switches.BreakStreamAfterTokens
	if after > 0 && i.switches.BreakStreams > 0 {
		i.switches.BreakStreams--
		if i.switches.BreakStreams == 0 {
			i.switches.BreakStreamAfterTokens = 0
		}
	}
	return after
}

// ServeHTTP responds with all switches as JSON. A POST first sets the switches named in its body and keeps the others;
// a body with an unknown switch is refused with status 400 and changes nothing.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		next := i.Get()
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&next); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		i.Set(next)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(i.Get())
}

// Wrap returns a handler that applies the faults common to all stand-ins: down, refuse and delay_millis to every
// request, lose_answer_after_effect to requests with methods other than GET and HEAD. Requests to the control paths
// are passed on without faults.
func (i *Injector) Wrap(next http.Handler, control ...string) http.Handler {
	exempt := map[string]bool{}
	for _, path := range control {
		exempt[path] = true
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if exempt[r.URL.Path] {
			next.ServeHTTP(w, r)
			return
		}
		i.serve(w, r, next)
	})
}

func (i *Injector) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	s := i.Get()
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
	if mutating && i.Take(func(s *Switches) *int { return &s.LoseAnswerAfterEffect }) {
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
