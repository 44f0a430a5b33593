package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/pkg/fleet"
)

// job is a caller's request while it is being served.
type job struct {
	meta    RequestMeta
	route   *fleet.Route
	service fleet.Service
	// workspace is that of the caller; nil if callers need no key.
	workspace *fleet.Workspace
	// keyed is set if callers of the configuration show keys, which servers must not see.
	keyed bool
	// quotaUnits is what the request took from the quota of the workspace and may give back.
	quotaUnits float64
	// version of the configuration that the route comes from.
	version int64
	method  string
	target  string
	host    string
	header  http.Header
	body    []byte
	arrived time.Time
	// deadline is the earlier one of the caller's deadline, less responseMargin, and the route's timeout; zero for
	// neither.
	deadline time.Time
	// callerDeadline is when the caller stops waiting; zero if it stated no timeout.
	callerDeadline time.Time
	// chain holds the prompt parts that the request shares with others.
	chain []prefixLink
	// parts holds the ids of the prompt parts that other requests may have as well.
	parts []string
	// maxIdle bounds the idle connections to the server that are kept after the request.
	maxIdle int
	// held is set while the request waits for a server.
	held bool
	// extraAttempt is set in the copy with which a server is chosen while another one works on the request. Without a
	// server, the request does not count as held back.
	extraAttempt bool
	// tried holds the ids of the servers that failed the request.
	tried map[string]bool
	// only holds the ids of the servers that may get the request; nil for all that were not tried.
	only map[string]bool
}

// remaining returns the time until the deadline, at least 1 ms; 0 if there is no deadline.
func (j *job) remaining(now time.Time) time.Duration {
	if j.deadline.IsZero() {
		return 0
	}
	return max(j.deadline.Sub(now), time.Millisecond)
}

// tooLate reports whether the first token of the chosen server is predicted after most of the remaining time.
func (j *job) tooLate(c *choice, now time.Time) bool {
	remaining := j.remaining(now)
	return remaining > 0 && float64(c.predicted) > maxPredictedShare*float64(remaining)
}

// routeHash returns a hash of the request id, by which requests are split over weighted services.
func (j *job) routeHash() uint64 { return xxhash.Sum64String(j.meta.RequestID) }

// needsModel reports whether the request is for a model runner.
func (j *job) needsModel() bool { return j.service.Engine != nil && j.meta.Model != "" }

// bufferResponse reports whether the response is read completely before it is written to the caller.
func (j *job) bufferResponse() bool { return j.route.Kind != fleet.Streaming }

// workspaceName returns the name of the caller's workspace; empty if callers need no key.
func (j *job) workspaceName() string {
	if j.workspace == nil {
		return ""
	}
	return j.workspace.Name
}

// maxRank is the least urgent rank that servers know.
const maxRank = 9

// rank returns the rank of the request at a backend server, 0 first: that of the caller's workspace, otherwise that of the
// route; negative, for the server's default, if the configuration has no workspaces that compete.
func (j *job) rank() int {
	if !j.keyed {
		return -1
	}
	if j.workspace != nil && j.workspace.Priority != nil {
		return min(max(*j.workspace.Priority, 0), maxRank)
	}
	return min(max(j.route.Priority, 0), maxRank)
}
