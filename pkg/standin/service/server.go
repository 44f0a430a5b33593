// Package service is a stand-in for a plain HTTP service, some of whose calls must not be executed twice. It counts
// the executions of each call.
package service

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/standin/faults"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	// maxBodyBytes is the largest request body accepted.
	maxBodyBytes = 32 << 20
)

// Echo is the response to a call; it repeats the contents of the request.
type Echo struct {
	Service        string `json:"service"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	Query          string `json:"query"`
	Body           string `json:"body"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	// Run is the number of this execution since the start of the process, counted from 1.
	Run int `json:"run"`
}

// Counts is the response to GET /counts: the executions of calls, including those in progress.
type Counts struct {
	Total int `json:"total"`
	// ByKey counts by idempotency key and ByRequest by request id; calls without one are left out.
	ByKey     map[string]int `json:"by_key"`
	ByRequest map[string]int `json:"by_request"`
	// InProgress is the number of calls that are executing now.
	InProgress int `json:"in_progress"`
}

// Server is an HTTP handler that stands in for one service. It is safe for concurrent use.
type Server struct {
	Faults faults.Injector

	name    string
	delay   time.Duration
	handler http.Handler

	mu     sync.Mutex
	counts Counts
}

// New returns a service that takes delay to execute a call.
func New(name string, delay time.Duration) *Server {
	s := &Server{name: name, delay: delay, counts: Counts{ByKey: map[string]int{}, ByRequest: map[string]int{}}}
	routes := http.NewServeMux()
	routes.Handle("/faults", &s.Faults)
	routes.HandleFunc("GET /counts", s.serveCounts)
	routes.HandleFunc("/", s.call)
	s.handler = s.Faults.Wrap(routes, "/faults", "/counts")
	return s
}

// ServeHTTP serves the control paths /faults and /counts, and treats requests to all other paths as calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Counts returns a copy of the counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.ByKey = clone(s.counts.ByKey)
	counts.ByRequest = clone(s.counts.ByRequest)
	return counts
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, s.Counts())
}

// call executes a call after its body was received completely. The execution is counted at its start and continues
// if the client disconnects.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "cannot read the request body: "+err.Error(), http.StatusBadRequest)
		return
	}
	echo := Echo{
		Service: s.name, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(data),
		RequestID: r.Header.Get(headerRequestID), IdempotencyKey: r.Header.Get(headerIdempotencyKey),
	}
	echo.Run = s.startRun(echo)
	time.Sleep(s.delay)
	s.endRun()
	w.Header().Set(headerRequestID, echo.RequestID)
	if s.Faults.Take(func(f *faults.Switches) *int { return &f.TruncateAnswer }) {
		writeTruncated(w)
		return
	}
	serve.WriteJSON(w, responseStatus(r), echo)
}

// responseStatus returns the status of the response: the query parameter status if it is valid, else 200.
func responseStatus(r *http.Request) int {
	status, err := strconv.Atoi(r.URL.Query().Get("status"))
	if err != nil || status < 200 || status > 599 {
		return http.StatusOK
	}
	return status
}

// writeTruncated sends part of a body that is shorter than its Content-Length and closes the connection.
func writeTruncated(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"service":`)
	_ = http.NewResponseController(w).Flush()
	faults.CloseConn(w)
}

// startRun counts the start of an execution and returns its number.
func (s *Server) startRun(echo Echo) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Total++
	s.counts.InProgress++
	if echo.IdempotencyKey != "" {
		s.counts.ByKey[echo.IdempotencyKey]++
	}
	if echo.RequestID != "" {
		s.counts.ByRequest[echo.RequestID]++
	}
	return s.counts.Total
}

func (s *Server) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.InProgress--
}

func clone(counts map[string]int) map[string]int {
	out := make(map[string]int, len(counts))
	for name, n := range counts {
		out[name] = n
	}
	return out
}
