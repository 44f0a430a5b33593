package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// storeRecord is one record of a topic.
type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's store: topics with one partition, conditional appends, and reads that wait.
type store struct {
	names    names
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	topics   map[string][]storeRecord
	appended chan struct{}
}

func startStore(n names) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{names: n, listener: l, topics: map[string][]storeRecord{}, appended: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put appends a record as the operator or a runner does; a nil value deletes the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, key, value)
}

func (s *store) add(topic, key string, value []byte) {
	s.topics[topic] = append(s.topics[topic], storeRecord{key: key, value: value})
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(s.names["era"], "0")
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case s.names["append"]:
		s.serveAppend(w, topic, r.URL.Query().Get("at"), body)
	case s.names["newest"]:
		s.serveNewest(w, topic)
	case s.names["read"]:
		s.serveRead(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, topic, at string, body []byte) {
	if topic == s.names["topic_config"] || topic == s.names["topic_servers"] {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	end := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": end})
		return
	}
	if len(body) < 5 || int(binary.BigEndian.Uint32(body)) != len(body)-4 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n := int(body[4])
	s.add(topic, string(body[5:5+n]), body[5+n:])
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end, "end": end + 1})
}

func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	newest, at := map[string]storeRecord{}, map[string]int{}
	for i, r := range s.topics[topic] {
		newest[r.key], at[r.key] = r, i
	}
	items := []map[string]any{}
	for key, r := range newest {
		if len(r.value) > 0 {
			items = append(items, map[string]any{"key": key, "value": r.value, "offset": at[key]})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": len(s.topics[topic])})
}

// serveRead waits for a record if none is there. The lock is released meanwhile.
func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("start_from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for wait > 0 && from >= len(s.topics[topic]) {
		appended := s.appended
		s.mu.Unlock()
		select {
		case <-appended:
		case <-limit:
			wait = 0
		case <-r.Context().Done():
			wait = 0
		}
		s.mu.Lock()
	}
	records := s.topics[topic]
	if from > len(records) {
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(map[string]int{"first": 0})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
	}
	_, _ = w.Write(out)
}
