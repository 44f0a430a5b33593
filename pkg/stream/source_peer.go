package stream

import (
	"context"
	"math"
	"sync"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

const (
	// peerPageRecords is the number of records per call to a peer.
	peerPageRecords = 500
	// peersPerPoll is the number of peers called per poll while the log is unavailable.
	peersPerPoll = 2
	// maxConcurrentPeerCalls limits the calls in flight when a starting process calls all peers.
	maxConcurrentPeerCalls = 32
	// expectTimeout is the time within which the relay tree should deliver a record that another process has
	// reported; delivery takes milliseconds per level.
	expectTimeout = 500 * time.Millisecond
)

// relayFresh reports whether the relay tree keeps the state fresh, so that the log need not be read. The age counts
// from the last contact with the log, so that processes reading from each other in a loop do not appear fresh.
func (f *Follower) relayFresh() bool {
	if f.cfg.IsRoot() {
		return false
	}
	now := f.cfg.Now()
	age := f.Age(now)
	stale := age < 0 || age >= f.cfg.StaleAfter+WatchWait
	f.updateRelayState(stale)
	return !stale && !f.expectationTimedOut(now)
}

func (f *Follower) updateRelayState(stale bool) {
	if stale == f.relaysStale {
		return
	}
	f.relaysStale = stale
	event := eventlog.RelaysFresh
	if stale {
		event = eventlog.RelaysStale
	}
	f.cfg.Logger.Log(event, "stream", f.cfg.Stream)
}

// Expect records that another process has seen offset. If the relay tree does not deliver it within expectTimeout,
// the next Poll reads the log.
func (f *Follower) Expect(offset uint64) {
	now := f.cfg.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset <= f.cfg.Fold.Offset() || offset <= f.expected {
		return
	}
	if f.expected <= f.cfg.Fold.Offset() {
		f.expectedAt = now
	}
	f.expected = offset
}

// expectationTimedOut reports whether an expected record was not delivered in time. It returns true once per
// expectation, which then causes one read of the log.
func (f *Follower) expectationTimedOut(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.expected <= f.cfg.Fold.Offset() || f.expectedAt.IsZero() || now.Sub(f.expectedAt) < expectTimeout {
		return false
	}
	f.expectedAt = time.Time{}
	return true
}

// applyResponse applies the response of a parent and reports whether the parent's data is fresh.
func (f *Follower) applyResponse(res *ferrypb.ReadStreamResponse) bool {
	f.restore(res.Checkpoint)
	f.applyPeerRecords(res.Records)
	if res.AgeMillis < 0 || f.Offset()+1 > res.Next {
		return false
	}
	age := time.Duration(res.AgeMillis) * time.Millisecond
	if f.Offset()+1 == res.Next {
		f.markFresh(f.cfg.Now().Add(-age))
	}
	return age <= f.cfg.StaleAfter+2*f.cfg.PollInterval
}

// readPeer reads a peer to its end, one page per call, and returns the last response.
func (f *Follower) readPeer(ctx context.Context, address string) (*ferrypb.ReadStreamResponse, error) {
	for {
		before := f.Offset()
		res, err := f.callPeer(ctx, address, before+1, peerPageRecords)
		if err != nil {
			return nil, err
		}
		f.restore(res.Checkpoint)
		f.applyPeerRecords(res.Records)
		if after := f.Offset(); after == before || after+1 >= res.Next {
			return res, nil
		}
	}
}

func (f *Follower) callPeer(ctx context.Context, address string, from uint64, limit uint32) (*ferrypb.ReadStreamResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.PeerTimeout)
	defer cancel()
	return f.cfg.Peers.ReadStream(ctx, address, &ferrypb.ReadStreamRequest{
		Stream: f.cfg.Stream, From: from, Max: limit,
		ConfigOffset: f.cfg.ConfigOffset(), Lamport: f.cfg.Lamport(),
	})
}

// pollSomePeers reads a few peers, round-robin over successive polls, while the log is unavailable.
func (f *Follower) pollSomePeers(ctx context.Context, cause error) error {
	peers := f.peers()
	answered := false
	for range min(peersPerPoll, len(peers)) {
		peer := peers[f.nextPeer%len(peers)]
		f.nextPeer++
		res, err := f.readPeer(ctx, peer.Address)
		if err != nil {
			continue
		}
		answered = true
		f.updateFreshness(res)
	}
	if answered && !failure.HasCode(cause, failure.OffsetExpired) {
		return nil
	}
	return noSourceError(cause)
}

// updateFreshness adopts the age of a peer that is at the same offset.
func (f *Follower) updateFreshness(res *ferrypb.ReadStreamResponse) {
	if res.AgeMillis < 0 || f.Offset()+1 != res.Next {
		return
	}
	age := time.Duration(res.AgeMillis) * time.Millisecond
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := f.cfg.Now().Add(-age); at.After(f.freshAt) {
		f.freshAt = at
	}
}

// pollAllPeers asks every peer for its offset and reads the peer with the largest one.
func (f *Follower) pollAllPeers(ctx context.Context, cause error) error {
	best, next := f.furthest(f.queryPeerEnds(ctx))
	if next == 0 {
		return noSourceError(cause)
	}
	if f.Offset()+1 < next {
		res, err := f.readPeer(ctx, best.Address)
		if err != nil {
			return noSourceError(err)
		}
		f.updateFreshness(res)
	}
	if f.Offset()+1 < next {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.caughtUp = true
	return nil
}

type peerEnd struct {
	host infra.Host
	next uint64
}

func (f *Follower) queryPeerEnds(ctx context.Context) []peerEnd {
	peers := f.peers()
	ends := make([]peerEnd, len(peers))
	slots := make(chan struct{}, maxConcurrentPeerCalls)
	var wait sync.WaitGroup
	for i, peer := range peers {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			// A request beyond the end returns only the end, without a checkpoint.
			res, err := f.callPeer(ctx, peer.Address, math.MaxUint64, 1)
			if err == nil {
				ends[i] = peerEnd{host: peer, next: res.Next}
			}
		})
	}
	wait.Wait()
	return ends
}

func (f *Follower) furthest(ends []peerEnd) (infra.Host, uint64) {
	var best peerEnd
	for _, e := range ends {
		if e.next > best.next {
			best = e
		}
	}
	return best.host, best.next
}

func (f *Follower) peers() []infra.Host {
	var out []infra.Host
	for _, h := range f.cfg.Hosts() {
		if h.Name != f.cfg.Self && h.Address != "" {
			out = append(out, h)
		}
	}
	return out
}
