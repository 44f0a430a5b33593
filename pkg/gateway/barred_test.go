package gateway

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/quarantine"
)

// Guards against requests that are sent, or refused, while it is open whether their prompt crashes runners, and against
// sound ones that wait longer than the entry lasts.
func TestRequestsWaitForAVerdictOnTheirPrompt(t *testing.T) {
	verdict := func(after time.Duration, act func(*quarantine.Board)) (*failure.Failure, time.Duration) {
		board := quarantine.NewBoard()
		f := &Forwarder{board: board}
		began := time.Now()
		board.Replace([]quarantine.Entry{{Parts: []string{"new"}, Until: began.Add(300 * time.Millisecond), Provisional: true}}, began)
		time.AfterFunc(after, func() { act(board) })
		fail := f.awaitVerdict(t.Context(), &job{parts: []string{"shared", "new"}})
		return fail, time.Since(began)
	}
	fail, took := verdict(100*time.Millisecond, func(b *quarantine.Board) {
		b.Replace([]quarantine.Entry{{Parts: []string{"new"}, Until: time.Now().Add(time.Minute)}}, time.Now())
	})
	if fail == nil || fail.Code != failure.PromptQuarantined || fail.Outcome != failure.NotRun || took < 100*time.Millisecond {
		t.Errorf("part barred after 100 ms: failure %v after %v, want prompt_quarantined, not run, then", fail, took)
	}
	fail, took = verdict(100*time.Millisecond, func(b *quarantine.Board) {
		b.AddSound([]string{"shared", "new"}, time.Now())
		b.Replace(nil, time.Now())
	})
	if fail != nil || took > 300*time.Millisecond {
		t.Errorf("part survived after 100 ms: failure %v after %v, want none within 300 ms", fail, took)
	}
	fail, took = verdict(time.Hour, func(*quarantine.Board) {})
	if fail != nil || took < 300*time.Millisecond || took > 2*time.Second {
		t.Errorf("no verdict: failure %v after %v, want none after the entry has ended", fail, took)
	}
}

// Guards against a request that may have crashed a server and is sent to the next one, while those that servers are known
// to survive are sent again as before.
func TestSuspectRequestIsNotSentAgain(t *testing.T) {
	board := quarantine.NewBoard()
	f := &Forwarder{board: board, control: NewControl(nil, NewPollTiming(time.Second)), budgets: newBudgets(BudgetLimits{Slack: 1000, Window: time.Second})}
	retried := func(parts ...string) bool {
		j, p := modelJob("id", "", 10, 10), &progress{outcome: failure.NotRun, relay: &streamRelay{}}
		j.parts = parts
		fail := failure.New(failure.Truncated, failure.Unknown, "test")
		p.record("r0", attemptResult{fail: fail, suspect: true})
		return f.allowRetry(j, p, fail)
	}
	board.AddSound([]string{"shared", "known"}, time.Now())
	if retried("shared", "new") {
		t.Error("a request with a new part that may have crashed a server is sent again")
	}
	if !retried("shared", "known") {
		t.Error("a request of which servers have survived all parts is not sent again")
	}
}
