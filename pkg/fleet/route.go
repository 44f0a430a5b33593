package fleet

import (
	"strings"
	"time"
)

// Route selects the service of a request by virtual host and path.
type Route struct {
	Name string
	// VirtualHost is the name in the Host header of requests.
	VirtualHost string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Targets    []Target
	Kind       Kind
	// Timeout is the longest time that a caller may be kept waiting; 0 for none.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value.
	TargetLatency time.Duration
	// MaxPause is the longest pause between events of a stream that is still on time.
	MaxPause time.Duration
	// MaxAttempts bounds the runners to which one request may be sent.
	MaxAttempts int
	// Priority is the rank among routes; 0 is the highest.
	Priority int
	// Resumable streams may continue at another runner after the last delivered event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run again after an attempt with an unknown outcome.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// matches reports whether the route covers host and path.
func (r *Route) matches(host, path string) bool {
	return strings.EqualFold(r.VirtualHost, host) && strings.HasPrefix(path, r.PathPrefix)
}

// Service returns the service of a request; hash spreads the requests over weighted targets.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(hash % uint64(total))
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return ""
}
