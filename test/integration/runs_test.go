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
		var one serviceCounts
		must(t, c.Counters(context.Background(), r.BackendURL, "/counts", &one))
		idle = idle && one.InProgress == 0
		add(total.byRequest, one.ByRequest)
		add(total.byKey, one.ByKey)
	}
	return total, idle
}

func add(to, from map[string]int) {
	for name, n := range from {
		to[name] += n
	}
}

// told is what a caller was told about one request.
type told struct {
	result
	id   string
	kind string
	// key is the idempotency key of a call, if it has one.
	key string
	// prompt is set for generations.
	prompt string
}

// notes collects what callers were told. It is safe for concurrent use.
type notes struct {
	mu   sync.Mutex
	told []told
}

func (n *notes) add(one told) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.told = append(n.told, one)
}

// byOutcome counts the requests of a kind per outcome; a request without an outcome counts under "none".
func (n *notes) byOutcome(kind string) map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string]int{}
	for _, one := range n.told {
		if one.kind != kind {
			continue
		}
		if one.outcome == "" {
			out["none"]++
			continue
		}
		out[one.outcome]++
	}
	return out
}

// Kinds of requests in notes.
const (
	kindCall     = "call"
	kindGenerate = "generate"
)

// checkTold guards against a not_run that was run, and against service calls that were run twice.
func (n *notes) checkTold(t *testing.T, runs runCounts) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, one := range n.told {
		count := runs.byRequest[one.id]
		if one.outcome == "not_run" && count > 0 {
			t.Errorf("%s %s was told not_run (status %d code %s) and was run %d times", one.kind, one.id, one.status, one.code, count)
		}
		if one.kind == kindCall && count > 1 {
			t.Errorf("call %s was run %d times (status %d code %s outcome %s)", one.id, count, one.status, one.code, one.outcome)
		}
		if one.kind == kindCall && one.status == http.StatusOK && one.header.Get("Idempotent-Replayed") == "" && count != 1 {
			t.Errorf("call %s was answered and was run %d times", one.id, count)
		}
		if one.err == nil && one.status >= http.StatusBadRequest && one.outcome == "" {
			t.Errorf("%s %s failed with status %d and no outcome", one.kind, one.id, one.status)
		}
	}
}

// post sends one service call that must not be repeated.
func (n *notes) post(ctx context.Context, entry *cluster.Entry, key, body string) result {
	id := uuid.NewString()
	r := callAs(ctx, http.MethodPost, entry.URL+"/services/booking/slots", key, id, body)
	n.add(told{result: r, id: id, kind: kindCall, key: key})
	return r
}

// generate sends one chat request for a whole answer.
func (n *notes) generate(ctx context.Context, entry *cluster.Entry, model string, tokens int) result {
	prompt := uniquePrompt()
	r := chat(ctx, entry.URL, model, prompt, tokens, false, nil)
	n.add(told{result: r, id: r.requestID, kind: kindGenerate, prompt: prompt})
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
