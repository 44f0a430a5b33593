package gateway

import "sync"

const (
	// maxServiceLabels bounds the services that metrics name, since configurations may bring any number of names; the
	// others are counted together.
	maxServiceLabels = 32
	otherServices    = "other"
)

// labelNames bounds the values of a label: the first names that come keep theirs. It is safe for concurrent use.
type labelNames struct {
	mu    sync.Mutex
	known map[string]bool
}

func (l *labelNames) name(of string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known == nil {
		l.known = map[string]bool{}
	}
	if !l.known[of] && len(l.known) >= maxServiceLabels {
		return otherServices
	}
	l.known[of] = true
	return of
}
