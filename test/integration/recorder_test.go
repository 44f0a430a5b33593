package integration

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"trefoilferry.example/ferry/internal/cluster"
)

// runCounts are the runs that the backend servers counted, per request id and per idempotency key. A backend server loses
// its counts when it is killed.
type runCounts struct {
	byRequest map[string]int
	byKey     map[string]int
}

// serviceCounts has the counts of a service stand-in that the tests read.
type serviceCounts struct {
	ByKey      map[string]int `json:"by_key"`
	ByRequest  map[string]int `json:"by_request"`
	InProgress int            `json:"in_progress"`
}

// countRuns waits until no service call is in progress and returns the sums over all engines and services.
func countRuns(t *testing.T, c *cluster.Cluster) runCounts {
	t.Helper()
	var total runCounts
	must(t, c.WaitFor(context.Background(), 15*time.Second, "no service call is in progress", func() bool {
		var idle bool
		total, idle = readRuns(t, c)
		return idle
	}))
	return total
}

// readRuns returns the current sums and whether all services are idle.
func readRuns(t *testing.T, c *cluster.Cluster) (runCounts, bool) {
	t.Helper()
	total := runCounts{byRequest: totalCounters(t, c).ByRequest, byKey: map[string]int{}}
	idle := true
	for _, r := range c.Runners {
		if r.Spec.Service == "" {
			continue
		}
		var counts serviceCounts
		must(t, c.ReadCounters(context.Background(), r.BackendURL, "/counts", &counts))
		idle = idle && counts.InProgress == 0
		addCounts(total.byRequest, counts.ByRequest)
		addCounts(total.byKey, counts.ByKey)
	}
	return total, idle
}

func addCounts(to, from map[string]int) {
	for name, n := range from {
		to[name] += n
	}
}

// requestRecord is one request with the result that its caller got.
type requestRecord struct {
	result
	id   string
	kind string
	// key is the idempotency key of a call, if it has one.
	key string
	// prompt is the prompt of a generation.
	prompt string
}

// recorder sends requests and records their results. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	records []requestRecord
}

func (rec *recorder) add(record requestRecord) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.records = append(rec.records, record)
}

// countByOutcome returns the number of requests of a kind per outcome. Requests without an outcome are counted as "none".
func (rec *recorder) countByOutcome(kind string) map[string]int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	out := map[string]int{}
	for _, record := range rec.records {
		if record.kind != kind {
			continue
		}
		if record.outcome == "" {
			out["none"]++
			continue
		}
		out[record.outcome]++
	}
	return out
}

// Kinds of requests in a recorder.
const (
	kindCall     = "call"
	kindGenerate = "generate"
)

// checkOutcomes fails the test if a request ran although its outcome is not_run, if a service call ran twice or succeeded
// without a run, or if a failure was returned without an outcome.
func (rec *recorder) checkOutcomes(t *testing.T, runs runCounts) {
	t.Helper()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, record := range rec.records {
		count := runs.byRequest[record.id]
		if record.outcome == "not_run" && count > 0 {
			t.Errorf("runs of %s %s with outcome not_run (status %d code %s): %d, want 0", record.kind, record.id, record.status, record.code, count)
		}
		if record.kind == kindCall && count > 1 {
			t.Errorf("runs of call %s (status %d code %s outcome %s): %d, want at most 1", record.id, record.status, record.code, record.outcome, count)
		}
		if record.kind == kindCall && record.status == http.StatusOK && record.header.Get("Idempotent-Replayed") == "" && count != 1 {
			t.Errorf("runs of call %s with status 200: %d, want 1", record.id, count)
		}
		if record.err == nil && record.status >= http.StatusBadRequest && record.outcome == "" {
			t.Errorf("outcome of %s %s with status %d is empty, want one", record.kind, record.id, record.status)
		}
	}
}

// post sends one service call with a method that is not idempotent, with an idempotency key unless key is empty.
func (rec *recorder) post(ctx context.Context, entry *cluster.Entry, key, body string) result {
	id := uuid.NewString()
	r := callAs(ctx, http.MethodPost, entry.URL+"/services/booking/slots", key, id, body)
	rec.add(requestRecord{result: r, id: id, kind: kindCall, key: key})
	return r
}

// generate sends one chat request for a non-streaming response.
func (rec *recorder) generate(ctx context.Context, entry *cluster.Entry, model string, tokens int) result {
	prompt := uniquePrompt()
	r := chat(ctx, entry.URL, model, prompt, tokens, false, nil)
	rec.add(requestRecord{result: r, id: r.requestID, kind: kindGenerate, prompt: prompt})
	return r
}

// callAs sends one service request with the given request id.
func callAs(ctx context.Context, method, url, key, id, body string) result {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set("X-Request-Id", id)
	return doCall(req, key)
}
