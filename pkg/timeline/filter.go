package timeline

import "trefoilferry.example/ferry/api/ferrypb"

// Filter selects events; empty fields match everything.
type Filter struct {
	RequestID string
	Object    string
	// Host matches the process that recorded the event or the host that the event concerns.
	Host string
}

// Match reports whether the event passes the filter.
func (f Filter) Match(e *ferrypb.TimelineEvent) bool {
	if f.RequestID != "" && f.RequestID != e.RequestId {
		return false
	}
	if f.Object != "" && f.Object != e.Object {
		return false
	}
	return f.Host == "" || f.Host == e.Host || f.Host == e.Process
}
