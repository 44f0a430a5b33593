package availability

import "time"

// Mark tells of an incarnation that it has said that it leaves, and since when that is known.
type Mark struct {
	Server Incarnation
	Since  time.Time
}
