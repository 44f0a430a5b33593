package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/pkg/fleet"
)

// job is one caller's request while it is served.
type job struct {
	meta    Meta
	route   *fleet.Route
	service fleet.Service
	version int64
	method  string
	target  string
	host    string
	header  http.Header
	body    []byte
	arrived time.Time
	// deadline is when the caller or the route gives the request up; zero for neither.
	deadline time.Time
	// callerDeadline is when the caller gives up; zero when it stated nothing.
	callerDeadline time.Time
	chain          []prefixLink
	tried          map[string]bool
}

// remaining returns the time left for a runner; 0 when there is no deadline.
func (j *job) remaining(now time.Time) time.Duration {
	if j.deadline.IsZero() {
		return 0
	}
	return max(j.deadline.Sub(now), time.Millisecond)
}

// spread returns a hash that divides requests over weighted services.
func (j *job) spread() uint64 { return xxhash.Sum64String(j.meta.RequestID) }

// needsModel reports whether the request is for a model runner.
func (j *job) needsModel() bool { return j.service.Engine != nil && j.meta.Model != "" }

// whole reports whether the answer is delivered only once it is complete.
func (j *job) whole() bool { return j.route.Kind != fleet.Streaming }
