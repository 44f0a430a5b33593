package quarantine

import (
	"slices"
	"strings"
	"time"
)

// Entry bars the requests that have all of its parts.
type Entry struct {
	// Parts are in ascending order. There are several only if they have always come together.
	Parts []string
	// LastCrash is when a runner last crashed on such a request as far as the decider knew, Until when the entry expires.
	LastCrash time.Time
	Until     time.Time
	// Provisional is set for a part that no runner has survived yet and that may have caused one crash. Requests with it
	// wait until more is known; those in progress go on.
	Provisional bool
}

// covers reports whether a request with the given parts is barred.
func (e *Entry) covers(parts []string) bool {
	for _, part := range e.Parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return len(e.Parts) > 0
}

func isProvisional(e *Entry) bool { return e.Provisional }

func (e *Entry) key() string { return strings.Join(e.Parts, ",") }
