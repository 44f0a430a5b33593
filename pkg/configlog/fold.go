package configlog

import (
	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/object"
)

// Fold is the state machine of the config stream: the current configuration, the versions of its objects and the
// verdicts on change sets. It implements stream.Fold and is not safe for concurrent use.
type Fold struct {
	offset     uint64
	objects    map[key]*ferrypb.VersionedObject
	tombstones map[key]uint64
	history    *history
	// set is decoded on demand and nil after a change, so that a replay of many records decodes it once.
	set *object.Set
}

// NewFold returns a fold that has applied no records.
func NewFold() *Fold {
	return &Fold{
		objects:    map[key]*ferrypb.VersionedObject{},
		tombstones: map[key]uint64{},
		history:    newHistory(),
	}
}

// Offset returns the last applied offset; 0 before the first record.
func (f *Fold) Offset() uint64 { return f.offset }

// Set returns the current objects as an immutable set, which may be passed to other goroutines.
func (f *Fold) Set() *object.Set {
	if f.set == nil {
		f.set = object.Decode(f.offset, f.Objects())
	}
	return f.set.WithOffset(f.offset)
}

// Apply applies the record at offset. A record that is not a valid change set changes only the offset. A record at or
// below the last applied offset is ignored.
func (f *Fold) Apply(offset uint64, e *ferrypb.Envelope) {
	if offset <= f.offset {
		return
	}
	f.offset = offset
	cs := e.GetChangeSet()
	if cs == nil || e.GetFormat() != Format || f.history.has(cs.GetId()) {
		return
	}
	entry := f.evaluate(cs)
	entry.Offset = offset
	entry.Id = cs.GetId()
	entry.Author = cs.GetAuthor()
	entry.UnixMillis = e.GetUnixMillis()
	entry.Changes = uint32(len(cs.GetPuts()) + len(cs.GetDeletes()))
	f.history.add(entry)
	if entry.Accepted {
		f.applyChangeSet(cs)
	}
}

// applyChangeSet applies an accepted change set. It stores the change set's own objects, which must not be
// modified afterwards: copies would double the memory of the configuration, because the records kept for peers
// contain the change sets as well.
func (f *Fold) applyChangeSet(cs *ferrypb.ChangeSet) {
	for _, o := range cs.GetPuts() {
		k := keyOf(o)
		f.objects[k] = &ferrypb.VersionedObject{Object: o, Version: f.offset}
		delete(f.tombstones, k)
	}
	for _, d := range cs.GetDeletes() {
		k := keyFromMessage(d)
		delete(f.objects, k)
		f.tombstones[k] = f.offset
	}
	f.expireTombstones()
	f.set = nil
}

// tombstoneRetentionRecords is the number of records after which the version of a deleted object is dropped, about
// four weeks at 3,500 changes a day. Without this limit the names of drained runners would accumulate.
const tombstoneRetentionRecords = 100_000

func (f *Fold) expireTombstones() {
	for k, version := range f.tombstones {
		if version+tombstoneRetentionRecords < f.offset {
			delete(f.tombstones, k)
		}
	}
}

// Objects returns the current objects as they were published, sorted by kind and name. They must not be modified.
func (f *Fold) Objects() []*ferrypb.Object {
	out := make([]*ferrypb.Object, 0, len(f.objects))
	for _, k := range sortedKeys(f.objects) {
		out = append(out, f.objects[k].Object)
	}
	return out
}

// Version returns the offset of the last accepted change of an object, including its deletion; 0 if there is none.
func (f *Fold) Version(kind, name string) uint64 {
	return f.version(key{kind, name})
}

func (f *Fold) version(k key) uint64 {
	if o, ok := f.objects[k]; ok {
		return o.Version
	}
	return f.tombstones[k]
}

// History returns the verdicts on the most recent change sets, oldest first. They must not be modified.
func (f *Fold) History() []*ferrypb.HistoryEntry { return f.history.list() }

// Verdict returns the verdict on the change set with the given id, and false if there is none or it is no longer
// stored.
func (f *Fold) Verdict(id string) (*ferrypb.HistoryEntry, bool) { return f.history.find(id) }

// LastChange returns the offset of the last accepted change set; 0 if there is none.
func (f *Fold) LastChange() uint64 {
	var last uint64
	for _, o := range f.objects {
		last = max(last, o.Version)
	}
	for _, version := range f.tombstones {
		last = max(last, version)
	}
	return last
}
