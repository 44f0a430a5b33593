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

// memPeers serves followers by address.
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
	s := WatchServer{Followers: map[string]*Follower{testStream: f}, Hosts: &HostCache{}, Changes: &Signal{}, Renewals: &Signal{}, Now: f.cfg.Now}
	return s.Watch(ctx, req), nil
}

type testClock func() time.Time

func (c testClock) Now() time.Time                         { return c() }
func (c testClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

func testWatcher(self string, list []infra.Host, peers memPeers, f *Follower, now func() time.Time) *Watcher {
	cache := &HostCache{}
	cache.Store(list, now())
	return NewWatcher(WatcherConfig{Self: self, FailureDomain: "d", Peers: peers, Followers: map[string]*Follower{testStream: f},
		Hosts: cache, Renewals: &Signal{}, Clock: testClock(now), ConfigOffset: zeroLamport, Lamport: zeroLamport, Updated: func() {}})
}

func hosts(n int) func() []infra.Host {
	var list []infra.Host
	for i := range n {
		name := fmt.Sprintf("h%d", i)
		list = append(list, infra.Host{Name: name, Address: name, FailureDomain: "d", State: infra.HostLive})
	}
	return func() []infra.Host { return list }
}

func fill(t *testing.T, log *memlog.Log, from, to int) []string {
	t.Helper()
	w := testWriter(log, fmt.Sprintf("w%d", from))
	var ids []string
	for i := from; i <= to; i++ {
		ids = append(ids, fmt.Sprint(i))
		mustAppend(t, w, changeSet(fmt.Sprint(i)))
	}
	return ids
}

// Guards against a record of other software, or garbage, that stops the follower or changes the state.
func TestFollowerPassesOverRecordsItCannotRead(t *testing.T) {
	log := memlog.New()
	ctx := context.Background()
	_, _ = log.Append(ctx, testStream, []byte{0xff, 0xff})
	_, _ = log.Append(ctx, testStream, encoded(t, &ferrypb.Envelope{Format: 9, Payload: changeSet("future").Payload}))
	mustAppend(t, testWriter(log, "a"), changeSet("x"))
	fold := &listFold{}
	f := NewFollower(FollowerConfig{Stream: testStream, Fold: fold, Log: log})
	mustPoll(t, f)
	if !slices.Equal(fold.ids, []string{"x"}) || fold.offset != 3 {
		t.Fatalf("ids %v at %d", fold.ids, fold.offset)
	}
	refused := f.Refused()
	if refused[ReasonUndecodable] != 1 || refused[ReasonFormat] != 1 {
		t.Fatalf("refused %v", refused)
	}
}

// Guards against a reader that starts from a checkpoint behind which records are missing.
func TestFollowerUsesOnlyACheckpointWithoutGap(t *testing.T) {
	log := memlog.New()
	fill(t, log, 1, 4)
	writer := NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Log: log})
	mustPoll(t, writer)
	early := writer.Checkpoint()
	fill(t, log, 5, 8)
	mustPoll(t, writer)
	late := writer.Checkpoint()
	w := testWriter(log, "cp")
	mustAppend(t, w, checkpointRecord(late))
	mustAppend(t, w, checkpointRecord(early))
	want := fill(t, log, 9, 10)

	log.Expire(testStream, 7)
	fold := &listFold{}
	mustPoll(t, NewFollower(FollowerConfig{Stream: testStream, Fold: fold, Log: log}))
	if len(fold.ids) != 10 || !slices.Equal(fold.ids[8:], want) {
		t.Fatalf("ids %v", fold.ids)
	}

	log.Expire(testStream, 10)
	f := NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Log: log})
	if _, err := f.Poll(context.Background()); !failure.HasCode(err, failure.OffsetExpired) || f.CaughtUp() || f.Offset() > 0 {
		t.Fatalf("started from a checkpoint with a gap: offset %d, %v", f.Offset(), err)
	}
}

// Guards against a process that cannot start, or takes the older of two peers, while the log is out.
func TestFollowerStartsFromPeersWhenTheLogIsOut(t *testing.T) {
	log := memlog.New()
	fill(t, log, 1, 50)
	peers := memPeers{}
	config := func(fold Fold) FollowerConfig {
		return FollowerConfig{Stream: testStream, Fold: fold, Log: log, Peers: peers, Hosts: hosts(3), KeepRecords: 8}
	}
	behind, ahead := NewFollower(config(&listFold{})), NewFollower(config(&listFold{}))
	mustPoll(t, behind)
	fill(t, log, 51, 60)
	mustPoll(t, ahead)
	peers["h0"], peers["h1"] = behind, ahead
	log.SetDown(true)
	fold := &listFold{}
	f := NewFollower(config(fold))
	mustPoll(t, f)
	if len(fold.ids) != 60 || !f.CaughtUp() || f.ReachedLogEnd() {
		t.Fatalf("%d ids, caught up %v, log end %v", len(fold.ids), f.CaughtUp(), f.ReachedLogEnd())
	}
	if !slices.Equal(fold.ids, ahead.cfg.Fold.(*listFold).ids) {
		t.Fatalf("state differs from the peer's")
	}
}

// Guards against stale configuration behind relays that have stopped reading, and against load on the log
// while they work.
func TestFollowerLeavesASilentRelay(t *testing.T) {
	log := memlog.New()
	now := testNow()
	clock := func() time.Time { return now }
	list := hosts(5)
	self := ""
	for _, h := range list() {
		if !PlaceOf(h.Name, "d", list()).Root {
			self = h.Name
		}
	}
	parents := PlaceOf(self, "d", list()).Parents
	peers := memPeers{}
	for _, p := range parents {
		peers[p.Address] = NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Log: log, Now: clock})
	}
	counting := &countingLog{Log: log}
	fold := &listFold{}
	var w *Watcher
	f := NewFollower(FollowerConfig{Stream: testStream, Fold: fold, Log: counting, Peers: peers, Hosts: list,
		Self: self, Root: func() bool { return w.Root() }, Now: clock})
	w = testWatcher(self, list(), peers, f, clock)
	mustPoll(t, f)
	reads := counting.reads
	fill(t, log, 1, 3)
	mustPoll(t, peers[parents[0].Address])
	now = now.Add(DefaultPollInterval)
	if !w.Round(context.Background(), 0) {
		t.Fatal("a fresh parent counts as stale")
	}
	mustPoll(t, f)
	if len(fold.ids) != 3 || counting.reads != reads {
		t.Fatalf("%d ids, %d reads of the log", len(fold.ids), counting.reads-reads)
	}
	fill(t, log, 4, 5)
	now = now.Add(DefaultStaleAfter + WatchWait)
	if w.Round(context.Background(), 0) {
		t.Fatal("a stale parent counts as fresh")
	}
	mustPoll(t, f)
	if len(fold.ids) != 5 {
		t.Fatalf("%d ids behind stale relays", len(fold.ids))
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
