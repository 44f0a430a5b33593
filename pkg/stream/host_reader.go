package stream

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/infra"
)

const (
	// hostsStale is the age at which a host that is no root reads the platform's list itself. A root reads every second
	// and an answer waits for at most another, so that a working tree stays below it, and a leaving host is
	// known within 3 s without one.
	hostsStale = 2500 * time.Millisecond
	// hostsRenewal is the longest time between two publications of a current list.
	hostsRenewal = 5 * time.Second
	// hostsReadTimeout bounds one read.
	hostsReadTimeout = 3 * time.Second
)

// HostReader keeps a HostCache up to date and publishes its list. One goroutine calls Poll.
type HostReader struct {
	List  infra.HostList
	Cache *HostCache
	// Root reports whether this process reads the list for others.
	Root func() bool
	// Interval is the time between two reads of a root.
	Interval time.Duration
	Now      func() time.Time
	// Publish receives a changed list at once and a current one every few seconds.
	Publish func([]infra.Host)

	tried       time.Time
	published   uint64
	publishedAt time.Time
}

// Poll reads the platform's list if it is due and publishes.
func (r *HostReader) Poll(ctx context.Context) {
	now := r.Now()
	if hostsDue(r.Root(), now.Sub(r.tried), r.Cache.Age(now), r.Interval) {
		r.tried = now
		r.read(ctx, now)
	}
	r.publish()
}

// hostsDue decides whether the platform's list is read now.
func hostsDue(root bool, sinceTry, age, interval time.Duration) bool {
	if root || age < 0 {
		return sinceTry >= interval
	}
	return age >= hostsStale && sinceTry >= hostsStale
}

func (r *HostReader) read(ctx context.Context, began time.Time) {
	ctx, cancel := context.WithTimeout(ctx, hostsReadTimeout)
	defer cancel()
	// The last list stays in force when the read fails.
	if hosts, err := r.List.Hosts(ctx); err == nil {
		r.Cache.Store(hosts, began)
	}
}

func (r *HostReader) publish() {
	now := r.Now()
	hash, age := r.Cache.Hash(), r.Cache.Age(now)
	renew := now.Sub(r.publishedAt) >= hostsRenewal && age < hostsRenewal
	if age < 0 || (hash == r.published && !renew) {
		return
	}
	r.published = hash
	r.publishedAt = now
	r.Publish(r.Cache.Hosts())
}
