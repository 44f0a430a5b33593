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
	// peerPage is the number of records per call to a peer.
	peerPage = 500
	// peersPerRound is the number of peers asked per round while the log is out.
	peersPerRound = 2
	// askAtOnce bounds the calls in flight when a starting process asks all peers.
	askAtOnce = 32
	// expectWait is the time that the relay tree has to bring a record that another process has seen; it takes
	// milliseconds per level.
	expectWait = 500 * time.Millisecond
)

// relayed reports whether the relay tree keeps the state fresh, so that the log need not be read. The age counts from the
// last contact with the log, so that processes that read from each other cannot keep each other fresh.
func (f *Follower) relayed() bool {
	if f.cfg.Root() {
		return false
	}
	now := f.cfg.Now()
	age := f.Age(now)
	stale := age < 0 || age >= f.cfg.StaleAfter+WatchWait
	f.noteRelays(stale)
	return !stale && !f.overdue(now)
}

func (f *Follower) noteRelays(stale bool) {
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

// Expect tells that another process has seen an offset. If the tree does not bring it within expectWait, the next Poll
// reads the log.
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

// overdue reports whether an expected record has not arrived in time. Each expectation causes one read of the log.
func (f *Follower) overdue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.expected <= f.cfg.Fold.Offset() || f.expectedAt.IsZero() || now.Sub(f.expectedAt) < expectWait {
		return false
	}
	f.expectedAt = time.Time{}
	return true
}

// takeAnswer applies a parent's answer and reports whether the parent's data is fresh.
func (f *Follower) takeAnswer(res *ferrypb.ReadStreamResponse) bool {
	f.restore(res.Checkpoint)
	f.applyStored(res.Records)
	if res.AgeMillis < 0 || f.Offset()+1 > res.Next {
		return false
	}
	age := time.Duration(res.AgeMillis) * time.Millisecond
	if f.Offset()+1 == res.Next {
		f.fresh(f.cfg.Now().Add(-age))
	}
	return age <= f.cfg.StaleAfter+2*f.cfg.PollInterval
}

// readPeer reads a peer up to its end, one page per call, and returns the last answer.
func (f *Follower) readPeer(ctx context.Context, address string) (*ferrypb.ReadStreamResponse, error) {
	for {
		before := f.Offset()
		res, err := f.ask(ctx, address, before+1, peerPage)
		if err != nil {
			return nil, err
		}
		f.restore(res.Checkpoint)
		f.applyStored(res.Records)
		if after := f.Offset(); after == before || after+1 >= res.Next {
			return res, nil
		}
	}
}

func (f *Follower) ask(ctx context.Context, address string, from uint64, limit uint32) (*ferrypb.ReadStreamResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.PeerTimeout)
	defer cancel()
	return f.cfg.Peers.ReadStream(ctx, address, &ferrypb.ReadStreamRequest{
		Stream: f.cfg.Stream, From: from, Max: limit,
		ConfigOffset: f.cfg.ConfigOffset(), Lamport: f.cfg.Lamport(),
	})
}

// pollSomePeers asks a few peers in turn while the log is out.
func (f *Follower) pollSomePeers(ctx context.Context, cause error) error {
	peers := f.peers()
	answered := false
	for range min(peersPerRound, len(peers)) {
		peer := peers[f.nextPeer%len(peers)]
		f.nextPeer++
		res, err := f.readPeer(ctx, peer.Address)
		if err != nil {
			continue
		}
		answered = true
		f.freshFromPeer(res)
	}
	if answered && !failure.HasCode(cause, failure.OffsetExpired) {
		return nil
	}
	return unavailable(cause)
}

// freshFromPeer takes over the age of a peer that has the same offset.
func (f *Follower) freshFromPeer(res *ferrypb.ReadStreamResponse) {
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

// pollAllPeers asks every peer for its offset and reads the one with the largest.
func (f *Follower) pollAllPeers(ctx context.Context, cause error) error {
	best, next := f.largest(f.askAll(ctx))
	if next == 0 {
		return unavailable(cause)
	}
	if f.Offset()+1 < next {
		res, err := f.readPeer(ctx, best.Address)
		if err != nil {
			return unavailable(err)
		}
		f.freshFromPeer(res)
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

func (f *Follower) askAll(ctx context.Context) []peerEnd {
	peers := f.peers()
	ends := make([]peerEnd, len(peers))
	slots := make(chan struct{}, askAtOnce)
	var wait sync.WaitGroup
	for i, peer := range peers {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			// An offset beyond the end is answered with the end alone, without a checkpoint.
			res, err := f.ask(ctx, peer.Address, math.MaxUint64, 1)
			if err == nil {
				ends[i] = peerEnd{host: peer, next: res.Next}
			}
		})
	}
	wait.Wait()
	return ends
}

func (f *Follower) largest(ends []peerEnd) (infra.Host, uint64) {
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
