package gateway

import (
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

// Load: a server states a quarter of the time that it takes. Guards against a server that gets all requests by what it says.
func TestServerThatLiesAboutItsSpeed(t *testing.T) {
	r := compareUneven(t, simUneven{speeds: []float64{1.2, 1.2, 1.2, 0.55}, liar: 2, liarStates: 0.3}, 1)
	if n, honest := r.byRunner["runner-02"], r.byRunner["runner-01"]; n > 2*honest {
		t.Errorf("%d requests for the server that lies, %d for an honest one as fast, want at most twice as many", n, honest)
	}
}

// Load: four times the usual for half a second, as a fifth of the servers ends. Guards against a crowd at the fastest
// servers when there is least room.
func TestBurstBesideACrash(t *testing.T) {
	compareUneven(t, simUneven{speeds: unevenSpeeds, noise: true, crashed: 2, crashAt: 5 * time.Second,
		burstAt: 5 * time.Second, burstFor: 500 * time.Millisecond, burstTimes: 4}, 1.02)
}
