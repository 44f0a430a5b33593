package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is heartbeat_ms of the deployments.
	heartbeat = 1200 * time.Millisecond
	// plainWork is the work of a request to a plain service.
	plainWork = 60 * time.Millisecond
	// eventGap is the time between two events of a stream.
	eventGap = 20 * time.Millisecond
	// streamEvents is the number of events of a complete stream.
	streamEvents = 13
	// runnerSlots is the number of requests that a runner processes at a time.
	runnerSlots = 6
)

// run is one run of a request at a runner.
type run struct {
	request string
	runner  string
	at      time.Time
	// complete is set once the whole answer has been written.
	complete bool
	// body is what the runner has written of its answer's body.
	body string
}

// runs collects the runs at all runners. It is safe for concurrent use.
type runs struct {
	mu  sync.Mutex
	all []*run
}

func (r *runs) add(one *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

// of returns the runs of a request.
func (r *runs) of(request string) []*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*run
	for _, one := range r.all {
		if one.request == request {
			out = append(out, one)
		}
	}
	return out
}

// exchange is one request at a runner with the connection that its answer is written to.
type exchange struct {
	runner  *runner
	conn    *runnerConn
	request *http.Request
	id      string
	body    []byte
}

// runnerConn is a connection to a runner.
type runnerConn struct {
	net.Conn
	// late is a second copy of the last answer, which is sent before the next one.
	late string
}

// runner is a stand-in for a backend server; those with models stream events.
type runner struct {
	names   names
	record  *record
	runs    *runs
	store   *store
	id      string
	service string
	models  []string
	born    int64

	listener net.Listener
	// address is where the runner listens, also after a crash.
	address string

	mu     sync.Mutex
	beats  int64
	beatAt time.Time
	orders int64
	conns  map[net.Conn]bool
	down   bool
	// spoil is asked before each request that the runner would run; if it returns true, it has answered itself.
	spoil func(x *exchange) bool
	// copies reports whether the runner sends a second copy of its answer with this status. The copy comes late, at the point
	// where the next answer on the connection is expected.
	copies    func(x *exchange, status int) bool
	answers   int
	stopBeats chan struct{}
}

// startRunner starts a runner at the address, a free one if it is empty, and its heartbeats.
func startRunner(r *runner, address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.listener, r.address = listener, listener.Addr().String()
	r.born = time.Now().UnixMilli()
	r.conns = map[net.Conn]bool{}
	r.stopBeats = make(chan struct{})
	go r.accept()
	go r.beat()
	return nil
}

// beat writes the runner's entry each heartbeat until the runner ends.
func (r *runner) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		r.announce()
		select {
		case <-ticker.C:
		case <-r.stopBeats:
			return
		}
	}
}

func (r *runner) modelList() []map[string]any {
	out := []map[string]any{}
	for _, m := range r.models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

func (r *runner) announce() {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.beats++
	r.beatAt = time.Now()
	seq := r.beats
	r.mu.Unlock()
	data, err := json.Marshal(map[string]any{"service": r.service, "address": r.address, "zone": "zone-a", "version": "v1",
		"slots": runnerSlots, "state": "ready", "cold_remaining_ms": 0, "stage": "unified", "models": r.modelList(), "seq": seq, "born": r.born})
	if err != nil {
		panic(err)
	}
	r.store.put(r.names.get("topic_servers"), r.id, data)
}

// crash ends the runner as if its process were killed: it sends nothing more, and its connections are reset.
func (r *runner) crash() {
	r.mu.Lock()
	r.down = true
	close(r.stopBeats)
	_ = r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	r.mu.Unlock()
	r.record.line("runner %s at %s crashed", r.id, r.address)
}

func (r *runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *runner) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	in, conn := bufio.NewReader(c), &runnerConn{Conn: c}
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if conn.late != "" {
			r.record.line("copy     of the last answer on the connection, from %s, %d bytes", r.id, len(conn.late))
			if _, err := io.WriteString(c, conn.late); err != nil {
				return
			}
			conn.late = ""
		}
		x := &exchange{runner: r, conn: conn, request: request, id: request.Header.Get(r.names.get("request_id")), body: body}
		if !r.answer(x) {
			return
		}
	}
}

// answer answers one request; it returns false if the connection cannot be used further.
func (r *runner) answer(x *exchange) bool {
	if target := x.request.Header.Get(r.names.get("target")); target != "" && target != r.id {
		return r.refuse(x, http.StatusMisdirectedRequest, r.names.get("instance"), r.id)
	}
	switch x.request.URL.Path {
	case r.names.get("path_report"):
		return x.writeJSON(map[string]any{"stage": "unified", "models": r.modelList(), "busy": false, "seq": r.orders, "born": r.born,
			"queued": 0, "running": 0, "kv_used": 0, "kv_total": 232000, "handles": 0}) == nil
	case r.names.get("path_order"):
		// All models that are asked for are loaded, so that no order is needed.
		return x.write(http.StatusConflict, nil, nil) == nil
	}
	if x.id == "" {
		return r.refuse(x, http.StatusBadRequest, r.names.get("not_executed"), "1")
	}
	model := x.request.Header.Get(r.names.get("model"))
	if len(r.models) > 0 && !contains(r.models, model) {
		return r.refuse(x, http.StatusMisdirectedRequest, r.names.get("instance"), r.id)
	}
	r.mu.Lock()
	spoil := r.spoil
	r.mu.Unlock()
	if spoil != nil && spoil(x) {
		return false
	}
	one := r.begin(x)
	if len(r.models) > 0 {
		return r.stream(x, one)
	}
	time.Sleep(plainWork)
	one.body = "answer of " + r.id + " to " + x.id
	if x.write(http.StatusOK, r.header(x), []byte(one.body)) != nil {
		return false
	}
	one.complete = true
	r.addCopy(x, http.StatusOK, "")
	return true
}

// addCopy counts an answer and makes its second copy due, if there is one.
func (r *runner) addCopy(x *exchange, status int, answer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	if r.copies != nil && r.copies(x, status) {
		x.conn.late = answer
	}
}

// answered returns the number of answers that the runner has given, apart from those that it has spoiled.
func (r *runner) answered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers
}

func contains(list []string, one string) bool {
	for _, s := range list {
		if s == one {
			return true
		}
	}
	return false
}

// begin records that the runner begins to work on a request.
func (r *runner) begin(x *exchange) *run {
	one := &run{request: x.id, runner: r.id, at: time.Now()}
	r.runs.add(one)
	r.record.line("run      %s at %s, deadline %s", x.id, r.id, x.request.Header.Get(r.names.get("deadline")))
	return one
}

// header returns the header of an answer to a request that ran.
func (r *runner) header(x *exchange) [][2]string {
	out := [][2]string{{r.names.get("request_id"), x.id}, {r.names.get("signature"), "sig." + r.id + "." + x.id},
		{r.names.get("load"), "1,0," + strconv.Itoa(runnerSlots)}}
	if len(r.models) > 0 {
		out = append(out, [2]string{r.names.get("weights"), "1"})
	}
	return out
}

// event returns the bytes of one event of the answer to a request.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id) }

// stream answers with the events after the last one that the caller has.
func (r *runner) stream(x *exchange, one *run) bool {
	header := append(r.header(x), [2]string{"Content-Type", "text/event-stream"}, [2]string{"Transfer-Encoding", "chunked"})
	if x.writeHead(http.StatusOK, header) != nil {
		return false
	}
	from, _ := strconv.Atoi(x.request.Header.Get(r.names.get("last_event")))
	for n := from + 1; n <= streamEvents; n++ {
		time.Sleep(eventGap)
		text := event(x.id, n)
		if _, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		one.body += text
	}
	if _, err := io.WriteString(x.conn, "0\r\n\r\n"); err != nil {
		return false
	}
	one.complete = true
	return true
}

// refuse answers that the request was not run.
func (r *runner) refuse(x *exchange, status int, name, value string) bool {
	header := [][2]string{{name, value}}
	if x.id != "" {
		header = append(header, [2]string{r.names.get("request_id"), x.id})
	}
	r.record.line("refusal  %s at %s with %d", x.id, r.id, status)
	if x.write(status, header, nil) != nil {
		return false
	}
	r.addCopy(x, status, encode(status, header, nil))
	return true
}

func encode(status int, header [][2]string, body []byte) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range header {
		b.WriteString(h[0] + ": " + h[1] + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

func (x *exchange) write(status int, header [][2]string, body []byte) error {
	_, err := io.WriteString(x.conn, encode(status, header, body))
	return err
}

func (x *exchange) writeHead(status int, header [][2]string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range header {
		b.WriteString(h[0] + ": " + h[1] + "\r\n")
	}
	b.WriteString("\r\n")
	_, err := io.WriteString(x.conn, b.String())
	return err
}

func (x *exchange) writeJSON(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return x.write(http.StatusOK, [][2]string{{"Content-Type", "application/json"}}, data)
}
