package idempotency

import (
	"maps"
	"slices"
	"sync"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// pruneEvery is the number of records between two passes that drop forgotten keys; a pass at fixed offsets
	// keeps all replays equal.
	pruneEvery = 256
	// pruneMargin is the time that a forgotten key stays in memory, so that a claim with a slower clock still
	// meets it. Clocks of hosts are assumed to agree within it.
	pruneMargin = time.Hour
)

// Entry is the state of one key. Its messages must not be changed.
type Entry struct {
	// Claim is the winning claim and Offset that of its record.
	Claim  *ferrypb.KeyClaim
	Offset uint64
	// UnixMillis is the timestamp of the claim's record.
	UnixMillis int64
	// Done is the stored result; nil while the request may be running or its claimer is gone.
	Done *ferrypb.KeyDone
}

// Fold is the replay of the key stream of one service. It implements stream.Fold. Lookups are safe beside the one goroutine
// that applies records.
type Fold struct {
	retention time.Duration

	mu      sync.RWMutex
	offset  uint64
	entries map[string]Entry
}

// NewFold returns an empty fold that remembers keys for retention.
func NewFold(retention time.Duration) *Fold {
	return &Fold{retention: retention, entries: map[string]Entry{}}
}

// Offset returns the last applied offset.
func (f *Fold) Offset() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.offset
}

// Len returns the number of keys in memory.
func (f *Fold) Len() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.entries)
}

// Lookup returns the entry of a key as a claim with the timestamp would meet it.
func (f *Fold) Lookup(key string, unixMillis int64) (Entry, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.lookup(key, unixMillis)
}

func (f *Fold) lookup(key string, unixMillis int64) (Entry, bool) {
	e, ok := f.entries[key]
	if !ok || e.UnixMillis+f.retention.Milliseconds() < unixMillis {
		return Entry{}, false
	}
	return e, true
}

// Apply applies the record at offset.
func (f *Fold) Apply(offset uint64, e *ferrypb.Envelope) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offset = offset
	for _, r := range e.GetKeys().GetRecords() {
		switch rec := r.GetRecord().(type) {
		case *ferrypb.KeyRecord_Claim:
			f.claim(offset, e.UnixMillis, rec.Claim)
		case *ferrypb.KeyRecord_Done:
			f.done(rec.Done)
		case *ferrypb.KeyRecord_Abandon:
			f.abandon(rec.Abandon)
		}
	}
	if offset%pruneEvery == 0 {
		f.prune(e.UnixMillis)
	}
}

// claim gives the key to the first claim. A claim that meets an entry is refused and leaves nothing behind.
func (f *Fold) claim(offset uint64, unixMillis int64, c *ferrypb.KeyClaim) {
	if _, taken := f.lookup(c.GetKey(), unixMillis); taken {
		return
	}
	f.entries[c.Key] = Entry{Claim: c, Offset: offset, UnixMillis: unixMillis}
}

// done stores the first result of the winning claim.
func (f *Fold) done(d *ferrypb.KeyDone) {
	e, ok := f.entries[d.GetKey()]
	if !ok || e.Claim.ClaimId != d.ClaimId || e.Done != nil {
		return
	}
	e.Done = d
	f.entries[d.Key] = e
}

// abandon frees the key of a winning claim without a result; the next claim wins.
func (f *Fold) abandon(a *ferrypb.KeyAbandon) {
	e, ok := f.entries[a.GetKey()]
	if ok && e.Claim.ClaimId == a.ClaimId && e.Done == nil {
		delete(f.entries, a.Key)
	}
}

func (f *Fold) prune(unixMillis int64) {
	oldest := unixMillis - (f.retention + pruneMargin).Milliseconds()
	maps.DeleteFunc(f.entries, func(_ string, e Entry) bool { return e.UnixMillis < oldest })
}

// Checkpoint returns the whole state.
func (f *Fold) Checkpoint() *ferrypb.Checkpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	state := &ferrypb.KeyState{Offset: f.offset}
	for _, key := range slices.Sorted(maps.Keys(f.entries)) {
		e := f.entries[key]
		state.Entries = append(state.Entries, &ferrypb.KeyEntry{Key: key, ClaimOffset: e.Offset,
			UnixMillis: e.UnixMillis, Claim: e.Claim, Done: e.Done})
	}
	return &ferrypb.Checkpoint{Covers: f.offset, State: &ferrypb.Checkpoint_Keys{Keys: state}}
}

// Restore replaces the state by a checkpoint. A checkpoint of another stream fails with code RecordInvalid.
func (f *Fold) Restore(c *ferrypb.Checkpoint) error {
	state := c.GetKeys()
	if state == nil {
		return failure.New(failure.RecordInvalid, failure.NotRun, "checkpoint is not of a key stream")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offset = c.Covers
	f.entries = make(map[string]Entry, len(state.Entries))
	for _, e := range state.Entries {
		f.entries[e.Key] = Entry{Claim: e.GetClaim(), Offset: e.ClaimOffset, UnixMillis: e.UnixMillis, Done: e.Done}
	}
	return nil
}
