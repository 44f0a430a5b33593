package lease

import "testing"

// restoredRecords are what a store that was restored from an earlier copy can hold of a lease whose holder a is lost.
var restoredRecords = map[string]Record{
	"no record":                  {Restored: true},
	"a released lease":           {Token: 3, Restored: true},
	"the reader's own tenure":    {Holder: "b", Address: "b:1", Token: 3, Restored: true},
	"a tenure of another daemon": {Holder: "c", Address: "c:1", Token: 3, Restored: true},
	"an earlier renewal":         {Holder: "a", Address: "a:1", Token: 5, Restored: true},
}

// Guards against orders of two daemons within the minimum distance, with runners that do not check fencing tokens: a
// daemon derives the time of its first order from a record that is older than the lease of a living holder.
func TestHolderMissingInARestoredRecordIsWaitedFor(t *testing.T) {
	const gap = 3 * second
	timing := NewTiming(gap)
	for name, rec := range restoredRecords {
		b := NewMachine("b", "b:1", timing)
		b.ApplyRead(rec, 9, 11*second)
		took := 11*second + timing.TakeoverAfter
		if rec.Holder == "b" {
			// The daemon's earlier process was probably the last holder; only orders have to wait.
			took = 11 * second
		}
		if next := b.Next(took-1, false); next == Write {
			t.Errorf("%s: the lease is taken before a living holder must have renewed it", name)
		}
		if next := b.Next(took, false); next != Write {
			t.Errorf("%s: step at the takeover time: %s, want %s", name, next, Write)
		}
		b.ApplyWrite(b.Proposal(), 10, took)
		// The lost holder renewed its lease right before the restore.
		lastOrder := 11*second + timing.Validity
		if _, ok := b.Token(lastOrder + gap - 1); ok {
			t.Errorf("%s: orders less than %v after the last one of the lost holder", name, gap)
		}
		if b.IsSoleHolder(took) {
			t.Errorf("%s: the daemon counts as the sole holder", name)
		}
		if token, ok := b.Token(took + timing.Validity + gap + second); ok && token <= 9 {
			t.Errorf("%s: token %d, want more than 9", name, token)
		}
	}
}

// Guards against an interruption of placement with every restore of the store: a holder that no other daemon can have
// replaced goes on and writes its record again at once.
func TestHolderOutlivesARestore(t *testing.T) {
	for name, rec := range restoredRecords {
		m := newHolder(t, NewTiming(3*second))
		m.ApplyWriteFailure(second)
		m.ApplyRead(rec, 9, 2*second)
		if next := m.Next(2*second, false); next != Write || m.Proposal().Token != 1 {
			t.Errorf("%s: step after the restore: %s with token %d, want %s with token 1", name, next, m.Proposal().Token, Write)
		}
		if _, ok := m.Token(2*second + second); ok {
			t.Errorf("%s: a write that was lost in the restore extends the validity", name)
		}
		if m.ApplyWrite(m.Proposal(), 10, 2*second); !m.Held(3 * second) {
			t.Errorf("%s: the lease is not held after it was written again", name)
		}
	}
}

// Guards against a holder that was cut off, was replaced in the lost history, and goes on with its lower token.
func TestReplacedHolderDoesNotGoOnAfterARestore(t *testing.T) {
	for name, rec := range restoredRecords {
		unfenced := newHolder(t, NewTiming(3*second))
		unfenced.ApplyRead(rec, 9, 10*second)
		if unfenced.Held(10*second) || unfenced.Next(10*second, false) == Write {
			t.Errorf("%s: a holder that may have been replaced goes on where runners do not check tokens", name)
		}
		fenced := newHolder(t, NewFencedTiming())
		fenced.ApplyRead(rec, 9, 10*second)
		if token := fenced.Proposal().Token; !fenced.Held(10*second) || fenced.Next(10*second, false) != Write || token != 10 {
			t.Errorf("%s: held %v, token %d, want the lease held and the token 10 of the restored position", name, fenced.Held(10*second), token)
		}
	}
}

// Guards against orders of two daemons within the minimum distance, with runners that do not check fencing tokens: a
// daemon that takes its own restored record at once ends before its first order, and the next holder counts its wait from
// there, although the lost holder's lease may not have ended.
func TestLostHolderIsWaitedForOverARestartAndARelease(t *testing.T) {
	const gap, restored = 3 * second, 11 * second
	timing := NewTiming(gap)
	b := NewMachine("b", "b:1", timing)
	b.ApplyRead(restoredRecords["the reader's own tenure"], 9, restored)
	taken := b.Proposal()
	b.ApplyWrite(taken, 10, restored)
	released, at := b.Release(restored+second/2), restored+second
	for name, c := range map[string]struct {
		daemon string
		rec    Record
	}{"its next process": {"b", taken}, "another daemon after a release": {"c", released}} {
		m := NewMachine(c.daemon, c.daemon+":1", timing)
		m.ApplyRead(c.rec, 11, at)
		for range 3 {
			if m.Next(at, false) == Write {
				m.ApplyWrite(m.Proposal(), 12, at)
			}
		}
		// The lost holder renewed its lease right before the restore.
		lastOrder := restored + timing.Validity
		now := lastOrder + gap - 1
		m.ApplyWrite(m.Proposal(), 13, now)
		if _, ok := m.Token(now); ok {
			t.Errorf("%s: orders less than %v after the last one of the lost holder", name, gap)
		}
	}
}
