package idempotency

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// protocolHarness drives a ClaimProtocol with a fold to which the test applies records. It keeps the last action of each
// kind.
type protocolHarness struct {
	*ClaimProtocol
	fold             *Fold
	now              time.Time
	verdict          *Verdict
	batch            *ferrypb.KeyBatch
	resolveRequested bool
}

func newProtocolHarness() *protocolHarness {
	p := &protocolHarness{fold: NewFold(DefaultKeyRetention), now: time.Unix(1e6, 0)}
	p.ClaimProtocol = NewClaimProtocol(ProtocolConfig{Incarnation: "a", AppendInterval: minInterval, ResultWait: DefaultResultWait}, p.fold)
	p.SetReady()
	return p
}

func (p *protocolHarness) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Append:
			p.batch = a.Batch
		case Resolve:
			p.resolveRequested = true
		case Reply:
			p.verdict = &a.Verdict
		}
	}
}

func (p *protocolHarness) advanceClock(d time.Duration) {
	p.now = p.now.Add(d)
	p.perform(p.Tick(p.now))
}

func (p *protocolHarness) apply(records ...*ferrypb.KeyRecord) {
	p.fold.Apply(p.fold.Offset()+1, keys(p.now.UnixMilli(), records...))
	p.perform(p.Tick(p.now))
}

func (p *protocolHarness) failAppend(outcome failure.Outcome) {
	p.perform(p.HandleAppendResult(p.now, 0, failure.New(failure.LogUnavailable, outcome, "test")))
}

// Guards against permission to run before the claim was read back from the log.
func TestNoPermissionBeforeReadBack(t *testing.T) {
	p := newProtocolHarness()
	p.perform(p.Acquire(p.now, 1, "k", 7))
	p.perform(p.HandleAppendResult(p.now, 1, nil))
	if p.verdict != nil {
		t.Fatalf("verdict before the claim was read back: %+v, want none", p.verdict)
	}
	p.apply(p.batch.Records...)
	if p.verdict == nil || !p.verdict.Run {
		t.Fatalf("verdict after the claim was read back: %+v, want permission to run", p.verdict)
	}
}

// Guards against a winner that runs its request too late after a pause, and against its key staying claimed.
func TestLateWinnerAbandons(t *testing.T) {
	p := newProtocolHarness()
	p.perform(p.Acquire(p.now, 1, "k", 7))
	p.perform(p.HandleAppendResult(p.now, 1, nil))
	p.now = p.now.Add(StartWindow)
	p.apply(p.batch.Records...)
	if p.verdict == nil || p.verdict.Failure == nil || p.verdict.Failure.Outcome != failure.NotRun {
		t.Fatalf("verdict on the late winner: %+v, want a failure with outcome not_run", p.verdict)
	}
	if len(p.batch.Records) != 1 || p.batch.Records[0].GetAbandon() == nil {
		t.Fatalf("batch after the late winner: %v, want one abandon", p.batch)
	}
}

// Guards against a refused claim that keeps its key when its append turns out to be stored.
func TestUnresolvedClaimIsAbandonedAfterOutage(t *testing.T) {
	p := newProtocolHarness()
	p.perform(p.Acquire(p.now, 1, "k", 7))
	claim := p.batch
	p.failAppend(failure.Unknown)
	p.advanceClock(StartWindow)
	if p.verdict == nil || p.verdict.Failure == nil || p.verdict.Failure.Code != failure.LogUnavailable || !p.resolveRequested {
		t.Fatalf("verdict %+v, resolve requested: %v, want code log_unavailable and true", p.verdict, p.resolveRequested)
	}
	p.failAppend(failure.Unknown)
	p.advanceClock(time.Minute)
	p.perform(p.HandleAppendResult(p.now, 1, nil))
	p.apply(claim.Records...)
	p.advanceClock(time.Second)
	if p.batch.Records[0].GetAbandon().GetClaimId() != claim.Records[0].GetClaim().ClaimId {
		t.Fatalf("batch after the refused claim was stored: %v, want an abandon of the claim", p.batch)
	}
}

// Guards against a lost result: when its batch was not stored, it must be appended again.
func TestUnstoredResultIsAppendedAgain(t *testing.T) {
	p := newProtocolHarness()
	p.perform(p.Acquire(p.now, 1, "k", 7))
	p.perform(p.HandleAppendResult(p.now, 1, nil))
	p.apply(p.batch.Records...)
	p.now = p.now.Add(time.Second)
	p.perform(p.Finish(p.now, 1, &ferrypb.KeyDone{Status: 200, Body: make([]byte, MaxStoredBodyBytes+1)}))
	p.batch = nil
	p.failAppend(failure.NotRun)
	p.advanceClock(time.Second)
	done := p.batch.GetRecords()[0].GetDone()
	if done.GetStatus() != 200 || !done.BodyOmitted || p.idle() {
		t.Fatalf("batch after a failed append: %v, want the result with status 200, without its body", p.batch)
	}
	p.perform(p.HandleAppendResult(p.now, 2, nil))
	if !p.idle() {
		t.Fatal("not idle after the result was stored")
	}
}

// Guards against a wrong verdict for a key that another request has claimed.
func TestVerdictsOnClaimedKey(t *testing.T) {
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
		p := newProtocolHarness()
		p.apply(tt.records...)
		p.perform(p.Acquire(p.now, 1, "k", tt.hash))
		p.advanceClock(DefaultResultWait)
		v := p.verdict
		if v == nil || v.Run || (v.Replay != nil) != tt.replay {
			t.Errorf("%s: verdict %+v, want replay: %v", tt.name, v, tt.replay)
			continue
		}
		if v.Failure != nil && (v.Failure.Code != tt.code || v.Failure.Outcome != tt.outcome) {
			t.Errorf("%s: failure %v, want code %s and outcome %s", tt.name, v.Failure, tt.code, tt.outcome)
		}
	}
}

// Guards against agents of one service that together append more often than the log allows.
func TestInterval(t *testing.T) {
	for runners, want := range map[int]time.Duration{1: 20 * time.Millisecond, 3: 20 * time.Millisecond, 150: time.Second} {
		if got := AppendInterval(runners); got != want {
			t.Errorf("interval for %d runners: %v, want %v", runners, got, want)
		}
	}
}
