// Package service is a stand-in for a plain service, some of whose calls must not be repeated.
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
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	// maxBodyBytes bounds one request.
	maxBodyBytes = 32 << 20
)

// Echo is the answer to a call.
type Echo struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Query     string `json:"query"`
	Body      string `json:"body"`
	RequestID string `json:"request_id"`
	Key       string `json:"idempotency_key"`
	// Run numbers the runs of this process, from 1.
	Run int `json:"run"`
}

// Counts are the runs at GET /counts.
type Counts struct {
	Total      int            `json:"total"`
	ByKey      map[string]int `json:"by_key"`
	ByRequest  map[string]int `json:"by_request"`
	InProgress int            `json:"in_progress"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	Faults faults.Panel

	name    string
	delay   time.Duration
	handler http.Handler

	mu     sync.Mutex
	counts Counts
}

// New returns a service that takes delay for every call.
func New(name string, delay time.Duration) *Server {
	s := &Server{name: name, delay: delay, counts: Counts{ByKey: map[string]int{}, ByRequest: map[string]int{}}}
	control := http.NewServeMux()
	control.Handle("/faults", &s.Faults)
	control.HandleFunc("GET /counts", s.serveCounts)
	control.HandleFunc("/", s.call)
	s.handler = s.Faults.Wrap(control, "/faults", "/counts")
	return s
}

// ServeHTTP serves calls to any path but the control paths /faults and /counts.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Counts returns a copy of the counted runs.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.ByKey = clone(s.counts.ByKey)
	counts.ByRequest = clone(s.counts.ByRequest)
	return counts
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, s.Counts())
}

// call runs once the request has arrived whole. A run counts from its start, also when its client goes away.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "request is incomplete or too large", http.StatusBadRequest)
		return
	}
	echo := Echo{
		Service: s.name, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(data),
		RequestID: r.Header.Get(headerRequestID), Key: r.Header.Get(headerKey),
	}
	echo.Run = s.begin(echo)
	time.Sleep(s.delay)
	s.end()
	w.Header().Set(headerRequestID, echo.RequestID)
	if s.Faults.Take(func(f *faults.Switches) *int { return &f.TruncateAnswer }) {
		truncate(w)
		return
	}
	serve.JSON(w, answerStatus(r), echo)
}

// answerStatus lets a call choose the status of its answer with the query parameter status.
func answerStatus(r *http.Request) int {
	status, err := strconv.Atoi(r.URL.Query().Get("status"))
	if err != nil || status < 200 || status > 599 {
		return http.StatusOK
	}
	return status
}

func truncate(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"service":`)
	_ = http.NewResponseController(w).Flush()
	faults.Hangup(w)
}

func (s *Server) begin(echo Echo) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Total++
	s.counts.InProgress++
	if echo.Key != "" {
		s.counts.ByKey[echo.Key]++
	}
	if echo.RequestID != "" {
		s.counts.ByRequest[echo.RequestID]++
	}
	return s.counts.Total
}

func (s *Server) end() {
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
