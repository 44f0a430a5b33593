package stream

import (
	"context"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// maxWatchWait is the longest time for which a call waits for an update.
const maxWatchWait = 5 * time.Second

// WatchServer responds to Peer.Watch long polls from memory.
type WatchServer struct {
	Followers map[string]*Follower
	Hosts     *HostCache
	// Changes is notified when a stream or the host list has changed.
	Changes *Signal
	// Confirmed is notified when a parent has confirmed that the state is current.
	Confirmed *Signal
	Now       func() time.Time
}

// Watch waits until there is an update or the requested wait has elapsed. In the second half of the wait it
// also returns as soon as a parent has confirmed the local state, so that the age of the data does not add up along
// the levels of the tree.
func (s *WatchServer) Watch(ctx context.Context, req *ferrypb.WatchRequest) *ferrypb.WatchResponse {
	wait := min(maxWatchWait, time.Duration(req.WaitMillis)*time.Millisecond)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	began := s.Now()
	for {
		changed, confirmed := s.Changes.C(), s.Confirmed.C()
		if wait == 0 || s.hasUpdate(req) {
			return s.response(req)
		}
		select {
		case <-ctx.Done():
			return s.response(req)
		case <-timer.C:
			return s.response(req)
		case <-changed:
		case <-confirmed:
			if s.Now().Sub(began) >= wait/2 {
				return s.response(req)
			}
		}
	}
}

func (s *WatchServer) hasUpdate(req *ferrypb.WatchRequest) bool {
	for _, c := range req.Streams {
		if f, ok := s.Followers[c.Stream]; ok && f.Offset() >= c.From {
			return true
		}
	}
	return req.Hosts && req.HostsHash != s.Hosts.Hash()
}

func (s *WatchServer) response(req *ferrypb.WatchRequest) *ferrypb.WatchResponse {
	out := &ferrypb.WatchResponse{}
	for _, c := range req.Streams {
		if f, ok := s.Followers[c.Stream]; ok {
			res := f.ReadStream(&ferrypb.ReadStreamRequest{Stream: c.Stream, From: c.From})
			out.Streams = append(out.Streams, &ferrypb.StreamUpdate{Stream: c.Stream, Answer: res})
		}
	}
	if req.Hosts {
		out.Hosts = s.Hosts.updateSince(req.HostsHash, s.Now())
	}
	return out
}
