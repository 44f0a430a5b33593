package integration

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/ctl"
	"trefoilferry.example/ferry/pkg/faultproxy"
	"trefoilferry.example/ferry/pkg/standin/faults"
)

// appendBarrier forwards requests to the log. It holds appends back until the given number of them has arrived, for at
// most 10 s, so that every publisher has read the same state before any of them appends.
type appendBarrier struct {
	target string

	mu         sync.Mutex
	remaining  int
	allArrived chan struct{}
}

func newAppendBarrier(t *testing.T, target string, appends int) string {
	b := &appendBarrier{target: target, remaining: appends, allArrived: make(chan struct{})}
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	return server.URL
}

func (b *appendBarrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		b.wait()
	}
	body, _ := io.ReadAll(r.Body)
	req, err := http.NewRequestWithContext(r.Context(), r.Method, b.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

func (b *appendBarrier) wait() {
	b.mu.Lock()
	b.remaining--
	if b.remaining == 0 {
		close(b.allArrived)
	}
	b.mu.Unlock()
	select {
	case <-b.allArrived:
	case <-time.After(10 * time.Second):
	}
}

// raceRounds is the number of times that two publishers publish conflicting change sets at once.
const raceRounds = 12

// Guards against lost updates when change sets conflict: two publishers that both succeed, a loser that gets no
// conflict error, or a part of the loser's change set that is applied. Also guards against a lost append response that
// makes a publisher fail or publish twice, against an invalid change set that is published in part, and against daemons
// that do not get the configuration if they start during a log outage.
func TestPublishers(t *testing.T) {
	c := start(t, smallSpec())
	sampleOffsets(t, c)
	publish(t, c, "race", adapterConfig("alpha-race", "1MiB"))
	t.Run("race", func(t *testing.T) {
		for round := range raceRounds {
			barrier := newAppendBarrier(t, c.LogURL, 2)
			var results [2]ctlResult
			var wait sync.WaitGroup
			for i := range results {
				text := adapterConfig("alpha-race", fmt.Sprintf("%dMiB", 2+2*round+i)) + adapterConfig(raceAdapter(round, i), "1MiB")
				wait.Go(func() { results[i] = runPublish(t, barrier, fmt.Sprint("race", i), text) })
			}
			wait.Wait()
			winner := 0
			if results[1].exit == 0 {
				winner = 1
			}
			loser := results[1-winner]
			if results[winner].exit != 0 || loser.exit != 4 {
				t.Fatalf("round %d: exit codes %d and %d, want 0 and 4", round, results[0].exit, results[1].exit)
			}
			won := lastAccepted(history(t, c))
			if f := loser.failure(t); f.Object != "adapter/alpha-race" || f.WinningOffset != won.Offset {
				t.Errorf("round %d: conflict error of the loser names object %q and offset %d, want adapter/alpha-race and %d", round, f.Object, f.WinningOffset, won.Offset)
			}
			if !isPublished(t, c, raceAdapter(round, winner)) || isPublished(t, c, raceAdapter(round, 1-winner)) {
				t.Errorf("round %d: published adapters do not match the exit codes, want %s and not %s", round, raceAdapter(round, winner), raceAdapter(round, 1-winner))
			}
		}
	})
	for _, lost := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d responses to appends lost", lost), func(t *testing.T) {
			must(t, c.SetFaults(context.Background(), c.LogURL, faults.Switches{LoseAnswerAfterEffect: lost}))
			defer func() { must(t, c.SetFaults(context.Background(), c.LogURL, faults.Switches{})) }()
			before := history(t, c)[0].Offset
			name := fmt.Sprintf("alpha-lost-%d", lost)
			result := runPublish(t, c.LogURL, name, adapterConfig(name, "1MiB"))
			if result.exit != 0 {
				t.Fatalf("exit code of publish: %d, want 0: %s", result.exit, result.output)
			}
			var remaining faults.Switches
			must(t, c.ReadCounters(context.Background(), c.LogURL, "/faults", &remaining))
			if remaining.LoseAnswerAfterEffect == lost {
				t.Errorf("responses still to be lost: %d, want fewer, so that at least one was lost", remaining.LoseAnswerAfterEffect)
			}
			after := history(t, c)
			if !after[0].Accepted || after[0].Offset <= before || after[1].Offset != before {
				t.Errorf("newest verdicts at offsets %d (accepted %v) and %d, want one accepted change set after offset %d",
					after[0].Offset, after[0].Accepted, after[1].Offset, before)
			}
			requireApplied(t, c, after[0].Offset, after[0].Time.Add(configApplyBound), nil)
		})
	}
	t.Run("invalid set", func(t *testing.T) {
		before := history(t, c)[0].Offset
		result := runPublish(t, c.LogURL, "invalid", "[adapter \"stray\"]\nmodel = missing\nbytes = 1MiB\n[cap \"wide\"]\nmember = nobody\nshare = 7\n"+
			adapterConfig("alpha-good", "1MiB")+"[model \"gamma\"]\nedition = v1\nbytes = 1GiB\n")
		f := result.failure(t)
		if result.exit != 3 || len(f.Problems) < 4 {
			t.Errorf("exit code %d with %d problems, want 3 with at least 4: %s", result.exit, len(f.Problems), result.output)
		}
		for _, part := range []string{"adapter/stray", "cap/wide", "model/gamma", "edition"} {
			if !strings.Contains(string(result.output), part) {
				t.Errorf("the error message for an invalid change set does not name %s: %s", part, result.output)
			}
		}
		if history(t, c)[0].Offset != before || isPublished(t, c, "alpha-good") {
			t.Errorf("an invalid change set was appended or published in part, want newest offset %d and no adapter alpha-good", before)
		}
	})
	t.Run("daemons started while the log is out", func(t *testing.T) {
		must(t, c.LogProxy.SetFaults(faultproxy.Faults{Refuse: true}))
		c.LogProxy.ResetConnections()
		defer func() { must(t, c.LogProxy.SetFaults(faultproxy.Faults{})) }()
		want := lastAccepted(history(t, c))
		entry, err := c.AddEntry(context.Background(), cluster.EntrySpec{Name: "entry-late", Region: regions[0], FailureDomain: regions[0]})
		must(t, err)
		must(t, c.WaitReady(context.Background(), readyTimeout))
		status, err := c.EntryStatus(context.Background(), entry)
		must(t, err)
		if status.GetConfigOffset() < want.Offset {
			t.Errorf("configuration offset of the entry host that started during the outage: %d, want at least %d", status.GetConfigOffset(), want.Offset)
		}
		requireResponse(t, entry, "alpha", "alpha-race", 10*time.Second)
		requireResponse(t, entry, "beta", "", 10*time.Second)
	})
}

// raceAdapter returns the name of an adapter that only this publisher publishes, and only in this round.
func raceAdapter(round, publisher int) string {
	return fmt.Sprintf("alpha-race-%d-%d", round, publisher)
}

// lastAccepted returns the newest accepted change set.
func lastAccepted(entries []ctl.HistoryView) ctl.HistoryView {
	for _, entry := range entries {
		if entry.Accepted {
			return entry
		}
	}
	return ctl.HistoryView{}
}
