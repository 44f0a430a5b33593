package fleet

import (
	"strconv"
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
	// Timeout bounds how long a caller waits for the response; 0 means no limit.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response has its full value to the caller.
	TargetLatency time.Duration
	// MaxPause is the longest pause between two events of a stream that still counts as on time.
	MaxPause time.Duration
	// MaxAttempts bounds the number of runners to which one request may be sent.
	MaxAttempts int
	// Priority ranks the route among all routes; 0 is the highest priority.
	Priority int
	// Resumable is set when streams may continue at another runner after the last delivered event.
	Resumable bool
	// Public is set when callers need no key although the configuration has workspaces.
	Public bool
}

// Retryable reports whether a request of the route may be retried after an attempt with an unknown outcome.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// matches reports whether the route covers host and path.
func (r *Route) matches(host, path string) bool {
	return strings.EqualFold(r.VirtualHost, host) && strings.HasPrefix(path, r.PathPrefix)
}

// maxTargetWeight bounds a weight, so that the sum over all targets does not overflow.
const maxTargetWeight = 1 << 40

// weightErrors returns why requests of the route cannot be spread over its targets.
func (r *Route) weightErrors() []string {
	total := 0
	for _, t := range r.Targets {
		if t.Weight < 0 || t.Weight > maxTargetWeight {
			return []string{"route " + r.Name + " gives service " + t.Service + " a weight that is not from 0 to " + strconv.Itoa(maxTargetWeight)}
		}
		total = min(total+t.Weight, maxTargetWeight)
	}
	if total == 0 && len(r.Targets) > 0 {
		return []string{"route " + r.Name + " gives no service a weight"}
	}
	return nil
}

// Service returns the service for a request; hash spreads the requests over the targets by weight. It is empty when
// the route has no target of positive weight.
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
