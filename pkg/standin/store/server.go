// Package store is a stand-in for the platform's rate-limited weight store. It delivers no weights and only simulates
// the time of loads.
package store

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"trefoilferry.example/ferry/pkg/standin/faults"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

const (
	// An adapter load takes 5 to 10 ms at full speed.
	adapterLoadMin    = 5 * time.Millisecond
	adapterLoadSpread = 5 * time.Millisecond
)

// Config sets the limits and load times of the store.
type Config struct {
	// LoadsPerSecond limits the rate at which model loads start; 0 means no limit.
	LoadsPerSecond float64
	// ModelsInFlight is the number of model loads that run at full speed at a time; with more, all slow down in
	// proportion. 0 means no limit.
	ModelsInFlight int
	// AdaptersInFlight is the number of adapter loads that run at full speed at a time; with more, all slow down in
	// proportion. 0 means no limit.
	AdaptersInFlight int
	// LoadTime is the fixed part of the time of a model load at full speed.
	LoadTime time.Duration
	// BytesPerSecond adds a time in proportion to the size to model loads; 0 adds none.
	BytesPerSecond float64
	// Scale multiplies rates and divides times, to speed up tests; 0 means 1.
	Scale float64
}

// Counters is the response to GET /counters.
type Counters struct {
	// Models counts the model loads started, Adapters the adapter loads ended.
	Models   int `json:"models"`
	Adapters int `json:"adapters"`
	// PeakModels and PeakAdapters are the largest numbers of loads active at the same time.
	PeakModels   int `json:"peak_models"`
	PeakAdapters int `json:"peak_adapters"`
}

// Server is an HTTP handler that stands in for the weight store. It is safe for concurrent use.
type Server struct {
	Faults faults.Injector

	config   Config
	limiter  *rate.Limiter
	models   *pool
	adapters *pool
	handler  http.Handler

	mu       sync.Mutex
	counters Counters
}

// New returns a store with the given limits and load times.
func New(config Config) *Server {
	if config.Scale <= 0 {
		config.Scale = 1
	}
	s := &Server{config: config, models: &pool{limit: config.ModelsInFlight}, adapters: &pool{limit: config.AdaptersInFlight}}
	if config.LoadsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(config.LoadsPerSecond*config.Scale), 1)
	}
	routes := http.NewServeMux()
	routes.HandleFunc("POST /fetch", s.fetch)
	routes.HandleFunc("GET /counters", s.serveCounters)
	routes.Handle("/faults", &s.Faults)
	s.handler = s.Faults.Wrap(routes, "/faults", "/counters")
	return s
}

// ServeHTTP serves POST /fetch and the control paths /faults and /counters.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// fetch responds once the simulated load has ended.
func (s *Server) fetch(w http.ResponseWriter, r *http.Request) {
	var req FetchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var err error
	switch req.Kind {
	case "model":
		err = s.fetchModel(r, req)
	case "adapter":
		err = s.adapters.simulateLoad(r.Context(), s.scaled(adapterLoadTime(req.Name)))
		s.updateCounters(func(c *Counters) { c.Adapters++ })
	default:
		http.Error(w, "kind must be model or adapter", http.StatusBadRequest)
		return
	}
	if err != nil {
		return
	}
	serve.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) fetchModel(r *http.Request, req FetchRequest) error {
	if s.limiter != nil {
		if err := s.limiter.Wait(r.Context()); err != nil {
			return err
		}
	}
	loadTime := s.config.LoadTime
	if s.config.BytesPerSecond > 0 {
		loadTime += time.Duration(float64(req.Bytes) / s.config.BytesPerSecond * float64(time.Second))
	}
	s.updateCounters(func(c *Counters) { c.Models++ })
	return s.models.simulateLoad(r.Context(), s.scaled(loadTime))
}

func (s *Server) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.config.Scale)
}

// adapterLoadTime returns a time between 5 and 10 ms that depends only on the name of the adapter.
func adapterLoadTime(name string) time.Duration {
	return adapterLoadMin + time.Duration(xxhash.Sum64String(name)%uint64(adapterLoadSpread))
}

func (s *Server) updateCounters(change func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

// Counters returns the current counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.PeakModels = s.models.peakActive()
	c.PeakAdapters = s.adapters.peakActive()
	return c
}

func (s *Server) serveCounters(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, s.Counters())
}
