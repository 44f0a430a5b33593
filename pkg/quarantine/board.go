package quarantine

import (
	"sync"
	"time"
)

const (
	// crashReportTime is how long own crashes are reported to a new lease holder. By then the crashes that have the same
	// cause have led to an entry.
	crashReportTime = 30 * time.Second
	// holderViewTime is the age up to which the list of the lease holder is used alone. Without it the daemon also goes by
	// its own evidence. The largest fleets report about once a second.
	holderViewTime = 1500 * time.Millisecond
)

// Board is what one daemon knows: the list in force and its own evidence. It is safe for concurrent use.
type Board struct {
	mu sync.Mutex
	// list is that of the lease holder, own that of this daemon's evidence alone.
	list   *List
	listAt time.Time
	own    *Judge
	// provisional holds the provisional entries of this daemon's own crashes, before the lease holder knows of them.
	provisional *List
	// crashes are this daemon's crashes in the order of their sequence numbers.
	crashes  []numberedCrash
	sequence uint64
	// crashed has capacity 1: it signals that a crash was added.
	crashed chan struct{}
	// watchers cancel requests in progress that an entry comes to bar.
	watchers map[*watcher]struct{}
}

type numberedCrash struct {
	sequence uint64
	crash    Crash
}

type watcher struct {
	parts  []string
	cancel func()
}

// NewBoard returns a board without entries.
func NewBoard() *Board {
	return &Board{list: &List{}, own: newCautiousJudge(), provisional: &List{}, crashed: make(chan struct{}, 1), watchers: map[*watcher]struct{}{}}
}

// Match returns the entry that bars a request with the given parts; nil if there is none.
func (b *Board) Match(parts []string, now time.Time) *Entry {
	if len(parts) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.match(parts, now)
}

func (b *Board) match(parts []string, now time.Time) *Entry {
	if e := b.list.Match(parts, now); e != nil {
		return e
	}
	if e := b.provisional.Match(parts, now); e != nil {
		return e
	}
	if now.Sub(b.listAt) < holderViewTime {
		return nil
	}
	return b.own.List.Match(parts, now)
}

// Watch calls cancel when an entry comes to bar a request with the given parts, until the returned function is called.
func (b *Board) Watch(parts []string, cancel func()) (stop func()) {
	if len(parts) == 0 {
		return func() {}
	}
	w := &watcher{parts: parts, cancel: cancel}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watchers[w] = struct{}{}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.watchers, w)
	}
}

// Replace replaces the list by that of the lease holder.
func (b *Board) Replace(entries []Entry, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list, b.listAt = NewList(entries), now
	b.own.List, b.own.Known = &List{}, b.list.without(isProvisional)
	b.cancelBarred(now)
}

// Merge adds entries that a lease holder has left in the store.
func (b *Board) Merge(entries []Entry, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = NewList(append(entries, b.list.entries...))
	b.cancelBarred(now)
}

func (b *Board) cancelBarred(now time.Time) {
	for w := range b.watchers {
		if e := b.match(w.parts, now); e != nil && !e.Provisional {
			delete(b.watchers, w)
			w.cancel()
		}
	}
}

// Entries returns the entries of the lease holder's list that have not expired, without provisional ones.
func (b *Board) Entries(now time.Time) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list.without(isProvisional).Entries(now)
}

// AddCrash records a crash that this daemon saw.
func (b *Board) AddCrash(c *Crash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own.Evidence.AddCrash(c, c.At)
	b.provisional = NewList(b.own.Evidence.provisional(c.At))
	b.sequence++
	b.crashes = append(b.crashes, numberedCrash{sequence: b.sequence, crash: *c})
	select {
	case b.crashed <- struct{}{}:
	default:
	}
}

// Crashed returns a channel that receives after AddCrash.
func (b *Board) Crashed() <-chan struct{} { return b.crashed }

// AddSound records that a runner has survived the parts of a request.
func (b *Board) AddSound(parts []string, now time.Time) {
	if len(parts) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, part := range parts {
		b.own.Evidence.AddSound(part, now)
	}
	if len(b.provisional.entries) > 0 {
		b.provisional = NewList(b.own.Evidence.provisional(now))
	}
}

// Survived reports whether this daemon has seen runners survive each of the parts.
func (b *Board) Survived(parts []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, part := range parts {
		if b.own.Evidence.SoundAt(part).IsZero() {
			return false
		}
	}
	return true
}

// Step drops what is too old to be reported. While there is no list of the lease holder it also updates this daemon's own
// list, and returns the entries that were added.
func (b *Board) Step(now time.Time) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.crashes) > 0 && now.Sub(b.crashes[0].crash.At) > crashReportTime {
		b.crashes = b.crashes[1:]
	}
	if now.Sub(b.listAt) < holderViewTime {
		return nil
	}
	added, _ := b.own.Step(now)
	b.cancelBarred(now)
	return added
}

// CrashesAfter returns this daemon's crashes with higher sequence numbers, and the highest number.
func (b *Board) CrashesAfter(sequence uint64) ([]Crash, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Crash
	for _, c := range b.crashes {
		if c.sequence > sequence {
			out = append(out, c.crash)
		}
	}
	return out, b.sequence
}

// SoundAt returns when this daemon last knew a runner to have survived each of the parts; parts that none has are
// missing.
func (b *Board) SoundAt(parts []string) map[string]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]time.Time{}
	for _, part := range parts {
		if at := b.own.Evidence.SoundAt(part); !at.IsZero() {
			out[part] = at
		}
	}
	return out
}
