package coordinator

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/fleet"
)

// digestBuckets is the number of buckets into which ids are hashed. After a change of the holder a daemon gets the
// content of the buckets that differ from its own, instead of everything: a complete view of 760 runners takes more than
// 120 KB, and some hundred of them at once would fill the link of the new holder for seconds.
const digestBuckets = 64

// digests holds a digest for each bucket: the XOR of the content hashes of its members.
type digests [digestBuckets]uint32

func bucketOf(id string) uint32 { return uint32(xxhash.Sum64String(id) % digestBuckets) }

// add adds a member with the given content hash.
func (d *digests) add(id string, content uint32) { d[bucketOf(id)] ^= content }

// differing returns the buckets for which other has another digest; all of them if other is incomplete.
func (d *digests) differing(other []uint32) []uint32 {
	var out []uint32
	for i := range d {
		if len(other) != digestBuckets || d[i] != other[i] {
			out = append(out, uint32(i))
		}
	}
	return out
}

// contentHash hashes the fields of one member.
type contentHash struct{ digest *xxhash.Digest }

func newContentHash() contentHash { return contentHash{xxhash.New()} }

// Writing to a hash cannot fail.

func (h contentHash) text(values ...string) {
	for _, v := range values {
		h.number(int64(len(v)))
		_, _ = h.digest.WriteString(v)
	}
}

// set hashes strings whose order does not matter.
func (h contentHash) set(values []string) {
	sorted := slices.Sorted(slices.Values(values))
	h.number(int64(len(sorted)))
	h.text(sorted...)
}

func (h contentHash) number(n int64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = h.digest.Write(b[:])
}

func (h contentHash) sum() uint32 { return uint32(h.digest.Sum64()) }

func hashHolding(m *ferrypb.Holding) uint32 {
	h := newContentHash()
	h.text(m.Runner, m.Loading)
	h.number(int64(m.Index))
	h.number(m.BornMillis)
	h.set(m.Models)
	h.set(m.Adapters)
	h.set(m.Leaving)
	return h.sum()
}

// hashServer hashes what is relayed of a server, except the sequence, which changes with every report.
func hashServer(s *fleet.Server) uint32 {
	h := newContentHash()
	h.text(s.ID, s.Service, s.Address, s.FailureDomain)
	h.number(s.StartMillis)
	h.number(int64(max(s.Slots, 0)))
	draining := int64(0)
	if s.Draining {
		draining = 1
	}
	h.number(draining)
	models := slices.SortedFunc(slices.Values(s.Models), func(a, b fleet.ResidentModel) int { return strings.Compare(a.Name, b.Name) })
	for i := range models {
		h.text(models[i].Name)
		h.number(models[i].Version)
		h.set(models[i].Adapters)
	}
	return h.sum()
}

func serverDigests(servers map[string]fleet.Server) *digests {
	out := &digests{}
	for id := range servers {
		s := servers[id]
		out.add(id, hashServer(&s))
	}
	return out
}
