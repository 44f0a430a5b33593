// Package hosts is a stand-in for the platform's host list service, whose readers see changes after a lag.
package hosts

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/standin/faults"
)

// Server is an HTTP handler that keeps the host list in memory. It is safe for concurrent use.
type Server struct {
	Faults faults.Injector

	handler http.Handler
	mu      sync.Mutex
	list    *laggedList
}

// New returns a server with an empty list whose changes become visible after lag.
func New(lag time.Duration) *Server {
	s := &Server{list: newLaggedList(lag)}
	router := mux.NewRouter()
	router.Handle("/faults", &s.Faults)
	router.HandleFunc("/hosts", s.get).Methods(http.MethodGet)
	router.HandleFunc("/hosts/{name}", s.put).Methods(http.MethodPut)
	router.HandleFunc("/hosts/{name}", s.remove).Methods(http.MethodDelete)
	s.handler = s.withReadFaults(router)
	return s
}

// ServeHTTP serves GET /hosts, PUT and DELETE /hosts/{name}, and /faults. Faults apply to GET /hosts only.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// withReadFaults applies the faults to GET requests only, so that tests can change the list while reads fail.
func (s *Server) withReadFaults(router http.Handler) http.Handler {
	faulty := s.Faults.Wrap(router, "/faults")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			faulty.ServeHTTP(w, r)
			return
		}
		router.ServeHTTP(w, r)
	})
}

// Visible returns the hosts that a reader sees now, ordered by name.
func (s *Server) Visible() []infra.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.visible(time.Now())
}

// get responds with the list, or with 304 if the request's If-None-Match is the current ETag.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(s.Visible())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeList(w, r, body)
}

// writeList sends the encoded list, compressed with gzip if the client accepts that.
func writeList(w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_, _ = z.Write(body)
	_ = z.Close()
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var host infra.Host
	if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	host.Name = mux.Vars(r)["name"]
	if host.State == "" {
		host.State = infra.HostLive
	}
	if host.State != infra.HostLive && host.State != infra.HostLeaving {
		http.Error(w, "host state must be live or leaving", http.StatusBadRequest)
		return
	}
	s.Put(host)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.Remove(mux.Vars(r)["name"])
	w.WriteHeader(http.StatusNoContent)
}

// Put adds a host or replaces the one of the same name. Readers see the change after the lag.
func (s *Server) Put(host infra.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.put(time.Now(), host)
}

// Remove removes the named host. Readers see the change after the lag.
func (s *Server) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.remove(time.Now(), name)
}
