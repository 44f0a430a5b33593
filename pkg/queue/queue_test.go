package queue

import (
	"errors"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
)

var epoch = time.Unix(1000, 0)

var testRates = Rates{Slots: 4, PrefillTokensPerSecond: 10_000, DecodeTokensPerSecond: 25}

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func request(id string, tokens uint32, dueMillis int) Request {
	return Request{ID: id, Workspace: "w", Model: "m", Arrived: epoch, FirstTokenBy: at(dueMillis), PromptTokens: tokens}
}

func mustAdmit(t *testing.T, q *Queue, now time.Time, r Request) {
	t.Helper()
	if err := q.Admit(now, r); err != nil {
		t.Fatalf("admit %s: %v", r.ID, err)
	}
}

func ids(started []Request) []string {
	out := []string{}
	for _, r := range started {
		out = append(out, r.ID)
	}
	return out
}

// Guards against admitting requests that would miss their target, and against refusals without outcome NotRun.
func TestOfferRefusals(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(*Queue)
		request Request
		want    failure.Code
	}{
		{"meets target", nil, request("a", 1000, 600), ""},
		{"own prefill longer than the target", nil, request("a", 7000, 600), ""},
		{"own prefill longer than the target behind others", func(q *Queue) {
			for _, id := range []string{"x", "y", "z"} {
				r := request(id, 3000, 600)
				r.FirstTokenBy = at(1300)
				_ = q.Admit(epoch, r)
			}
		}, request("a", 7000, 600), failure.TargetMissed},
		{"cached prefix shortens the prefill", nil, func() Request { r := request("a", 7000, 600); r.CachedTokens = 6000; return r }(), ""},
		{"prefill ahead too long", func(q *Queue) {
			_ = q.Admit(epoch, request("x", 4000, 500))
		}, request("a", 3000, 600), failure.TargetMissed},
		{"adapter too slow", nil, func() Request { r := request("a", 10, 600); r.AdapterWait = time.Second; return r }(), failure.TargetMissed},
		{"would delay an admitted one", func(q *Queue) {
			_ = q.Admit(epoch, request("x", 4000, 500))
		}, request("a", 2000, 300), failure.TargetMissed},
		{"deadline passed", nil, Request{ID: "a", Deadline: epoch}, failure.DeadlineExceeded},
		{"queue full", func(q *Queue) { q.config.MaxQueued = 0 }, request("a", 1, 600), failure.Overloaded},
		{"queued cap", func(q *Queue) {
			q.SetCaps([]*object.Cap{{MemberKind: object.MemberModel, Member: "m", Share: 1, MaxQueued: 1}})
			_ = q.Admit(epoch, request("x", 1, 600))
		}, request("a", 1, 600), failure.CapExceeded},
		{"already in the queue", func(q *Queue) { _ = q.Admit(epoch, request("a", 1, 600)) }, request("a", 1, 600), failure.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New(DefaultConfig(), testRates)
			if c.arrange != nil {
				c.arrange(q)
			}
			err := q.Admit(epoch, c.request)
			if c.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			var f *failure.Failure
			if !errors.As(err, &f) || f.Code != c.want || f.Outcome != failure.NotRun {
				t.Fatalf("error %v, want code %s and outcome not_run", err, c.want)
			}
			if f.Code == failure.TargetMissed && f.RetryAfter <= 0 {
				t.Fatalf("RetryAfter of the refusal: %v, want more than 0", f.RetryAfter)
			}
		})
	}
}

// Guards against an order that ignores due times or priorities, and against an unbounded priority, which would starve
// requests of low priority.
func TestNextOrder(t *testing.T) {
	q := New(DefaultConfig(), Rates{Slots: 8})
	low := request("low", 1, 600)
	high := request("high", 1, 700)
	high.Priority = 5
	late := request("late", 1, 10_000)
	late.Priority = 1000
	for _, r := range []Request{late, low, high} {
		mustAdmit(t, q, epoch, r)
	}
	started, _ := q.StartNext(epoch)
	if got := ids(started); got[0] != "high" || got[1] != "low" || got[2] != "late" {
		t.Fatalf("start order %v, want high, low, late", got)
	}
}

// Guards against long prefills that take all slots, so that short requests wait behind them.
func TestLongPrefillsAreBounded(t *testing.T) {
	q := New(DefaultConfig(), testRates)
	for _, id := range []string{"l1", "l2", "l3"} {
		mustAdmit(t, q, epoch, request(id, 5000, 5000))
	}
	mustAdmit(t, q, epoch, request("s", 10, 9000))
	started, _ := q.StartNext(epoch)
	if got := ids(started); len(got) != 2 || got[0] != "l1" || got[1] != "s" {
		t.Fatalf("started %v, want one long prefill and the short request", got)
	}
	q.RecordFirstToken("l1")
	started, _ = q.StartNext(at(500))
	if got := ids(started); len(got) != 1 || got[0] != "l2" {
		t.Fatalf("started %v, want the next long prefill", got)
	}
}

// Guards against starting requests that can no longer meet their target.
func TestNextDropsLateRequests(t *testing.T) {
	q := New(DefaultConfig(), testRates)
	mustAdmit(t, q, epoch, request("a", 1000, 200))
	_, dropped := q.StartNext(at(150))
	if len(dropped) != 1 || dropped[0].Failure.Code != failure.TargetMissed || dropped[0].Failure.Outcome != failure.NotRun {
		t.Fatalf("dropped %v, want one request with code target_missed and outcome not_run", dropped)
	}
	if q.Waiting() != 0 || len(q.queued) != 0 {
		t.Fatalf("after the drop: %d waiting requests and counts %v, want none", q.Waiting(), q.queued)
	}
}

// Guards against a cap that applies while no other member waits for slots, and against one that does not apply under
// contention.
func TestCapAppliesOnlyUnderContention(t *testing.T) {
	q := New(DefaultConfig(), testRates)
	q.SetCaps([]*object.Cap{{MemberKind: object.MemberWorkspace, Member: "w", Share: 0.5}})
	for _, id := range []string{"a", "b", "c"} {
		mustAdmit(t, q, epoch, request(id, 1, 5000))
	}
	started, _ := q.StartNext(epoch)
	if len(started) != 3 {
		t.Fatalf("started %v, want all three, because no other member waits", ids(started))
	}
	mustAdmit(t, q, epoch, request("d", 1, 100))
	other := request("o", 1, 9000)
	other.Workspace = "other"
	mustAdmit(t, q, epoch, other)
	started, _ = q.StartNext(epoch)
	if got := ids(started); len(got) != 1 || got[0] != "o" {
		t.Fatalf("started %v, want the member under its cap", got)
	}
}
