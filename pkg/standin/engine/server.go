// Package engine is a stand-in for a model engine with continuous batching.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/faults"
	"trefoilferry.example/ferry/pkg/standin/store"
)

// Server is the stand-in. It is safe for concurrent use and must be closed.
type Server struct {
	Faults faults.Panel

	config  Config
	handler http.Handler
	store   *store.Client
	wake    chan struct{}
	stop    chan struct{}
	stopped sync.WaitGroup
	closing sync.Once

	mu       sync.Mutex
	batch    *batch
	cache    *cache
	memory   *memory
	fencing  uint64
	arrivals uint64
	counters Counters
	reports  []reportAt
	// loading holds a channel per load in progress, closed at its end.
	loading map[copyKey]chan struct{}
}

// New starts an engine with nothing loaded.
func New(config Config) *Server {
	config = config.scaled()
	if config.Instance == "" {
		config.Instance = uuid.NewString()
	}
	s := &Server{
		config: config, wake: make(chan struct{}, 1), stop: make(chan struct{}),
		batch: &batch{config: config}, cache: newCache(config), memory: newMemory(config.MemoryBytes),
		loading:  map[copyKey]chan struct{}{},
		counters: Counters{Orders: map[engine.OrderKind]int{}, ByRequest: map[string]int{}},
	}
	if config.StoreURL != "" {
		s.store = store.NewClient(config.StoreURL)
	}
	s.changed()
	s.handler = s.Faults.Wrap(s.routes(), "/faults", "/counters")
	s.stopped.Go(s.run)
	return s
}

func (s *Server) routes() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("POST /v1/chat/completions", s.serveChat)
	routes.HandleFunc("POST /v1/completions", s.serveCompletion)
	routes.HandleFunc("POST /orders", s.serveOrder)
	routes.HandleFunc("GET /report", s.serveReport)
	routes.HandleFunc("GET /cache-events", s.serveCacheEvents)
	routes.HandleFunc("POST /kv/export", s.serveExport)
	routes.HandleFunc("POST /kv/import", s.serveImport)
	routes.HandleFunc("GET /counters", s.serveCounters)
	routes.Handle("/faults", &s.Faults)
	return routes
}

// ServeHTTP serves the engine protocol and the control paths /faults and /counters.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Close stops the batch; requests in progress stay without further tokens until their clients go.
func (s *Server) Close() {
	s.closing.Do(func() { close(s.stop) })
	s.stopped.Wait()
}

// run is the loop of the batch: one step after the other while there is work.
func (s *Server) run() {
	due := time.Now()
	for {
		took, busy := s.begin()
		if !busy {
			if !s.idle() {
				return
			}
			due = time.Now()
			continue
		}
		due = due.Add(took)
		if !s.pause(time.Until(due)) {
			return
		}
		s.emit()
	}
}

// idle waits for work and returns false at the stop.
func (s *Server) idle() bool {
	select {
	case <-s.wake:
		return true
	case <-s.stop:
		return false
	}
}

// pause returns false at the stop. Steps shorter than the timer resolution are caught up by later ones.
func (s *Server) pause(d time.Duration) bool {
	if d <= 0 {
		select {
		case <-s.stop:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.stop:
		return false
	}
}

// begin starts a step and returns its duration.
func (s *Server) begin() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.batch.running) + len(s.batch.waiting)
	busy := s.batch.admit()
	s.counters.Cancelled += before - len(s.batch.running) - len(s.batch.waiting)
	s.changed()
	if !busy {
		return 0, false
	}
	took, prefilled := s.batch.step()
	for _, j := range prefilled {
		s.cache.store(time.Now(), j.model, j.prefixes, s.Faults.Get().DropCacheEvents)
	}
	return took, true
}

func (s *Server) emit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.emit()
}

// submit queues a job. It fails when model or adapter are not loaded or the queue is full.
func (s *Server) submit(j *job) *failure.Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.memory.holds(j.model, j.adapter) {
		return failure.New(failure.NotLoaded, failure.NotRun, "model or adapter is not loaded")
	}
	if s.config.MaxWaiting > 0 && len(s.batch.waiting) >= s.config.MaxWaiting {
		return failure.New(failure.Overloaded, failure.NotRun, "queue is full")
	}
	cached := s.cache.hit(j.prefixes) * engine.BlockTokens
	j.prefill = max(1, j.prefill-cached)
	s.arrivals++
	j.arrival = s.arrivals
	s.batch.add(j)
	s.counters.Started++
	s.counters.ByRequest[j.id]++
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}
