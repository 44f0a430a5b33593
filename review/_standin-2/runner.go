package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// silentBeats is the number of heartbeat intervals after which the platform removes the entry of a silent runner.
	silentBeats = 3
)

// runner is a stand-in for a model runner at one address. Each start is a new incarnation with a new id.
type runner struct {
	names   names
	store   *store
	rec     *recorder
	label   string
	service string
	address string
	loadFor time.Duration
	// deadly is the prompt part on which the runner crashes; empty for none.
	deadly string
	// unframed makes the runner answer with neither a length nor chunks: its answers end with their connections.
	unframed bool
	// resets makes the runner reset its connections when it crashes on a deadly part.
	resets bool
	// events is the number of events of a stream; 0 for streamEvents.
	events int
	// full makes the runner refuse all requests as one does whose slots and queue are taken.
	full atomic.Bool
	// keepsWorking makes the runner go on with a request whose connection was closed.
	keepsWorking bool
	// ended is called when the runner stops to work on a request; nil for none.
	ended func(id string, r *runner, events int)
	// silentUntil is the end of the present silence.
	silentUntil time.Time
	// beginsFirst makes the runner write the first event of an answer before it crashes on a deadly part.
	beginsFirst bool
	// arrived is called when a request arrives for a model that the runner holds; nil for none.
	arrived func(id string, r *runner)
	// crashed is called at each crash by a prompt.
	crashed func(r *runner)

	mu     sync.Mutex
	starts int
	now    *incarnation
	// ran is called when a request begins to run.
	ran func(id string, r *runner)
}

// incarnation is one start of a runner.
type incarnation struct {
	id       string
	born     int64
	listener net.Listener
	server   *http.Server
	stopped  chan struct{}

	mu     sync.Mutex
	ended  bool
	conns  map[net.Conn]bool
	models map[string]bool
	// loading is the model of the order under way; empty for none.
	loading string
	busy    bool
	orders  int64
	fence   int64
	beats   int64
	running int
	// runs counts the requests at work by id.
	runs map[string]int
}

// start begins an incarnation that holds the given models.
func (r *runner) start(models ...string) error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.starts++
	in := &incarnation{id: fmt.Sprintf("i-%s-%d", r.label, r.starts), born: time.Now().UnixMilli(), listener: l,
		stopped: make(chan struct{}), conns: map[net.Conn]bool{}, models: map[string]bool{}, runs: map[string]int{}}
	r.address = l.Addr().String()
	for _, m := range models {
		in.models[m] = true
	}
	r.now = in
	r.mu.Unlock()
	in.server = &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(in, w, q) }),
		ConnState: in.recordConn,
	}
	go func() { _ = in.server.Serve(l) }()
	go r.beat(in)
	r.rec.add("runner %s starts as %s with %v", r.label, in.id, models)
	return nil
}

func (in *incarnation) recordConn(c net.Conn, state http.ConnState) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(in.conns, c)
		return
	}
	in.conns[c] = true
}

// beat writes the entry of the incarnation until it ends. The platform removes the entry of a silent one.
func (r *runner) beat(in *incarnation) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		r.announce(in)
		select {
		case <-in.stopped:
			time.Sleep(silentBeats * heartbeat)
			r.store.put(r.names["topic_servers"], in.id, nil)
			return
		case <-ticker.C:
		}
	}
}

// announce writes the entry of the incarnation unless it has ended.
func (r *runner) announce(in *incarnation) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ended {
		return
	}
	in.beats++
	entry := in.describe()
	entry["service"], entry["address"], entry["zone"], entry["version"] = r.service, r.address, "zone-a", "v1"
	entry["slots"], entry["state"], entry["cold_remaining_ms"], entry["seq"] = 64, "ready", 0, in.beats
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	r.store.put(r.names["topic_servers"], in.id, data)
}

// describe returns what the runner says of itself. The caller holds mu.
func (in *incarnation) describe() map[string]any {
	models := []map[string]any{}
	for m := range in.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return map[string]any{"stage": "unified", "models": models, "born": in.born, "busy": in.busy,
		"queued": 0, "running": in.running, "kv_used": 0, "kv_total": 232000, "handles": 0}
}

// crash ends the incarnation as the end of its process does: nothing listens any more, and its connections are closed, or
// reset if reset is set, as those are whose caller has sent something that the process has not read.
func (r *runner) crash(in *incarnation, reset bool) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ended {
		return false
	}
	in.ended = true
	close(in.stopped)
	_ = in.listener.Close()
	for c := range in.conns {
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	r.rec.add("runner %s crashes as %s", r.label, in.id)
	return true
}

func (in *incarnation) hasEnded() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.ended
}

// current returns the latest incarnation.
func (r *runner) current() *incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now
}

// requests returns the number of requests at work.
func (in *incarnation) requests() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.running
}

func (r *runner) serve(in *incarnation, w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(r.names["request_id"])
	if id != "" {
		w.Header().Set(r.names["request_id"], id)
	}
	if target := q.Header.Get(r.names["target"]); target != "" && target != in.id {
		w.Header().Set(r.names["instance"], in.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case r.names["report"]:
		r.work(0)
		in.mu.Lock()
		defer in.mu.Unlock()
		answer := in.describe()
		answer["seq"] = in.orders
		runs := [][]any{}
		for run := range in.runs {
			runs = append(runs, []any{run, 900, 0, 5})
		}
		answer["runs"] = runs
		_ = json.NewEncoder(w).Encode(answer)
	case r.names["order"]:
		r.work(0)
		r.serveOrder(in, w, q)
	default:
		r.serveRequest(in, w, q, id)
	}
}

type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Fence     int64  `json:"fence"`
}

func (r *runner) serveOrder(in *incarnation, w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	status := in.takeOrder(&o)
	r.rec.add("order to %s: %s %s by %s: %d", in.id, o.Operation, o.Model, o.Holder, status)
	w.WriteHeader(status)
	if status != http.StatusAccepted {
		return
	}
	in.orders++
	in.fence = o.Fence
	if o.Operation == "unload" {
		delete(in.models, o.Model)
		return
	}
	in.busy, in.loading = true, o.Model
	time.AfterFunc(r.loadFor, func() {
		in.mu.Lock()
		in.busy, in.loading, in.models[o.Model] = false, "", true
		in.mu.Unlock()
		r.announce(in)
	})
}

// takeOrder returns the status of an order. The caller holds mu.
func (in *incarnation) takeOrder(o *order) int {
	switch {
	case o.Fence < in.fence:
		return http.StatusPreconditionFailed
	case in.busy || (o.Expected != nil && *o.Expected != in.orders):
		return http.StatusConflict
	case in.models[o.Model] == (o.Operation == "load"):
		return http.StatusOK
	default:
		return http.StatusAccepted
	}
}

const (
	prefillTime   = 120 * time.Millisecond
	eventInterval = 60 * time.Millisecond
	streamEvents  = 12
)

// serveRequest runs a request for a model as a stream of events.
func (r *runner) serveRequest(in *incarnation, w http.ResponseWriter, q *http.Request, id string) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	model, _, _ := strings.Cut(q.Header.Get(r.names["model"]), "/")
	full := r.full.Load()
	in.mu.Lock()
	resident, loading := in.models[model], in.loading == model
	if resident && !full {
		in.running++
		in.runs[id]++
	}
	load := strconv.Itoa(in.running) + ",0,64"
	in.mu.Unlock()
	if resident && r.arrived != nil {
		r.arrived(id, r)
	}
	r.work(0)
	w.Header().Set(r.names["load"], load)
	switch {
	case loading || full:
		w.Header().Set(r.names["not_executed"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case !resident:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		in.mu.Lock()
		in.running--
		if in.runs[id]--; in.runs[id] == 0 {
			delete(in.runs, id)
		}
		in.mu.Unlock()
	}()
	events := 0
	if r.ended != nil {
		defer func() { r.ended(id, r, events) }()
	}
	dropped := func() bool { return in.hasEnded() || (!r.keepsWorking && q.Context().Err() != nil) }
	r.work(prefillTime)
	if dropped() {
		return
	}
	r.ran(id, r)
	deadly := r.deadly != "" && hasPart(q.Header.Get(r.names["prefix"]), r.deadly)
	if deadly && !r.beginsFirst {
		r.crashOn(in)
		return
	}
	send := r.framedSender(in, w)
	if r.unframed {
		var end func()
		if send, end = r.unframedSender(in, w, id, load); send == nil {
			return
		}
		defer end()
	}
	from, _ := strconv.Atoi(q.Header.Get(r.names["last_event"]))
	last := r.events
	if last == 0 {
		last = streamEvents
	}
	for n := from + 1; n <= last; n++ {
		if sent := send(fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)); dropped() || (!sent && !r.keepsWorking) {
			return
		}
		events = n
		if deadly {
			r.crashOn(in)
			return
		}
		r.work(eventInterval)
	}
}

// crashOn ends the incarnation because of a prompt.
func (r *runner) crashOn(in *incarnation) {
	if r.crash(in, r.resets) {
		r.crashed(r)
	}
}

// framedSender returns a function that sends an event in a chunk and reports whether that went well.
func (r *runner) framedSender(in *incarnation, w http.ResponseWriter) func(event string) bool {
	if !r.unframed {
		w.Header().Set(r.names["signature"], "sig-"+in.id)
		w.Header().Set("Content-Type", "text/event-stream")
	}
	control := http.NewResponseController(w)
	return func(event string) bool {
		_, _ = io.WriteString(w, event)
		return control.Flush() == nil
	}
}

// unframedSender writes the head of an answer with neither a length nor chunks. It returns a function that sends an event,
// nil if the connection is lost, and one that ends the answer with its connection.
func (r *runner) unframedSender(in *incarnation, w http.ResponseWriter, id, load string) (send func(event string) bool, end func()) {
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil
	}
	in.mu.Lock()
	in.conns[conn] = true
	in.mu.Unlock()
	end = func() {
		in.mu.Lock()
		delete(in.conns, conn)
		in.mu.Unlock()
		_ = conn.Close()
	}
	send = func(event string) bool {
		_, _ = out.WriteString(event)
		return out.Flush() == nil
	}
	if !send(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig-%s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n\r\n",
		r.names["request_id"], id, r.names["signature"], in.id, r.names["load"], load)) {
		end()
		return nil, nil
	}
	return send, end
}

// fallSilent makes the runner do and say nothing for a while.
func (r *runner) fallSilent(length time.Duration) {
	r.mu.Lock()
	r.silentUntil = time.Now().Add(length)
	r.mu.Unlock()
	r.rec.add("runner %s falls silent for %v", r.label, length)
}

// work takes the given time, and longer while the runner is silent.
func (r *runner) work(takes time.Duration) {
	time.Sleep(takes)
	for {
		r.mu.Lock()
		left := time.Until(r.silentUntil)
		r.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// hasPart reports whether a list of prompt parts has the part.
func hasPart(prefix, part string) bool {
	for item := range strings.SplitSeq(prefix, ",") {
		if id, _, _ := strings.Cut(strings.TrimSpace(item), ":"); id == part {
			return true
		}
	}
	return false
}
