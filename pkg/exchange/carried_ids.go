package exchange

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarriedIDs bounds the requests that a connection carries, and with them the ids that it remembers to 2 KB.
const maxCarriedIDs = 256

// carriedIDs holds hashes of the ids of the requests that a connection has carried. An id with the hash of another one
// counts as carried; its request goes over another connection.
type carriedIDs []uint64

func (s carriedIDs) contains(id string) bool { return slices.Contains(s, xxhash.Sum64String(id)) }

func (s carriedIDs) full() bool { return len(s) >= maxCarriedIDs }

func (s *carriedIDs) add(id string) { *s = append(*s, xxhash.Sum64String(id)) }
