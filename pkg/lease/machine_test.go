package lease

import (
	"testing"
	"time"
)

const second = time.Second

func newHolder(t *testing.T, timing Timing) *Machine {
	t.Helper()
	m := NewMachine("a", "a:1", timing)
	m.ApplyRead(Record{}, 0, 0)
	if m.Next(0, false) != Write {
		t.Fatalf("step for a free lease: %s, want %s", m.Next(0, false), Write)
	}
	m.ApplyWrite(m.Proposal(), 1, 0)
	return m
}

// Guards against an old holder that sends orders while a new one does, with runners that do not check fencing tokens.
func TestUnfencedHoldersNeverOverlap(t *testing.T) {
	timing := NewTiming(3 * second)
	a := newHolder(t, timing)
	b := NewMachine("b", "b:1", timing)
	observed := 100 * time.Millisecond
	b.ApplyRead(Record{Holder: "a", Token: 1}, 1, observed)
	if b.Next(observed+timing.TakeoverAfter-1, false) == Write {
		t.Fatal("step before the takeover time: write, want no write")
	}
	now := observed + timing.TakeoverAfter
	if b.Next(now, false) != Write {
		t.Fatalf("step at the takeover time: %s, want %s", b.Next(now, false), Write)
	}
	b.ApplyWrite(b.Proposal(), 2, now)
	lastOrder := timing.Validity
	if _, ok := a.Token(lastOrder); ok {
		t.Error("the old holder has a token after its validity ended, want none")
	}
	if _, ok := b.Token(lastOrder + 3*second - 1); ok {
		t.Error("the new holder has a token less than 3 s after the old holder's last order, want none")
	}
	token, ok := b.Token(now + timing.Validity - 1)
	_ = ok
	if token != 0 && token <= 1 {
		t.Errorf("token of the new holder: %d, want more than 1", token)
	}
}

// Guards against two tenures with the same fencing token.
func TestTokensRiseWithEveryTenure(t *testing.T) {
	a := newHolder(t, NewFencedTiming())
	first, ok := a.Token(0)
	if !ok {
		t.Fatal("the first holder has no token, want one at once")
	}
	b := NewMachine("b", "b:1", NewFencedTiming())
	b.ApplyRead(a.Holder(), 7, 0)
	b.ApplyWrite(b.Proposal(), 8, 5*second)
	second, ok := b.Token(5 * second)
	if !ok || second <= first {
		t.Errorf("token of the second holder: %d (valid %v), want more than %d", second, ok, first)
	}
}

// Guards against placement that stops while only the holder cannot reach the store.
func TestFencedHolderKeepsLeaseWithoutStore(t *testing.T) {
	m := newHolder(t, NewFencedTiming())
	m.ApplyWriteFailure(second)
	if _, ok := m.Token(20 * second); !ok {
		t.Error("the holder has no token 19 s after a failed renewal, want one until it is replaced")
	}
	m.ApplyFenced(1)
	if _, ok := m.Token(20 * second); ok || m.Held(20*second) {
		t.Error("the holder still holds the lease after a runner rejected its token")
	}
}

// Guards against a renewal with a lost response that extends the lease although it never took effect.
func TestUncertainRenewalExtendsLeaseOnlyIfApplied(t *testing.T) {
	cases := []struct {
		name     string
		position int64
		valid    bool
	}{{"not applied", 1, false}, {"applied", 2, true}}
	for _, c := range cases {
		m := newHolder(t, NewTiming(3*second))
		m.ApplyWriteFailure(2 * second)
		m.ApplyRead(Record{Holder: "a", Address: "a:1", Token: 1}, c.position, 3*second)
		if _, ok := m.Token(4 * second); ok != c.valid {
			t.Errorf("%s: token valid %v, want %v", c.name, ok, c.valid)
		}
	}
}

// Guards against a restarted holder that waits for its own previous lease to expire.
func TestRestartedHolderActsAtOnce(t *testing.T) {
	m := NewMachine("a", "a:1", NewTiming(3*second))
	m.ApplyRead(Record{Holder: "a", Address: "a:1", Token: 4}, 9, 0)
	if m.Next(0, false) != Write {
		t.Fatalf("step for the daemon's own record: %s, want %s", m.Next(0, false), Write)
	}
	m.ApplyWrite(m.Proposal(), 10, 0)
	if token, ok := m.Token(0); !ok || token <= 4 {
		t.Errorf("token %d (valid %v), want a valid one above 4", token, ok)
	}
}

// Guards against two holders that each use the full rate of the weight store: a holder that is cut off from the store
// continues while the next one already acts (found on trouble-1 of apdd-orders, seed 839978741192).
func TestOverlappingHoldersAreNotSoleHolder(t *testing.T) {
	a := newHolder(t, NewFencedTiming())
	if !a.IsSoleHolder(second) {
		t.Fatal("the first holder is not the sole holder")
	}
	a.ApplyWriteFailure(second)
	if a.IsSoleHolder(3 * second) {
		t.Error("a holder that cannot reach the store counts as the sole holder")
	}
	b := NewMachine("b", "b:1", NewFencedTiming())
	b.ApplyRead(a.Holder(), 1, second)
	b.ApplyWrite(b.Proposal(), 2, 3*second)
	if b.IsSoleHolder(3 * second) {
		t.Error("a new holder counts as the sole holder while its predecessor may still act")
	}
	if b.ApplyWrite(b.Proposal(), 3, 16*second); !b.IsSoleHolder(16 * second) {
		t.Error("a holder is not the sole holder 13 s after its takeover")
	}
	c := NewMachine("c", "c:1", NewFencedTiming())
	c.ApplyRead(Record{Token: 2}, 4, 0)
	if c.ApplyWrite(c.Proposal(), 5, 0); !c.IsSoleHolder(0) {
		t.Error("the holder after a planned release is not the sole holder")
	}
}

// Guards against every daemon calling the store while the holder responds: a follower took the record that it had
// stopped reading for an expired one (2,400 of 2,600 calls on quiet-1 of apdd-orders-grown).
func TestFollowersDoNotCallTheStore(t *testing.T) {
	m := NewMachine("b", "b:1", NewFencedTiming())
	m.ApplyRead(Record{Holder: "a", Token: 1}, 1, 0)
	if step := m.Next(60*second, true); step != Wait {
		t.Errorf("step while the holder responds: %s, want %s", step, Wait)
	}
}

// Guards against a slow takeover: the age of a dead holder's record was counted from when it was first read instead of
// from the last contact.
func TestRecordAgeCountsFromLastContact(t *testing.T) {
	m := NewMachine("b", "b:1", NewFencedTiming())
	m.ApplyRead(Record{Holder: "a", Token: 1}, 1, 0)
	m.ApplyHolderContact(9, 20*second)
	m.ApplyRead(Record{Holder: "a", Token: 1}, 9, 23*second)
	if step := m.Next(23*second, false); step != Write {
		t.Errorf("step 3 s after the last contact with the holder: %s, want %s", step, Write)
	}
}

// Guards against orders of two daemons within the minimum distance when the response to a takeover is lost, with runners
// that do not check fencing tokens: the daemon then finds its own record, which tells nothing of the previous holder.
func TestTakeoverWithoutAResponseKeepsTheDistance(t *testing.T) {
	timing := NewTiming(3 * second)
	for name, c := range map[string]struct {
		before Record
		first  time.Duration
	}{
		"after a lost holder":     {Record{Holder: "a", Address: "a:1", Token: 1}, timing.Validity + timing.HolderGap},
		"after a planned release": {Record{Token: 1}, timing.HolderGap},
	} {
		m := NewMachine("b", "b:1", timing)
		m.ApplyRead(c.before, 5, 0)
		sent := max(m.AwaitTime(0), 0)
		taken := m.Proposal()
		m.ApplyWriteFailure(sent)
		m.ApplyRead(taken, 6, sent+second)
		m.ApplyWrite(m.Proposal(), 7, sent+second)
		if _, ok := m.Token(c.first - 1); ok {
			t.Errorf("%s: an order %v after the record of the previous holder, want none before %v", name, c.first-1, c.first)
		}
		if _, ok := m.Token(c.first); !ok {
			t.Errorf("%s: no order %v after the record of the previous holder, want one", name, c.first)
		}
	}
}

// Guards against orders of two daemons within the minimum distance when a new holder is killed and starts again before
// its first order: the record of its own earlier process says nothing of the holder before.
func TestHolderRestartedBeforeItsFirstOrderKeepsTheDistance(t *testing.T) {
	timing := NewTiming(3 * second)
	killed := NewMachine("b", "b:1", timing)
	killed.ApplyRead(Record{Holder: "a", Address: "a:1", Token: 1}, 5, 0)
	taken := killed.Proposal()
	killed.ApplyWrite(taken, 6, timing.TakeoverAfter)
	started := timing.TakeoverAfter + second
	for name, c := range map[string]struct {
		rec    Record
		atOnce bool
	}{"right after the takeover": {rec: taken}, "after its first order": {rec: settledRecord(killed, 8*second), atOnce: true}} {
		m := NewMachine("b", "b:1", timing)
		m.ApplyRead(c.rec, 7, started)
		m.ApplyWrite(m.Proposal(), 8, started)
		if _, ok := m.Token(started); ok != c.atOnce {
			t.Errorf("%s: order at the start %v, want %v", name, ok, c.atOnce)
		}
		m.ApplyWrite(m.Proposal(), 9, started+2*second)
		if _, ok := m.Token(started + timing.HolderGap); !ok {
			t.Errorf("%s: no order %v after the start, want one", name, timing.HolderGap)
		}
	}
}

// settledRecord returns the record that a holder writes with its second renewal at or after now.
func settledRecord(m *Machine, now time.Duration) Record {
	m.ApplyWrite(m.Proposal(), 7, now)
	return m.Proposal()
}

// Guards against orders of a daemon that has released the lease, or has ended its tenure for a release: the response to a
// write that was on its way would begin a new tenure, which orders at once because the record is its own.
func TestWriteThatEndsAfterTheReleaseBeginsNoTenure(t *testing.T) {
	for name, timing := range map[string]Timing{"unfenced": NewTiming(3 * second), "fenced": NewFencedTiming()} {
		m := newHolder(t, timing)
		renewal := m.Proposal()
		m.Release(second)
		m.ApplyWrite(renewal, 2, second)
		if _, ok := m.Token(second); ok || m.Held(second) {
			t.Errorf("%s: the daemon holds the lease again after it has ended its tenure", name)
		}
		if next := m.Next(10*second, false); next != Wait {
			t.Errorf("%s: step after the release: %s, want %s", name, next, Wait)
		}
	}
}

// Guards against orders of two daemons within the minimum distance, with runners that do not check fencing tokens: an
// earlier takeover that failed hides that the own record, which an earlier process wrote, still waits for another holder.
func TestOldTakeoverFailureDoesNotEndTheWaitOfAnOwnRecord(t *testing.T) {
	timing := NewTiming(3 * second)
	a := NewMachine("a", "a:1", timing)
	a.ApplyRead(Record{Token: 1}, 1, 0)
	a.ApplyWriteFailure(0)
	a.ApplyRead(Record{Holder: "b", Address: "b:1", Token: 2}, 2, second)
	// A takeover by the earlier process is carried out late, when b's lease has just ended.
	now := 20 * second
	a.ApplyRead(Record{Holder: "a", Address: "a:1", Token: 3, Unsettled: true}, 3, now)
	a.ApplyWrite(a.Proposal(), 4, now)
	if _, ok := a.Token(now); ok {
		t.Error("orders at once, want the distance to the previous holder")
	}
}
