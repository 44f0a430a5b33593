package stream

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/infra/memlog"
)

func testNow() time.Time { return time.Unix(1000, 0) }

func zeroLamport() uint64 { return 0 }

// memPeers maps addresses to followers that serve as peers.
type memPeers map[string]*Follower

func (m memPeers) ReadStream(_ context.Context, address string, req *ferrypb.ReadStreamRequest) (*ferrypb.ReadStreamResponse, error) {
	f, ok := m[address]
	if !ok {
		return nil, failure.New(failure.PeerUnavailable, failure.NotRun, "no such peer")
	}
	return f.ReadStream(req), nil
}

func (m memPeers) Watch(ctx context.Context, address string, req *ferrypb.WatchRequest) (*ferrypb.WatchResponse, error) {
	f, ok := m[address]
	if !ok {
		return nil, failure.New(failure.PeerUnavailable, failure.NotRun, "no such peer")
	}
	s := WatchServer{Followers: map[string]*Follower{testStream: f}, Hosts: &HostCache{}, Changes: &Signal{}, Confirmed: &Signal{}, Now: f.cfg.Now}
	return s.Watch(ctx, req), nil
}

type testClock func() time.Time

func (c testClock) Now() time.Time                         { return c() }
func (c testClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

func testWatcher(self string, list []infra.Host, peers memPeers, f *Follower, now func() time.Time) *Watcher {
	cache := &HostCache{}
	cache.Store(list, now())
	return NewWatcher(WatcherConfig{Self: self, FailureDomain: "d", Peers: peers, Followers: map[string]*Follower{testStream: f},
		Hosts: cache, Confirmed: &Signal{}, Clock: testClock(now), ConfigOffset: zeroLamport, Lamport: zeroLamport, OnUpdate: func() {}})
}

func hosts(n int) func() []infra.Host {
	var list []infra.Host
	for i := range n {
		name := fmt.Sprintf("h%d", i)
		list = append(list, infra.Host{Name: name, Address: name, FailureDomain: "d", State: infra.HostLive})
	}
	return func() []infra.Host { return list }
}

func appendChangeSets(t *testing.T, log *memlog.Log, from, to int) []string {
	t.Helper()
	w := testWriter(log, fmt.Sprintf("w%d", from))
	var ids []string
	for i := from; i <= to; i++ {
		ids = append(ids, fmt.Sprint(i))
		mustAppend(t, w, changeSet(fmt.Sprint(i)))
	}
	return ids
}

// Guards against a record from other software, or garbage, that stops the follower or changes the state.
func TestFollowerPassesOverRecordsItCannotRead(t *testing.T) {
	log := memlog.New()
	ctx := context.Background()
	_, _ = log.Append(ctx, testStream, []byte{0xff, 0xff})
	_, _ = log.Append(ctx, testStream, mustEncode(t, &ferrypb.Envelope{Format: 9, Payload: changeSet("future").Payload}))
	mustAppend(t, testWriter(log, "a"), changeSet("x"))
	fold := &listFold{}
	f := NewFollower(FollowerConfig{Stream: testStream, Fold: fold, Log: log})
	mustPoll(t, f)
	if !slices.Equal(fold.changeSetIDs, []string{"x"}) || fold.offset != 3 {
		t.Fatalf("applied change sets %v at offset %d, want [x] at 3", fold.changeSetIDs, fold.offset)
	}
	refused := f.Refused()
	if refused[ReasonUndecodable] != 1 || refused[ReasonFormat] != 1 {
		t.Fatalf("refused records by reason: %v, want one %s and one %s", refused, ReasonUndecodable, ReasonFormat)
	}
}

// Guards against a start from a checkpoint when records after the covered offset are missing.
func TestFollowerUsesOnlyACheckpointWithoutGap(t *testing.T) {
	log := memlog.New()
	appendChangeSets(t, log, 1, 4)
	writer := NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Log: log})
	mustPoll(t, writer)
	early := writer.Checkpoint()
	appendChangeSets(t, log, 5, 8)
	mustPoll(t, writer)
	late := writer.Checkpoint()
	w := testWriter(log, "cp")
	mustAppend(t, w, checkpointRecord(late))
	mustAppend(t, w, checkpointRecord(early))
	want := appendChangeSets(t, log, 9, 10)

	log.ExpireBefore(testStream, 7)
	fold := &listFold{}
	mustPoll(t, NewFollower(FollowerConfig{Stream: testStream, Fold: fold, Log: log}))
	if len(fold.changeSetIDs) != 10 || !slices.Equal(fold.changeSetIDs[8:], want) {
		t.Fatalf("applied change sets %v, want 10 ending in %v", fold.changeSetIDs, want)
	}

	log.ExpireBefore(testStream, 10)
	f := NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Log: log})
	if _, err := f.Poll(context.Background()); !failure.HasCode(err, failure.OffsetExpired) || f.CaughtUp() || f.Offset() > 0 {
		t.Fatalf("start from a checkpoint with a gap: offset %d, error %v; want offset 0 and OffsetExpired", f.Offset(), err)
	}
}

// Guards against a process that cannot start while the log is unavailable, or that starts from the older of two
// peers.
func TestFollowerStartsFromPeersWhenTheLogIsOut(t *testing.T) {
	log := memlog.New()
	appendChangeSets(t, log, 1, 50)
	peers := memPeers{}
	config := func(fold Fold) FollowerConfig {
		return FollowerConfig{Stream: testStream, Fold: fold, Log: log, Peers: peers, Hosts: hosts(3), TailRecords: 8}
	}
	behind, ahead := NewFollower(config(&listFold{})), NewFollower(config(&listFold{}))
	mustPoll(t, behind)
	appendChangeSets(t, log, 51, 60)
	mustPoll(t, ahead)
	peers["h0"], peers["h1"] = behind, ahead
	log.SetDown(true)
	fold := &listFold{}
	f := NewFollower(config(fold))
	mustPoll(t, f)
	if len(fold.changeSetIDs) != 60 || !f.CaughtUp() || f.ReachedLogEnd() {
		t.Fatalf("%d change sets applied, caught up %v, log end reached %v; want 60, true, false", len(fold.changeSetIDs), f.CaughtUp(), f.ReachedLogEnd())
	}
	if !slices.Equal(fold.changeSetIDs, ahead.cfg.Fold.(*listFold).changeSetIDs) {
		t.Fatalf("change sets %v differ from the peer's", fold.changeSetIDs)
	}
}

// Guards against stale configuration behind relays that have stopped reading, and against reads of the log while the
// relays work.
func TestFollowerLeavesASilentRelay(t *testing.T) {
	log := memlog.New()
	now := testNow()
	clock := func() time.Time { return now }
	list := hosts(5)
	self := ""
	for _, h := range list() {
		if !TreePositionOf(h.Name, "d", list()).IsRoot {
			self = h.Name
		}
	}
	parents := TreePositionOf(self, "d", list()).Parents
	peers := memPeers{}
	for _, p := range parents {
		peers[p.Address] = NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Log: log, Now: clock})
	}
	counting := &countingLog{Log: log}
	fold := &listFold{}
	var w *Watcher
	f := NewFollower(FollowerConfig{Stream: testStream, Fold: fold, Log: counting, Peers: peers, Hosts: list,
		Self: self, IsRoot: func() bool { return w.IsRoot() }, Now: clock})
	w = testWatcher(self, list(), peers, f, clock)
	mustPoll(t, f)
	reads := counting.reads
	appendChangeSets(t, log, 1, 3)
	mustPoll(t, peers[parents[0].Address])
	now = now.Add(DefaultPollInterval)
	if !w.WatchOnce(context.Background(), 0) {
		t.Fatal("WatchOnce with a fresh parent returned false")
	}
	mustPoll(t, f)
	if len(fold.changeSetIDs) != 3 || counting.reads != reads {
		t.Fatalf("%d change sets applied and %d reads of the log, want 3 and 0", len(fold.changeSetIDs), counting.reads-reads)
	}
	appendChangeSets(t, log, 4, 5)
	now = now.Add(DefaultStaleAfter + WatchWait)
	if w.WatchOnce(context.Background(), 0) {
		t.Fatal("WatchOnce with a stale parent returned true")
	}
	mustPoll(t, f)
	if len(fold.changeSetIDs) != 5 {
		t.Fatalf("%d change sets applied behind stale relays, want 5", len(fold.changeSetIDs))
	}
}

type countingLog struct {
	infra.Log
	reads int
}

func (c *countingLog) Read(ctx context.Context, stream string, from uint64, limit int) (infra.Batch, error) {
	c.reads++
	return c.Log.Read(ctx, stream, from, limit)
}
