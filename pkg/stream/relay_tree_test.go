package stream

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// Guards against loops in the tree, hosts without two parents, and more children per host than the control budget
// allows.
func TestTreePositionOf(t *testing.T) {
	for _, n := range []int{1, 2, 3, 20, 21, 159, 400} {
		list := hosts(n)()
		children := map[string]int{}
		for i, h := range ranked("h0", "d", list) {
			position := TreePositionOf(h.Name, "d", list)
			if position.IsRoot != (i < rootsPerDomain) {
				t.Fatalf("%d hosts: root flag of rank %d is %v, want %v", n, i, position.IsRoot, i < rootsPerDomain)
			}
			if position.IsRoot {
				continue
			}
			a, b := position.Parents[0].Name, position.Parents[1].Name
			for _, parent := range ranked("h0", "d", list)[i:] {
				if a == b || parent.Name == a || parent.Name == b {
					t.Fatalf("%d hosts: rank %d has parents %s and %s, want two different hosts of lower rank", n, i, a, b)
				}
			}
			children[a]++
		}
		for name, count := range children {
			if count > fanOut {
				t.Errorf("%d hosts: %s has %d children, want at most %d", n, name, count, fanOut)
			}
		}
	}
}

// Guards against processes that read from each other and count each other's responses as contact with the log.
func TestLoopsDoNotStayFresh(t *testing.T) {
	now := testNow()
	clock := func() time.Time { return now }
	followers := memPeers{}
	for _, name := range []string{"a", "b"} {
		followers[name] = NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Now: clock, IsRoot: func() bool { return false }})
		followers[name].markFresh(now)
	}
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		for reader, parent := range map[string]string{"a": "b", "b": "a"} {
			answer := followers[parent].ReadStream(&ferrypb.ReadStreamRequest{Stream: testStream, From: followers[reader].Offset() + 1})
			followers[reader].applyResponse(answer)
		}
	}
	if followers["a"].relayFresh() || followers["b"].relayFresh() {
		t.Fatal("a follower without contact with the log for 5 s counts as fresh")
	}
}

// Guards against an idle child that calls more than once per wait, and against updates that are delivered only at the
// end of the wait.
func TestWatchHoldsTheCall(t *testing.T) {
	changes := &Signal{}
	f := NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Changes: changes})
	s := &WatchServer{Followers: map[string]*Follower{testStream: f}, Hosts: &HostCache{Changes: changes}, Changes: changes,
		Confirmed: &Signal{}, Now: time.Now}
	req := watchRequest(200)
	began := time.Now()
	s.Watch(context.Background(), req)
	if took := time.Since(began); took < 200*time.Millisecond {
		t.Fatalf("an idle call took %v, want at least 200ms", took)
	}
	go func() {
		time.Sleep(20 * time.Millisecond)
		f.applyPeerRecords([]*ferrypb.StoredRecord{{Offset: 1, Envelope: changeSet("x")}})
	}()
	req = watchRequest(5000)
	began = time.Now()
	res := s.Watch(context.Background(), req)
	if took := time.Since(began); took > time.Second || len(res.Streams[0].Answer.Records) != 1 {
		t.Fatalf("update with %d records after %v, want 1 record within 1s", len(res.Streams[0].Answer.Records), took)
	}
}

func watchRequest(millis uint32) *ferrypb.WatchRequest {
	return &ferrypb.WatchRequest{WaitMillis: millis, Streams: []*ferrypb.StreamCursor{{Stream: testStream, From: 1}}}
}
