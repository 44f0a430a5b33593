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
	// pruneInterval is the number of offsets between two removals of expired keys. Removals at fixed offsets make every
	// replay of the stream give the same state.
	pruneInterval = 256
	// pruneMargin is the time for which an expired key stays in memory, so that it is still found for a claim with an
	// earlier timestamp. The clocks of hosts are assumed to differ by less.
	pruneMargin = time.Hour
)

// Entry is the state of one key. The messages it points to must not be modified.
type Entry struct {
	// Claim is the winning claim, and Offset the offset of its record.
	Claim       *ferrypb.KeyClaim
	ClaimOffset uint64
	// ClaimedUnixMillis is the timestamp of the claim's record in Unix milliseconds.
	ClaimedUnixMillis int64
	// Done is the stored result. It is nil while the request may be running, and stays nil if the claiming agent was
	// lost.
	Done *ferrypb.KeyDone
}

// Fold holds the keys of one service, built by applying the records of its key stream in order. It implements
// stream.Fold. Lookups are safe for concurrent use with the one goroutine that applies records.
type Fold struct {
	// retention is the time for which a key is kept.
	retention time.Duration

	mu      sync.RWMutex
	offset  uint64
	entries map[string]Entry
}

// NewFold returns an empty fold whose keys expire after retention.
func NewFold(retention time.Duration) *Fold {
	return &Fold{retention: retention, entries: map[string]Entry{}}
}

// Offset returns the offset of the last applied record.
func (f *Fold) Offset() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.offset
}

// Len returns the number of keys in memory, including expired ones that have not been removed.
func (f *Fold) Len() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.entries)
}

// Lookup returns the entry of a key unless it has expired at the time unixMillis, in Unix milliseconds.
func (f *Fold) Lookup(key string, unixMillis int64) (Entry, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.lookup(key, unixMillis)
}

func (f *Fold) lookup(key string, unixMillis int64) (Entry, bool) {
	e, ok := f.entries[key]
	if !ok || e.ClaimedUnixMillis+f.retention.Milliseconds() < unixMillis {
		return Entry{}, false
	}
	return e, true
}

// Apply applies the record at an offset.
func (f *Fold) Apply(offset uint64, e *ferrypb.Envelope) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offset = offset
	for _, r := range e.GetKeys().GetRecords() {
		switch rec := r.GetRecord().(type) {
		case *ferrypb.KeyRecord_Claim:
			f.applyClaim(offset, e.UnixMillis, rec.Claim)
		case *ferrypb.KeyRecord_Done:
			f.applyDone(rec.Done)
		case *ferrypb.KeyRecord_Abandon:
			f.applyAbandon(rec.Abandon)
		}
	}
	if offset%pruneInterval == 0 {
		f.prune(e.UnixMillis)
	}
}

// applyClaim stores the first claim of a key. Later claims are ignored until the key is abandoned or expires.
func (f *Fold) applyClaim(offset uint64, unixMillis int64, c *ferrypb.KeyClaim) {
	if _, exists := f.lookup(c.GetKey(), unixMillis); exists {
		return
	}
	f.entries[c.Key] = Entry{Claim: c, ClaimOffset: offset, ClaimedUnixMillis: unixMillis}
}

// applyDone stores the first result of the winning claim. Results of other claims are ignored.
func (f *Fold) applyDone(d *ferrypb.KeyDone) {
	e, ok := f.entries[d.GetKey()]
	if !ok || e.Claim.ClaimId != d.ClaimId || e.Done != nil {
		return
	}
	e.Done = d
	f.entries[d.Key] = e
}

// applyAbandon frees a key whose winning claim has no result, so that the next claim wins.
func (f *Fold) applyAbandon(a *ferrypb.KeyAbandon) {
	e, ok := f.entries[a.GetKey()]
	if ok && e.Claim.ClaimId == a.ClaimId && e.Done == nil {
		delete(f.entries, a.Key)
	}
}

// prune removes the keys that expired more than pruneMargin before unixMillis.
func (f *Fold) prune(unixMillis int64) {
	oldest := unixMillis - (f.retention + pruneMargin).Milliseconds()
	maps.DeleteFunc(f.entries, func(_ string, e Entry) bool { return e.ClaimedUnixMillis < oldest })
}

// Checkpoint returns a checkpoint with all keys in memory.
func (f *Fold) Checkpoint() *ferrypb.Checkpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	state := &ferrypb.KeyState{Offset: f.offset}
	for _, key := range slices.Sorted(maps.Keys(f.entries)) {
		e := f.entries[key]
		state.Entries = append(state.Entries, &ferrypb.KeyEntry{Key: key, ClaimOffset: e.ClaimOffset,
			UnixMillis: e.ClaimedUnixMillis, Claim: e.Claim, Done: e.Done})
	}
	return &ferrypb.Checkpoint{Covers: f.offset, State: &ferrypb.Checkpoint_Keys{Keys: state}}
}

// Restore replaces the state with that of a checkpoint. It fails with code RecordInvalid if the checkpoint is of another
// kind of stream.
func (f *Fold) Restore(c *ferrypb.Checkpoint) error {
	state := c.GetKeys()
	if state == nil {
		return failure.New(failure.RecordInvalid, failure.NotRun, "checkpoint does not contain the state of a key stream")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offset = c.Covers
	f.entries = make(map[string]Entry, len(state.Entries))
	for _, e := range state.Entries {
		f.entries[e.Key] = Entry{Claim: e.GetClaim(), ClaimOffset: e.ClaimOffset, ClaimedUnixMillis: e.UnixMillis, Done: e.Done}
	}
	return nil
}
