// Package engine is a stand-in for a model engine with continuous batching.
package engine

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/faults"
	"trefoilferry.example/ferry/pkg/standin/store"
)

// Server is an HTTP handler that stands in for one engine process. It is safe for concurrent use and must be closed.
type Server struct {
	Faults faults.Injector

	config  Config
	handler http.Handler
	store   *store.Client
	// wake signals new work to runBatch, which ends when stop is closed.
	wake      chan struct{}
	stop      chan struct{}
	running   sync.WaitGroup
	closeOnce sync.Once

	mu       sync.Mutex
	batch    *batch
	cache    *cache
	memory   *memory
	fencing  uint64
	arrivals uint64
	counters Counters
	reports  []timedReport
	// loading holds a channel per model load in progress, closed at the end of the load.
	loading map[copyKey]chan struct{}
}

// New starts an engine without loaded models.
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
	s.recordReport()
	s.handler = s.Faults.Wrap(s.routes(), "/faults", "/counters")
	s.running.Go(s.runBatch)
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

// ServeHTTP serves the engine protocol, and the control paths /faults and /counters, which faults do not affect.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Close stops the batch and aborts requests in progress.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.stop) })
	s.running.Wait()
}

// runBatch executes the steps of the batch until stop is closed. Each step ends at a time computed from the end of the
// step before, so that delays of the scheduler do not add up.
func (s *Server) runBatch() {
	due := time.Now()
	for {
		stepTime, busy := s.beginStep()
		if !busy {
			if !s.waitForWork() {
				return
			}
			due = time.Now()
			continue
		}
		due = due.Add(stepTime)
		if !s.waitStep(time.Until(due)) {
			return
		}
		s.emitTokens()
	}
}

// waitForWork waits until a job is submitted; it returns false when the engine stops.
func (s *Server) waitForWork() bool {
	select {
	case <-s.wake:
		return true
	case <-s.stop:
		return false
	}
}

// waitStep sleeps for d; it returns false when the engine stops. A negative d means that the batch is behind, for
// instance because steps are shorter than the timer resolution; it then returns at once to catch up.
func (s *Server) waitStep(d time.Duration) bool {
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

// beginStep starts a step and returns its duration, or false if there is no work.
func (s *Server) beginStep() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.batch.running) + len(s.batch.waiting)
	busy := s.batch.admit()
	s.counters.Cancelled += before - len(s.batch.running) - len(s.batch.waiting)
	s.recordReport()
	if !busy {
		return 0, false
	}
	stepTime, prefilled := s.batch.step()
	for _, j := range prefilled {
		s.cache.store(time.Now(), j.model, j.prefixes, s.Faults.Get().DropCacheEvents)
	}
	return stepTime, true
}

func (s *Server) emitTokens() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.emit()
}

// submit queues a job. It fails with NotLoaded if the model or adapter is not loaded, and with Overloaded if the queue
// is full.
func (s *Server) submit(j *job) *failure.Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.memory.isLoaded(j.model, j.adapter) {
		return failure.New(failure.NotLoaded, failure.NotRun, fmt.Sprintf("model %q or adapter %q is not loaded", j.model, j.adapter))
	}
	if s.config.MaxWaiting > 0 && len(s.batch.waiting) >= s.config.MaxWaiting {
		return failure.New(failure.Overloaded, failure.NotRun, fmt.Sprintf("queue is full: %d requests waiting", len(s.batch.waiting)))
	}
	cached := s.cache.lookup(j.prefixes) * engine.BlockTokens
	j.prefillLeft = max(1, j.prefillLeft-cached)
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
