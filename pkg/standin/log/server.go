// Package log is a stand-in for the platform's append-only log service. Like that service it has no conditional append.
package log

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"trefoilferry.example/ferry/pkg/infra/httplog"
	"trefoilferry.example/ferry/pkg/standin/faults"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

const (
	// maxRecordBytes is the largest record accepted by an append.
	maxRecordBytes = 4 << 20
	// defaultLimit is the number of records of a read without a limit; maxLimit is the largest limit of a read.
	defaultLimit = 1000
	maxLimit     = 10000
)

// Config sets retention and append rate of the log.
type Config struct {
	// MaxRecords is the number of records retained per stream; 0 means all.
	MaxRecords int
	// MaxAge is the age at which records expire; 0 means never.
	MaxAge time.Duration
	// AppendsPerSecond limits the rate of appends over all streams; appends beyond it are delayed. 0 means no limit.
	AppendsPerSecond float64
}

// Server is an HTTP handler that keeps the log in memory. It is safe for concurrent use.
type Server struct {
	Faults faults.Injector

	config  Config
	limiter *rate.Limiter
	handler http.Handler

	mu      sync.Mutex
	streams map[string]*stream
	appends int
	reads   int
}

// New returns an empty log.
func New(config Config) *Server {
	s := &Server{config: config, streams: map[string]*stream{}}
	if config.AppendsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(config.AppendsPerSecond), max(1, int(config.AppendsPerSecond/10)))
	}
	router := mux.NewRouter()
	router.Handle("/faults", &s.Faults)
	router.HandleFunc("/counters", s.counters).Methods(http.MethodGet)
	router.HandleFunc("/streams/{stream}/records", s.append).Methods(http.MethodPost)
	router.HandleFunc("/streams/{stream}/records", s.read).Methods(http.MethodGet)
	s.handler = s.Faults.Wrap(router, "/faults", "/counters")
	return s
}

// ServeHTTP serves appends and reads at /streams/{stream}/records, and the control paths /faults and /counters, which
// faults do not affect.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, "cannot read the record: "+err.Error(), http.StatusBadRequest)
		return
	}
	if s.limiter != nil && s.limiter.Wait(r.Context()) != nil {
		http.Error(w, "append cancelled while waiting for the rate limit", http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	offset := s.stream(mux.Vars(r)["stream"]).append(time.Now(), data)
	s.appends++
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, httplog.AppendResponse{Offset: offset})
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter from must be an offset: "+err.Error(), http.StatusBadRequest)
		return
	}
	resp, status := s.records(mux.Vars(r)["stream"], from, readLimit(r.FormValue("limit")))
	serve.WriteJSON(w, status, resp)
}

// readLimit parses the query parameter limit. Missing and invalid values give defaultLimit.
func readLimit(value string) int {
	limit, err := strconv.Atoi(value)
	if err != nil || limit <= 0 {
		return defaultLimit
	}
	return min(limit, maxLimit)
}

// records returns the response to a read and its HTTP status, which is 410 Gone if the record at from has expired.
func (s *Server) records(name string, from uint64, limit int) (httplog.ReadResponse, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	stream := s.stream(name)
	resp := httplog.ReadResponse{Next: stream.next(), Oldest: stream.first, Records: []httplog.RecordData{}}
	if from < stream.first {
		return resp, http.StatusGone
	}
	for i, e := range stream.read(from, limit) {
		resp.Records = append(resp.Records, httplog.RecordData{Offset: from + uint64(i), Data: e.data})
	}
	return resp, http.StatusOK
}

// stream returns the named stream, created if missing, after dropping its expired records. The caller must hold s.mu.
func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	st.expire(time.Now(), s.config.MaxRecords, s.config.MaxAge)
	return st
}

// Counters is the response to GET /counters.
type Counters struct {
	// Appends counts the records appended.
	Appends int `json:"appends"`
	// Reads counts reads of any stream.
	Reads int `json:"reads"`
	// NextOffsets maps each stream to the offset that its next append gets.
	NextOffsets map[string]uint64 `json:"next"`
}

func (s *Server) counters(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := Counters{Appends: s.appends, Reads: s.reads, NextOffsets: map[string]uint64{}}
	for name, stream := range s.streams {
		counters.NextOffsets[name] = stream.next()
	}
	serve.WriteJSON(w, http.StatusOK, counters)
}
