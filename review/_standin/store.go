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

// entry is one record of a keyed topic; one without a value drops its key.
type entry struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's store: keyed topics with one partition.
type store struct {
	names    names
	listener net.Listener

	mu      sync.Mutex
	topics  map[string][]entry
	changed chan struct{}
	// first holds the offset of the first record of a topic that can still be read; the newest of each key are kept.
	first map[string]int
	// busy is set while the store turns all calls away with 503.
	busy bool
}

func startStore(n names) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{names: n, listener: listener, topics: map[string][]entry{}, changed: make(chan struct{}), first: map[string]int{}}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put appends a record as the operator or a runner would.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, entry{key: key, value: value})
}

func (s *store) add(topic string, e entry) {
	s.topics[topic] = append(s.topics[topic], e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setBusy begins or ends the time in which the store turns all calls away.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

func (s *store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// dropHistory deletes all records that were written so far; the newest of each key are kept.
func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic := range s.topics {
		s.first[topic] = len(s.topics[topic])
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	// An answer takes 4 ms on the deployments.
	time.Sleep(4 * time.Millisecond)
	w.Header().Set(s.names.get("store_era"), "0")
	if s.isBusy() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case s.names.get("path_append"):
		s.serveAppend(w, topic, r.URL.Query().Get("at"), body)
	case s.names.get("path_newest"):
		s.serveNewest(w, topic)
	case s.names.get("path_read"):
		s.serveRead(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, topic, at string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(first) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": first})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 || size < 1 || 1+int(body[4]) > size {
			break
		}
		content := body[4 : 4+size]
		s.add(topic, entry{key: string(content[1 : 1+content[0]]), value: content[1+content[0]:]})
		body = body[4+size:]
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": first, "end": len(s.topics[topic])})
}

func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]int{}
	for offset, e := range s.topics[topic] {
		newest[e.key] = offset
	}
	items := []map[string]any{}
	for key, offset := range newest {
		if value := s.topics[topic][offset].value; len(value) > 0 {
			items = append(items, map[string]any{"key": key, "value": value, "offset": offset})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": len(s.topics[topic])})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("start_from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; waiting; {
		s.mu.Lock()
		end, changed := len(s.topics[topic]), s.changed
		s.mu.Unlock()
		if from < end {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-limit:
			waiting = false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if from < s.first[topic] || from > len(s.topics[topic]) {
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(map[string]int{"first": s.first[topic]})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(s.topics[topic])))
	out = binary.BigEndian.AppendUint64(out, uint64(s.first[topic]))
	for _, e := range s.topics[topic][from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
		out = append(out, byte(len(e.key)))
		out = append(out, e.key...)
		out = append(out, e.value...)
	}
	_, _ = w.Write(out)
}
