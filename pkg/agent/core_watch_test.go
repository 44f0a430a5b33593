package agent

import (
	"slices"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

var errNoAnswer = failure.New(failure.PeerUnavailable, failure.NotRun, "no answer")

func evicted(s *coreSim) bool {
	return slices.ContainsFunc(s.appends, func(r *ferrypb.PlacementRecord) bool { return r.GetEvict() != nil })
}

// watchSim returns a simulation that watches r2.
func watchSim(t *testing.T) *coreSim {
	t.Helper()
	s := readySim(t, true)
	s.addReadyCopyElsewhere("m")
	return s
}

// runPings advances the clock by d and ends every ping with err.
func (s *coreSim) runPings(d time.Duration, err error, hosts ...infra.Host) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step(HostsRead{Hosts: hosts})
		s.advance(time.Second)
		pinged := s.pings
		s.pings = nil
		for _, name := range pinged {
			s.step(PingDone{Runner: name, Err: err})
		}
	}
}

// Guards against the eviction of a runner that answers pings, is in the host list, has not been silent for long enough,
// or may be listed because no host list is known; and against a lost runner that is never evicted.
func TestEvictNeedsSilenceAndAbsence(t *testing.T) {
	self := infra.Host{Name: "r1", State: infra.HostLive}
	other := infra.Host{Name: "r2", State: infra.HostLive}
	cases := []struct {
		name    string
		silence time.Duration
		err     error
		hosts   []infra.Host
		want    bool
	}{
		{"silent and absent", 25 * time.Second, errNoAnswer, []infra.Host{self}, true},
		{"answers", 25 * time.Second, nil, []infra.Host{self}, false},
		{"listed", 25 * time.Second, errNoAnswer, []infra.Host{self, other}, false},
		{"short", 10 * time.Second, errNoAnswer, []infra.Host{self}, false},
		{"no host list", 25 * time.Second, errNoAnswer, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := watchSim(t)
			s.runPings(c.silence, c.err, c.hosts...)
			if evicted(s) != c.want {
				t.Fatalf("evicted %v, want %v", !c.want, c.want)
			}
			if _, found := s.fold.Snapshot().Runner("r2"); found == c.want {
				t.Fatalf("r2 in the placement records: %v, want %v", found, !c.want)
			}
		})
	}
}

// Guards against a watcher that was paused and treats its own pause as the silence of others.
func TestPausedWatcherDoesNotEvict(t *testing.T) {
	s := watchSim(t)
	s.runPings(5*time.Second, nil, infra.Host{Name: "r1"})
	s.now = s.now.Add(time.Minute)
	s.step(HostsRead{Hosts: []infra.Host{{Name: "r1"}}})
	s.step(Tick{})
	if evicted(s) {
		t.Fatal("r2 was evicted without an unanswered ping")
	}
}

// Guards against a mistakenly evicted agent that never appears in the placement records again.
func TestEvictedAgentAnnouncesItselfAgain(t *testing.T) {
	s := readySim(t, true)
	s.append(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Evict{Evict: &ferrypb.Evict{Runner: "r1", Fencing: s.core.fencing}}})
	s.readPlacement()
	s.advance(2 * time.Second)
	s.answerOrder(nil)
	s.advance(3 * time.Second)
	if got := s.copies(); len(got) != 1 || got[0].Model != "m" || len(s.unanswered) != 0 {
		t.Fatalf("copies %+v, orders %+v, want one copy of the loaded model m and no orders", got, s.unanswered)
	}
}
