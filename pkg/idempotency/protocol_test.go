package idempotency

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// protocol drives Claims with a fold that the test fills.
type protocol struct {
	*Claims
	fold    *Fold
	now     time.Time
	verdict *Verdict
	batch   *ferrypb.KeyBatch
	resolve bool
}

func newProtocol() *protocol {
	p := &protocol{fold: NewFold(DefaultKeyRetention), now: time.Unix(1e6, 0)}
	p.Claims = NewClaims(ClaimsConfig{Incarnation: "a", Interval: minInterval, WaitDone: DefaultWaitDone}, p.fold)
	p.SetReady()
	return p
}

func (p *protocol) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Append:
			p.batch = a.Batch
		case Resolve:
			p.resolve = true
		case Reply:
			p.verdict = &a.Verdict
		}
	}
}

func (p *protocol) after(d time.Duration) {
	p.now = p.now.Add(d)
	p.do(p.Tick(p.now))
}

func (p *protocol) apply(records ...*ferrypb.KeyRecord) {
	p.fold.Apply(p.fold.Offset()+1, keys(p.now.UnixMilli(), records...))
	p.do(p.Tick(p.now))
}

func (p *protocol) failed(outcome failure.Outcome) {
	p.do(p.Appended(p.now, 0, failure.New(failure.LogUnavailable, outcome, "test")))
}

// Guards against permission before the own record was read back.
func TestNothingRunsBeforeTheReadBack(t *testing.T) {
	p := newProtocol()
	p.do(p.Acquire(p.now, 1, "k", 7))
	p.do(p.Appended(p.now, 1, nil))
	if p.verdict != nil {
		t.Fatalf("verdict %+v before the record was read", p.verdict)
	}
	p.apply(p.batch.Records...)
	if p.verdict == nil || !p.verdict.Run {
		t.Fatalf("verdict %+v after the record was read", p.verdict)
	}
}

// Guards against a paused winner that runs late, and against a key that it blocks.
func TestLateWinnerAbandons(t *testing.T) {
	p := newProtocol()
	p.do(p.Acquire(p.now, 1, "k", 7))
	p.do(p.Appended(p.now, 1, nil))
	p.now = p.now.Add(ExecuteWithin)
	p.apply(p.batch.Records...)
	if p.verdict == nil || p.verdict.Failure == nil || p.verdict.Failure.Outcome != failure.NotRun {
		t.Fatalf("verdict %+v", p.verdict)
	}
	if len(p.batch.Records) != 1 || p.batch.Records[0].GetAbandon() == nil {
		t.Fatalf("no abandon was issued: %v", p.batch)
	}
}

// Guards against a refused claim that blocks its key when its append turns out to be stored.
func TestUnresolvedClaimIsAbandonedOnceTheLogIsBack(t *testing.T) {
	p := newProtocol()
	p.do(p.Acquire(p.now, 1, "k", 7))
	claim := p.batch
	p.failed(failure.Unknown)
	p.after(ExecuteWithin)
	if p.verdict == nil || p.verdict.Failure == nil || p.verdict.Failure.Code != failure.LogUnavailable || !p.resolve {
		t.Fatalf("verdict %+v, resolve %v", p.verdict, p.resolve)
	}
	p.failed(failure.Unknown)
	p.after(time.Minute)
	p.do(p.Appended(p.now, 1, nil))
	p.apply(claim.Records...)
	p.after(time.Second)
	if p.batch.Records[0].GetAbandon().GetClaimId() != claim.Records[0].GetClaim().ClaimId {
		t.Fatalf("the claim was not abandoned: %v", p.batch)
	}
}

// Guards against a lost result: the batch with it was not stored and must be sent again.
func TestResultIsSentAgain(t *testing.T) {
	p := newProtocol()
	p.do(p.Acquire(p.now, 1, "k", 7))
	p.do(p.Appended(p.now, 1, nil))
	p.apply(p.batch.Records...)
	p.now = p.now.Add(time.Second)
	p.do(p.Finish(p.now, 1, &ferrypb.KeyDone{Status: 200, Body: make([]byte, MaxBody+1)}))
	p.batch = nil
	p.failed(failure.NotRun)
	p.after(time.Second)
	done := p.batch.GetRecords()[0].GetDone()
	if done.GetStatus() != 200 || !done.BodyOmitted || p.idle() {
		t.Fatalf("got %v", p.batch)
	}
	p.do(p.Appended(p.now, 2, nil))
	if !p.idle() {
		t.Fatal("something is left to do")
	}
}

// Guards against the verdict of one situation given in another.
func TestVerdictsOnATakenKey(t *testing.T) {
	other := &ferrypb.KeyClaim{Key: "k", ClaimId: "other", RequestHash: 7}
	claimed := &ferrypb.KeyRecord{Record: &ferrypb.KeyRecord_Claim{Claim: other}}
	tests := []struct {
		name    string
		records []*ferrypb.KeyRecord
		hash    uint64
		code    failure.Code
		outcome failure.Outcome
		replay  bool
	}{
		{"other request", []*ferrypb.KeyRecord{claimed}, 8, failure.KeyMismatch, failure.NotRun, false},
		{"in progress", []*ferrypb.KeyRecord{claimed}, 7, failure.KeyInProgress, failure.Unknown, false},
		{"done", []*ferrypb.KeyRecord{claimed, doneOf("k", "other", 200)}, 7, "", "", true},
	}
	for _, tt := range tests {
		p := newProtocol()
		p.apply(tt.records...)
		p.do(p.Acquire(p.now, 1, "k", tt.hash))
		p.after(DefaultWaitDone)
		v := p.verdict
		if v == nil || v.Run || (v.Replay != nil) != tt.replay {
			t.Errorf("%s: verdict %+v", tt.name, v)
			continue
		}
		if v.Failure != nil && (v.Failure.Code != tt.code || v.Failure.Outcome != tt.outcome) {
			t.Errorf("%s: %v", tt.name, v.Failure)
		}
	}
}

// Guards against agents that together append more often than the log allows.
func TestInterval(t *testing.T) {
	for runners, want := range map[int]time.Duration{1: 20 * time.Millisecond, 3: 20 * time.Millisecond, 150: time.Second} {
		if got := Interval(runners); got != want {
			t.Errorf("%d runners: %v, want %v", runners, got, want)
		}
	}
}
