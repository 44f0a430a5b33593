package agent

import (
	"slices"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

var errSilent = failure.New(failure.PeerUnavailable, failure.NotRun, "no answer")

func evicted(s *coreSim) bool {
	return slices.ContainsFunc(s.appends, func(r *ferrypb.PlacementRecord) bool { return r.GetEvict() != nil })
}

// watchSim returns a simulation that watches r2.
func watchSim(t *testing.T) *coreSim {
	t.Helper()
	s := readySim(t, true)
	s.other("m")
	return s
}

// silence answers every ping with err for d.
func (s *coreSim) silence(d time.Duration, err error, hosts ...infra.Host) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step(HostsRead{Hosts: hosts})
		s.pass(time.Second)
		pinged := s.pings
		s.pings = nil
		for _, name := range pinged {
			s.step(PingDone{Runner: name, Err: err})
		}
	}
}

// Guards against the eviction of a runner that answers, is listed, is silent for too short a time or cannot be judged,
// and against a lost runner that keeps its claims.
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
		{"silent and absent", 25 * time.Second, errSilent, []infra.Host{self}, true},
		{"answers", 25 * time.Second, nil, []infra.Host{self}, false},
		{"listed", 25 * time.Second, errSilent, []infra.Host{self, other}, false},
		{"short", 10 * time.Second, errSilent, []infra.Host{self}, false},
		{"no host list", 25 * time.Second, errSilent, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := watchSim(t)
			s.silence(c.silence, c.err, c.hosts...)
			if evicted(s) != c.want {
				t.Fatalf("evicted %v, want %v", !c.want, c.want)
			}
			if _, held := s.fold.Snapshot().Runner("r2"); held == c.want {
				t.Fatalf("runner in the records: %v", held)
			}
		})
	}
}

// Guards against a watcher that was paused and takes its own pause for the silence of others.
func TestPausedWatcherDoesNotEvict(t *testing.T) {
	s := watchSim(t)
	s.silence(5*time.Second, nil, infra.Host{Name: "r1"})
	s.now = s.now.Add(time.Minute)
	s.step(HostsRead{Hosts: []infra.Host{{Name: "r1"}}})
	s.step(Tick{})
	if evicted(s) {
		t.Fatal("evicted without unanswered pings")
	}
}

// Guards against an evicted agent that keeps serving without a place in the records.
func TestEvictedAgentAnnouncesItselfAgain(t *testing.T) {
	s := readySim(t, true)
	s.append(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Evict{Evict: &ferrypb.Evict{Runner: "r1", Fencing: s.core.fencing}}})
	s.read()
	s.pass(2 * time.Second)
	s.answer(nil)
	s.pass(3 * time.Second)
	if got := s.copies(); len(got) != 1 || got[0].Model != "m" || len(s.sent) != 0 {
		t.Fatalf("copies %+v and orders %+v, want the loaded model adopted", got, s.sent)
	}
}
