package queue

import (
	"testing"
	"time"
)

// Guards against computing a shared prompt twice concurrently, and against waiting when that saves little.
func TestRequestWaitsForSharedPrefill(t *testing.T) {
	blocks := make([]uint64, 100)
	for i := range blocks {
		blocks[i] = uint64(i + 1)
	}
	start := time.Unix(1000, 0)
	q := New(DefaultConfig(), Rates{Slots: 8, PrefillTokensPerSecond: 10000})
	request := func(id string, blocks []uint64) Request {
		return Request{ID: id, Model: "m", Arrived: start, FirstTokenBy: start.Add(time.Second), PromptTokens: 6450, Blocks: blocks}
	}
	offer := func(r Request) int {
		t.Helper()
		if err := q.Admit(start, r); err != nil {
			t.Fatal(err)
		}
		started, _ := q.StartNext(start)
		return len(started)
	}
	if offer(request("leader", blocks)) != 1 {
		t.Fatal("the first request did not start on an idle engine")
	}
	follower := request("follower", blocks)
	if got := q.Predict(start, follower).FirstToken; got < 645*time.Millisecond || got > 655*time.Millisecond {
		t.Errorf("predicted first token of the follower: %v, want 645 ms to 655 ms, the leader's prefill and 50 tokens", got)
	}
	if offer(follower) != 0 {
		t.Error("the follower started during the leader's prefill of the same prompt, want it to wait")
	}
	short := request("short", blocks[:10])
	short.PromptTokens = 700
	if offer(short) != 1 {
		t.Error("a request that shares only 10 blocks did not start, want it to start")
	}
	q.RecordFirstToken("leader")
	if started, dropped := q.StartNext(start.Add(645 * time.Millisecond)); len(started) != 1 || len(dropped) != 0 || started[0].CachedTokens != 6400 {
		t.Errorf("after the leader's prefill: started %+v, dropped %+v, want the follower started with 6400 cached tokens", started, dropped)
	}
}

// Guards against late prefills, which miss their target in any case, that occupy the engine all the time, and against
// late prefills that are never served.
func TestLatePrefillsAreRateLimited(t *testing.T) {
	start := time.Unix(1000, 0)
	config := DefaultConfig()
	config.LatePrefillShare = 0.5
	q := New(config, Rates{Slots: 8, PrefillTokensPerSecond: 10000})
	offer := func(id string, tokens uint32, now time.Time) error {
		return q.Admit(now, Request{ID: id, Model: "m", Arrived: now, FirstTokenBy: now.Add(500 * time.Millisecond), PromptTokens: tokens})
	}
	if err := offer("late", 10000, start); err != nil {
		t.Fatal(err)
	}
	if started, _ := q.StartNext(start); len(started) != 1 {
		t.Fatalf("started on an idle engine: %+v, want the late prefill", started)
	}
	q.RecordFirstToken("late")
	q.Finish(start.Add(time.Second), "late")
	if err := offer("late2", 10000, start.Add(1100*time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if err := offer("short", 1000, start.Add(1100*time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if started, _ := q.StartNext(start.Add(1100 * time.Millisecond)); len(started) != 1 || started[0].ID != "short" {
		t.Errorf("started %+v, want the short request only", started)
	}
	q.RecordFirstToken("short")
	if started, _ := q.StartNext(start.Add(2 * time.Second)); len(started) != 1 || started[0].ID != "late2" {
		t.Errorf("started %+v after the pause, want the late prefill", started)
	}
	if err := offer("late3", 10000, start.Add(2*time.Second)); err == nil {
		t.Error("late3 was admitted although it cannot start in time, want a refusal")
	}
}
