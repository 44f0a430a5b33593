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

// runCounts are the runs that the backend servers counted. Only backend servers that were never killed count all runs.
type runCounts struct {
	byRequest map[string]int
	byKey     map[string]int
}

// serviceCounts is the part of a service's counts that the tests read.
type serviceCounts struct {
	ByKey      map[string]int `json:"by_key"`
	ByRequest  map[string]int `json:"by_request"`
	InProgress int            `json:"in_progress"`
}

// countRuns adds up the runs of all engines and services once none is in progress.
func countRuns(t *testing.T, c *cluster.Cluster) runCounts {
	t.Helper()
	var total runCounts
	must(t, c.WaitFor(context.Background(), 15*time.Second, "no run is in progress", func() bool {
		var idle bool
		total, idle = readRuns(t, c)
		return idle
	}))
	return total
}

func readRuns(t *testing.T, c *cluster.Cluster) (runCounts, bool) {
	t.Helper()
	total := runCounts{byRequest: totalCounters(t, c).ByRequest, byKey: map[string]int{}}
	idle := true
	for _, r := range c.Runners {
		if r.Spec.Service == "" {
			continue
		}
		var counts serviceCounts
		must(t, c.Counters(context.Background(), r.BackendURL, "/counts", &counts))
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

// requestRecord is what a caller was requestRecord about one request.
type requestRecord struct {
	result
	id   string
	kind string
	// key is the idempotency key of a call, if it has one.
	key string
	// prompt is set for generations.
	prompt string
}

// recorder collects what callers were told. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	records []requestRecord
}

func (rec *recorder) add(record requestRecord) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.records = append(rec.records, record)
}

// countByOutcome counts the requests of a kind per outcome; a request without an outcome counts under "none".
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

// Kinds of requests in notes.
const (
	kindCall     = "call"
	kindGenerate = "generate"
)

// checkOutcomes guards against a not_run that was run, and against service calls that were run twice.
func (rec *recorder) checkOutcomes(t *testing.T, runs runCounts) {
	t.Helper()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, record := range rec.records {
		count := runs.byRequest[record.id]
		if record.outcome == "not_run" && count > 0 {
			t.Errorf("%s %s was told not_run (status %d code %s) and was run %d times", record.kind, record.id, record.status, record.code, count)
		}
		if record.kind == kindCall && count > 1 {
			t.Errorf("call %s was run %d times (status %d code %s outcome %s)", record.id, count, record.status, record.code, record.outcome)
		}
		if record.kind == kindCall && record.status == http.StatusOK && record.header.Get("Idempotent-Replayed") == "" && count != 1 {
			t.Errorf("call %s was answered and was run %d times", record.id, count)
		}
		if record.err == nil && record.status >= http.StatusBadRequest && record.outcome == "" {
			t.Errorf("%s %s failed with status %d and no outcome", record.kind, record.id, record.status)
		}
	}
}

// post sends one service call that must not be repeated.
func (rec *recorder) post(ctx context.Context, entry *cluster.Entry, key, body string) result {
	id := uuid.NewString()
	r := callAs(ctx, http.MethodPost, entry.URL+"/services/booking/slots", key, id, body)
	rec.add(requestRecord{result: r, id: id, kind: kindCall, key: key})
	return r
}

// generate sends one chat request for a whole answer.
func (rec *recorder) generate(ctx context.Context, entry *cluster.Entry, model string, tokens int) result {
	prompt := uniquePrompt()
	r := chat(ctx, entry.URL, model, prompt, tokens, false, nil)
	rec.add(requestRecord{result: r, id: r.requestID, kind: kindGenerate, prompt: prompt})
	return r
}

// callAs sends one service request with a request id chosen by the caller.
func callAs(ctx context.Context, method, url, key, id, body string) result {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set("X-Request-Id", id)
	return doCall(req, key)
}
