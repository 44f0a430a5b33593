package stream

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/infra"
)

const (
	// hostsStaleAfter is the age of the list from which a host that is not a root reads the platform's list itself. A
	// root reads every second and a parent delays its response for at most another second, so the age stays below this
	// value while the relay tree works. Without it, a leaving host is still known within 3 s.
	hostsStaleAfter = 2500 * time.Millisecond
	// hostsPublishInterval is the longest time between two publications of an unchanged list.
	hostsPublishInterval = 5 * time.Second
	// hostsReadTimeout is the timeout of one read.
	hostsReadTimeout = 3 * time.Second
)

// HostReader keeps a HostCache current and publishes its list. One goroutine calls Poll.
type HostReader struct {
	List  infra.HostList
	Cache *HostCache
	// IsRoot reports whether this process is a root of the relay tree and reads the list for others.
	IsRoot func() bool
	// Interval is the time between two reads of a root.
	Interval time.Duration
	Now      func() time.Time
	// Publish is called at once when the list has changed and every few seconds with an unchanged, current one.
	Publish func([]infra.Host)

	lastReadAt    time.Time
	publishedHash uint64
	publishedAt   time.Time
}

// Poll reads the platform's list if a read is due, and publishes the cached one if it changed or is due again.
func (r *HostReader) Poll(ctx context.Context) {
	now := r.Now()
	if hostsReadDue(r.IsRoot(), now.Sub(r.lastReadAt), r.Cache.Age(now), r.Interval) {
		r.lastReadAt = now
		r.read(ctx, now)
	}
	r.publish()
}

// hostsReadDue reports whether the platform's list should be read now. A negative age means that there is no list.
func hostsReadDue(root bool, sinceRead, age, interval time.Duration) bool {
	if root || age < 0 {
		return sinceRead >= interval
	}
	return age >= hostsStaleAfter && sinceRead >= hostsStaleAfter
}

func (r *HostReader) read(ctx context.Context, began time.Time) {
	ctx, cancel := context.WithTimeout(ctx, hostsReadTimeout)
	defer cancel()
	// If the read fails, the previous list stays in use.
	if hosts, err := r.List.Hosts(ctx); err == nil {
		r.Cache.Store(hosts, began)
	}
}

func (r *HostReader) publish() {
	now := r.Now()
	hash, age := r.Cache.Hash(), r.Cache.Age(now)
	republish := now.Sub(r.publishedAt) >= hostsPublishInterval && age < hostsPublishInterval
	if age < 0 || (hash == r.publishedHash && !republish) {
		return
	}
	r.publishedHash = hash
	r.publishedAt = now
	r.Publish(r.Cache.Hosts())
}
