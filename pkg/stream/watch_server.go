package stream

import (
	"context"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// maxWait bounds the time for which a call is held.
const maxWait = 5 * time.Second

// WatchServer answers Peer.Watch from memory.
type WatchServer struct {
	Followers map[string]*Follower
	Hosts     *HostCache
	// Changes is notified when a stream or the host list has something new.
	Changes *Signal
	// Renewals is notified when a parent has confirmed the state.
	Renewals *Signal
	Now      func() time.Time
}

// Watch holds the call until there is something new or the wait is over. After half of the wait it also answers as soon
// as a parent has confirmed the own state: the age of the data then does not add up along the tree.
func (s *WatchServer) Watch(ctx context.Context, req *ferrypb.WatchRequest) *ferrypb.WatchResponse {
	wait := min(maxWait, time.Duration(req.WaitMillis)*time.Millisecond)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	began := s.Now()
	for {
		changed, renewed := s.Changes.C(), s.Renewals.C()
		if wait == 0 || s.news(req) {
			return s.answer(req)
		}
		select {
		case <-ctx.Done():
			return s.answer(req)
		case <-timer.C:
			return s.answer(req)
		case <-changed:
		case <-renewed:
			if s.Now().Sub(began) >= wait/2 {
				return s.answer(req)
			}
		}
	}
}

func (s *WatchServer) news(req *ferrypb.WatchRequest) bool {
	for _, c := range req.Streams {
		if f, ok := s.Followers[c.Stream]; ok && f.Offset() >= c.From {
			return true
		}
	}
	return req.Hosts && req.HostsHash != s.Hosts.Hash()
}

func (s *WatchServer) answer(req *ferrypb.WatchRequest) *ferrypb.WatchResponse {
	out := &ferrypb.WatchResponse{}
	for _, c := range req.Streams {
		if f, ok := s.Followers[c.Stream]; ok {
			answer := f.ReadStream(&ferrypb.ReadStreamRequest{Stream: c.Stream, From: c.From})
			out.Streams = append(out.Streams, &ferrypb.StreamUpdate{Stream: c.Stream, Answer: answer})
		}
	}
	if req.Hosts {
		out.Hosts = s.Hosts.update(req.HostsHash, s.Now())
	}
	return out
}
