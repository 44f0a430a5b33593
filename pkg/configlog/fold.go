package configlog

import (
	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/object"
)

// Fold replays the config stream. It implements stream.Fold and is owned by one goroutine.
type Fold struct {
	offset     uint64
	objects    map[key]*ferrypb.VersionedObject
	tombstones map[key]uint64
	history    *history
	// set is decoded on demand; nil after a change. A replay of many records decodes it once.
	set *object.Set
}

// NewFold returns a fold that has applied nothing.
func NewFold() *Fold {
	return &Fold{
		objects:    map[key]*ferrypb.VersionedObject{},
		tombstones: map[key]uint64{},
		history:    newHistory(),
	}
}

// Offset returns the last applied offset; 0 before the first record.
func (f *Fold) Offset() uint64 { return f.offset }

// Set returns the objects in force as an immutable set. It may be passed to other goroutines.
func (f *Fold) Set() *object.Set {
	if f.set == nil {
		f.set = object.Decode(f.offset, f.Objects())
	}
	return f.set.At(f.offset)
}

// Apply applies the record at offset. A record that is no valid change set changes nothing but the offset,
// and so does one at or below the offset already applied.
func (f *Fold) Apply(offset uint64, e *ferrypb.Envelope) {
	if offset <= f.offset {
		return
	}
	f.offset = offset
	cs := e.GetChangeSet()
	if cs == nil || e.GetFormat() != Format || f.history.has(cs.GetId()) {
		return
	}
	entry := f.judge(cs)
	entry.Offset = offset
	entry.Id = cs.GetId()
	entry.Author = cs.GetAuthor()
	entry.UnixMillis = e.GetUnixMillis()
	entry.Changes = uint32(len(cs.GetPuts()) + len(cs.GetDeletes()))
	f.history.add(entry)
	if entry.Accepted {
		f.change(cs)
	}
}

// change keeps the objects of the change set itself, which must not be changed afterwards: a copy would double the memory of
// the configuration, because the tail for peers holds the change sets as well.
func (f *Fold) change(cs *ferrypb.ChangeSet) {
	for _, o := range cs.GetPuts() {
		k := keyOf(o)
		f.objects[k] = &ferrypb.VersionedObject{Object: o, Version: f.offset}
		delete(f.tombstones, k)
	}
	for _, d := range cs.GetDeletes() {
		k := keyFrom(d)
		delete(f.objects, k)
		f.tombstones[k] = f.offset
	}
	f.dropTombstones()
	f.set = nil
}

// tombstoneRetention is the number of records after which the version of a deleted object is forgotten,
// about four weeks at 3,500 changes a day. Without a bound the names of drained runners would pile up.
const tombstoneRetention = 100_000

func (f *Fold) dropTombstones() {
	for k, version := range f.tombstones {
		if version+tombstoneRetention < f.offset {
			delete(f.tombstones, k)
		}
	}
}

// Objects returns the raw objects in force in the order of kinds and names. They must not be changed.
func (f *Fold) Objects() []*ferrypb.Object {
	out := make([]*ferrypb.Object, 0, len(f.objects))
	for _, k := range sortedKeys(f.objects) {
		out = append(out, f.objects[k].Object)
	}
	return out
}

// Version returns the offset of the last accepted change of an object, deletion included; 0 for none.
func (f *Fold) Version(kind, name string) uint64 {
	return f.version(key{kind, name})
}

func (f *Fold) version(k key) uint64 {
	if o, ok := f.objects[k]; ok {
		return o.Version
	}
	return f.tombstones[k]
}

// History returns the verdicts on the last change sets, oldest first. They must not be changed.
func (f *Fold) History() []*ferrypb.HistoryEntry { return f.history.list() }

// Verdict returns the verdict on the change set of that id; false if it is unknown or forgotten.
func (f *Fold) Verdict(id string) (*ferrypb.HistoryEntry, bool) { return f.history.find(id) }

// LastChange returns the offset of the last accepted change set; 0 for none.
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
