package stream

import (
	"context"
	"math"
	"sync"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/platform"
)

const (
	// peerPage is the number of records per call to a peer.
	peerPage = 500
	// peersPerRound is the number of peers asked per round while the log is out.
	peersPerRound = 2
	// askAtOnce bounds the calls in flight when a starting process asks all peers.
	askAtOnce = 32
)

// pollRelays reads from the relays of the own failure domain. It returns false when the log must be read directly:
// the process is a relay itself or no relay gave fresh data for StaleAfter.
func (f *Follower) pollRelays(ctx context.Context) bool {
	relays := Relays(f.cfg.Stream, f.cfg.FailureDomain, f.cfg.Hosts())
	if len(relays) == 0 {
		return false
	}
	for _, r := range relays {
		if r.Name == f.cfg.Self {
			return false
		}
	}
	for _, r := range relays {
		if f.readRelay(ctx, r.Address) {
			f.relayAt = f.cfg.Now()
			f.noteRelays(false)
			return true
		}
	}
	stale := f.cfg.Now().Sub(f.relayAt) >= f.cfg.StaleAfter
	f.noteRelays(stale)
	return !stale
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

// readRelay reads one relay up to its end and reports whether its data is fresh.
func (f *Follower) readRelay(ctx context.Context, address string) bool {
	res, err := f.readPeer(ctx, address)
	if err != nil || res.AgeMillis < 0 {
		return false
	}
	age := time.Duration(res.AgeMillis) * time.Millisecond
	if age > f.cfg.StaleAfter+f.cfg.PollInterval || f.Offset()+1 > res.Next {
		return false
	}
	if f.Offset()+1 == res.Next {
		f.fresh(f.cfg.Now().Add(-age))
	}
	return true
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
	host platform.Host
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

func (f *Follower) largest(ends []peerEnd) (platform.Host, uint64) {
	var best peerEnd
	for _, e := range ends {
		if e.next > best.next {
			best = e
		}
	}
	return best.host, best.next
}

func (f *Follower) peers() []platform.Host {
	var out []platform.Host
	for _, h := range f.cfg.Hosts() {
		if h.Name != f.cfg.Self && h.Address != "" {
			out = append(out, h)
		}
	}
	return out
}
