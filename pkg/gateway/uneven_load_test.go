package gateway

import (
	"fmt"
	"testing"
	"time"
)

// unevenSpeeds is a quarter of the servers at 0.55 of the usual time and the others at 1.2.
var unevenSpeeds = []float64{0.55, 1.2, 1.2, 1.2}

// playUneven simulates a load on uneven runners with several seeds.
func playUneven(u simUneven) simResult {
	sum := simResult{byRunner: map[string]int{}}
	load := simLoad{gateways: 21, runners: 12, dossiers: 27, questions: 35, span: 15 * time.Second, uneven: &u}
	for seed := range uint64(simSeeds) {
		r := newSimulation(load, seed).run()
		sum.dossiers += r.dossiers
		sum.questions += r.questions
		sum.lateDossiers += r.lateDossiers
		sum.lateQuestions += r.lateQuestions
		for id, n := range r.byRunner {
			sum.byRunner[id] += n
		}
	}
	return sum
}

// late returns the shares of late dossiers and questions.
func (r simResult) late() (dossiers, questions float64) {
	return float64(r.lateDossiers) / float64(r.dossiers), float64(r.lateQuestions) / float64(r.questions)
}

// compareUneven plays a load with and without speeds, and fails if fewer callers are served in time with them.
func compareUneven(t *testing.T, u simUneven, least float64) simResult {
	t.Helper()
	u.silent = true
	without := playUneven(u)
	u.silent = false
	with := playUneven(u)
	dossiersBefore, before := without.late()
	dossiers, questions := with.late()
	t.Logf("late dossiers %.3f without speeds, %.3f with them; late questions %.3f and %.3f; by runner %v", dossiersBefore, dossiers, before, questions, with.byRunner)
	if questions > before*least || dossiers > dossiersBefore+0.015 {
		t.Errorf("late questions %.3f and dossiers %.3f, without speeds %.3f and %.3f: want at most %.2f of the questions, and no more dossiers (0.015 is chance)", questions, dossiers, before, dossiersBefore, least)
	}
	return with
}

// Load: half of the servers at 0.55 of the time of the others, two thirds of what they can do together. Guards against a
// choice that does not know of the speeds, and against one that leaves the slow ones without requests.
func TestHalfTheServersAreFast(t *testing.T) {
	r := compareUneven(t, simUneven{speeds: []float64{0.55, 1.2}}, 0.6)
	for id, n := range r.byRunner {
		if n < 20 {
			t.Errorf("%d requests for %s, want some for each: %v", n, id, r.byRunner)
		}
	}
}

// Load: a quarter fast, 15% take 2.5 times as long for 600 ms each. Guards against estimates that the noise spoils.
func TestNoisyServers(t *testing.T) {
	compareUneven(t, simUneven{speeds: unevenSpeeds, noise: true}, 0.9)
}

// Load: the same, and all that daemons hear of others' requests and of servers comes 300 ms late. Guards against daemons
// that follow old news together.
func TestNoisyServersWithLateNews(t *testing.T) {
	compareUneven(t, simUneven{speeds: unevenSpeeds, noise: true, newsDelay: 300 * time.Millisecond}, 0.95)
}

// Load: a server states a quarter of the time that it takes, for 15 s. Guards against a server that gets the requests of all
// others by what it says: it gets fewer than one that is fast, and callers are served about as without speeds.
func TestServerThatLiesAboutItsSpeed(t *testing.T) {
	r := compareUneven(t, simUneven{speeds: []float64{1.2, 1.2, 1.2, 0.55}, liar: 2, liarStates: 0.3}, 1.15)
	if n, fast := r.byRunner["runner-02"], r.byRunner["runner-03"]; n > fast*3/4 {
		t.Errorf("%d requests for the server that lies, %d for a fast one, want at most three quarters as many", n, fast)
	}
}

// Load: all of 100 daemons hear at once that one of 40 servers, all with the same work, takes a tenth less time than the
// others. Guards against a crowd of all their next requests there.
func TestDaemonsThatHearOfAFastServerSpread(t *testing.T) {
	view, count := modelView(40), map[string]int{}
	for d := range 100 {
		work := NewTracker()
		for id := range view.Servers {
			listed, slowness := view.Servers[id], 1.2
			if id == "r6" {
				slowness = 1.1
			}
			work.speeds.Hear(speedKey(&listed), slowness, now, now)
		}
		j := modelJob(fmt.Sprint("id", d), "", 0, 900)
		got, _ := (&chooser{region: "east", regionOf: map[string]string{"z0": "east", "z1": "east"}, models: testChooser().models}).choose(j, view, work, now)
		count[got.server.ID]++
	}
	if count["r6"] > 50 || count["r6"] < 4 || len(count) < 10 {
		t.Errorf("%d of 100 requests at the fast server, %d servers used, want 4 to 50 and ten servers or more: %v", count["r6"], len(count), count)
	}
}

// Load: one of 40 servers turns slow, by a statement. Guards against daemons that go on sending it requests a second later,
// and against one that gets a burst when it is fit again.
func TestServerThatTurnsSlowIsLeft(t *testing.T) {
	view, work, c := modelView(12), NewTracker(), testChooser()
	at := now
	share := func(until time.Time, slowness float64) int {
		n := 0
		for k := 0; at.Before(until); k++ {
			at = at.Add(20 * time.Millisecond)
			view.ServersAt = at
			for id := range view.Servers {
				listed := view.Servers[id]
				if id == "r4" && k%10 == 0 {
					work.speeds.Hear(speedKey(&listed), slowness, at, at)
				} else if k%10 == 0 {
					work.speeds.Hear(speedKey(&listed), 1.2, at, at)
				}
			}
			got, _ := c.choose(modelJob(fmt.Sprint("id", at), "", 0, 900), view, work, at)
			if got.server.ID == "r4" {
				n++
			}
		}
		return n
	}
	share(at.Add(6*time.Second), 1.2)
	if n := share(at.Add(4*time.Second), 3.5); n > 6 {
		t.Errorf("%d of 200 requests for a server that turned slow, want at most 6", n)
	}
	if n := share(at.Add(4*time.Second), 1.2); n > 40 {
		t.Errorf("%d of 200 requests for the server that is fit again, want at most twice its share of 20", n)
	}
}

func BenchmarkChoiceAmongUnevenServers(b *testing.B) {
	for _, slowness := range []float64{1, 1.2} {
		b.Run(fmt.Sprint(slowness), func(b *testing.B) {
			view, work, c := modelView(40), NewTracker(), testChooser()
			for id := range view.Servers {
				listed := view.Servers[id]
				work.speeds.Hear(speedKey(&listed), slowness, now, now)
			}
			j := modelJob("id", "", 6000, 900)
			for b.Loop() {
				c.choose(j, view, work, now)
			}
		})
	}
}

// Load: four times the usual for half a second, as a fifth of the servers ends. Guards against a crowd at the fastest
// servers when there is least room.
func TestBurstBesideACrash(t *testing.T) {
	compareUneven(t, simUneven{speeds: unevenSpeeds, noise: true, crashed: 2, crashAt: 5 * time.Second,
		burstAt: 5 * time.Second, burstFor: 500 * time.Millisecond, burstTimes: 4}, 1.02)
}
