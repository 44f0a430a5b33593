package stream

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// Guards against a tree with loops, a host without two parents, or more children than the control budget allows.
func TestPlaceOf(t *testing.T) {
	for _, n := range []int{1, 2, 3, 20, 21, 159, 400} {
		list := hosts(n)()
		children := map[string]int{}
		for i, h := range ranked("h0", "d", list) {
			place := PlaceOf(h.Name, "d", list)
			if place.Root != (i < roots) {
				t.Fatalf("%d hosts: rank %d is root: %v", n, i, place.Root)
			}
			if place.Root {
				continue
			}
			a, b := place.Parents[0].Name, place.Parents[1].Name
			for _, parent := range ranked("h0", "d", list)[i:] {
				if a == b || parent.Name == a || parent.Name == b {
					t.Fatalf("%d hosts: rank %d has parents %s and %s", n, i, a, b)
				}
			}
			children[a]++
		}
		for name, count := range children {
			if count > fanOut {
				t.Errorf("%d hosts: %s has %d children", n, name, count)
			}
		}
	}
}

// Guards against processes that read from each other and take each other's answers for contact with the log.
func TestLoopsDoNotStayFresh(t *testing.T) {
	now := testNow()
	clock := func() time.Time { return now }
	followers := memPeers{}
	for _, name := range []string{"a", "b"} {
		followers[name] = NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Now: clock, Root: func() bool { return false }})
		followers[name].fresh(now)
	}
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		for reader, parent := range map[string]string{"a": "b", "b": "a"} {
			answer := followers[parent].ReadStream(&ferrypb.ReadStreamRequest{Stream: testStream, From: followers[reader].Offset() + 1})
			followers[reader].takeAnswer(answer)
		}
	}
	if followers["a"].relayed() || followers["b"].relayed() {
		t.Fatal("processes without contact with the log count as fresh")
	}
}

// Guards against an idle child that asks more than once per wait, and against news that waits for its end.
func TestWatchHoldsTheCall(t *testing.T) {
	changes := &Signal{}
	f := NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Changes: changes})
	s := &WatchServer{Followers: map[string]*Follower{testStream: f}, Hosts: &HostCache{Changes: changes}, Changes: changes,
		Renewals: &Signal{}, Now: time.Now}
	req := watchRequest(200)
	began := time.Now()
	s.Watch(context.Background(), req)
	if took := time.Since(began); took < 200*time.Millisecond {
		t.Fatalf("an idle call took %v", took)
	}
	go func() {
		time.Sleep(20 * time.Millisecond)
		f.applyStored([]*ferrypb.StoredRecord{{Offset: 1, Envelope: changeSet("x")}})
	}()
	req = watchRequest(5000)
	began = time.Now()
	res := s.Watch(context.Background(), req)
	if took := time.Since(began); took > time.Second || len(res.Streams[0].Answer.Records) != 1 {
		t.Fatalf("news took %v", took)
	}
}

func watchRequest(millis uint32) *ferrypb.WatchRequest {
	return &ferrypb.WatchRequest{WaitMillis: millis, Streams: []*ferrypb.StreamCursor{{Stream: testStream, From: 1}}}
}
