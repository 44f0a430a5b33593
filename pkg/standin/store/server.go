// Package store is a stand-in for the platform's rate-limited weight store.
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
	// adapterBase and adapterSpread give the 5–10 ms of an adapter load.
	adapterBase   = 5 * time.Millisecond
	adapterSpread = 5 * time.Millisecond
)

// Config is the behaviour of the store.
type Config struct {
	// LoadsPerSecond bounds the starts of model loads; 0 means no bound.
	LoadsPerSecond float64
	// Concurrent is the number of model loads at full speed; more of them share it. 0 means no bound.
	Concurrent int
	// AdaptersInFlight is the number of adapter loads at full speed; more of them share it. 0 means no bound.
	AdaptersInFlight int
	// LoadTime is the time of one model load at full speed.
	LoadTime time.Duration
	// BytesPerSecond adds a time by size to model loads; 0 adds none.
	BytesPerSecond float64
	// Scale multiplies rates and divides times, so that tests are fast; 0 means 1.
	Scale float64
}

// Counters are the figures at GET /counters.
type Counters struct {
	Models   int `json:"models"`
	Adapters int `json:"adapters"`
	// PeakModels and PeakAdapters are the largest numbers of loads at one time.
	PeakModels   int `json:"peak_models"`
	PeakAdapters int `json:"peak_adapters"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	Faults faults.Panel

	config   Config
	limiter  *rate.Limiter
	models   *pool
	adapters *pool
	handler  http.Handler

	mu       sync.Mutex
	counters Counters
}

// New returns a store.
func New(config Config) *Server {
	if config.Scale <= 0 {
		config.Scale = 1
	}
	s := &Server{config: config, models: &pool{limit: config.Concurrent}, adapters: &pool{limit: config.AdaptersInFlight}}
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

func (s *Server) fetch(w http.ResponseWriter, r *http.Request) {
	var req Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var err error
	switch req.Kind {
	case "model":
		err = s.model(r, req)
	case "adapter":
		err = s.adapters.work(r.Context(), s.scaled(adapterTime(req.Name)))
		s.count(func(c *Counters) { c.Adapters++ })
	default:
		http.Error(w, "kind must be model or adapter", http.StatusBadRequest)
		return
	}
	if err != nil {
		return
	}
	serve.JSON(w, http.StatusOK, struct{}{})
}

func (s *Server) model(r *http.Request, req Request) error {
	if s.limiter != nil {
		if err := s.limiter.Wait(r.Context()); err != nil {
			return err
		}
	}
	took := s.config.LoadTime
	if s.config.BytesPerSecond > 0 {
		took += time.Duration(float64(req.Bytes) / s.config.BytesPerSecond * float64(time.Second))
	}
	s.count(func(c *Counters) { c.Models++ })
	return s.models.work(r.Context(), s.scaled(took))
}

func (s *Server) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.config.Scale)
}

// adapterTime is between 5 and 10 ms and always the same for one adapter.
func adapterTime(name string) time.Duration {
	return adapterBase + time.Duration(xxhash.Sum64String(name)%uint64(adapterSpread))
}

func (s *Server) count(change func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

// Counters returns the figures.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.PeakModels = s.models.peakUse()
	c.PeakAdapters = s.adapters.peakUse()
	return c
}

func (s *Server) serveCounters(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, s.Counters())
}
