package gateway

import (
	"fmt"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/routing"
)

// mixSeeds is the number of seeds per load; the shares of late requests of single seeds differ by some percentage points.
const mixSeeds = 8

// The kinds of the users' sheets: summaries of long documents, and chats whose streams are long.
func summaries(rate float64) mixKind {
	return mixKind{name: "summary", rate: rate, shared: 6300, own: 2890, subjects: 60, output: 54, target: 800 * time.Millisecond, maxPause: 500 * time.Millisecond}
}

func chats(rate float64) mixKind {
	return mixKind{name: "chat", rate: rate, shared: 198, own: 628, subjects: 52, output: 290, target: 600 * time.Millisecond, maxPause: 500 * time.Millisecond}
}

// usualServers are n servers of the usual speed.
func usualServers(n int) []float64 {
	s := make([]float64, n)
	for i := range s {
		s[i] = 1
	}
	return s
}

// maxLateChats is the share of chats that may be late under the loads of these tests: callers wait for at most one in ten.
const maxLateChats = 0.1

// checkKeptApart plays a load with long and short prompts kept apart and together. It checks that keeping them apart makes
// fewer chats late, at most maxLateChats of them, and at most one summary in a hundred more.
func checkKeptApart(t *testing.T, load mixLoad) {
	t.Helper()
	apart := runMix(load, mixSeeds)
	load.together = true
	together := runMix(load, mixSeeds)
	for k := range load.kinds {
		t.Logf("%s, %s: late %.3f apart, %.3f together of %d", load.name, load.kinds[k].name, apart[k].share(), together[k].share(), apart[k].requests)
	}
	if a, b := apart[0].share(), together[0].share(); a > b+0.01 {
		t.Errorf("%s: late summaries %.3f apart, %.3f together, want at most 0.01 more", load.name, a, b)
	}
	if a, b := apart[1].share(), together[1].share(); a > min(b, maxLateChats) {
		t.Errorf("%s: late chats %.3f apart, %.3f together, want fewer and at most %.2f", load.name, a, b, maxLateChats)
	}
}

// Load pattern: steady chats at 24 entry hosts, and twice the usual long prompts for a quarter of the time. Guards
// against a burst of long prompts that spreads over all servers and delays all chats.
func TestBurstOfLongPromptsLeavesChatsInTime(t *testing.T) {
	checkKeptApart(t, mixLoad{name: "burst of summaries", gateways: 24, slowness: usualServers(8), kinds: []mixKind{summaries(9), chats(24)},
		span: 40 * time.Second, viewAge: 300 * time.Millisecond, lost: -1, burst: 2})
}

// Load pattern: summaries and chats on eight servers, entry hosts with views 300 ms old. Guards against a rule that holds
// for a few entry hosts only, or that needs fresher views.
func TestLengthsAreKeptApartAtAnyNumberOfDaemons(t *testing.T) {
	for _, gateways := range []int{5, 24, 100} {
		checkKeptApart(t, mixLoad{name: fmt.Sprint(gateways, " daemons"), gateways: gateways, slowness: usualServers(8), kinds: []mixKind{summaries(12), chats(24)},
			span: 40 * time.Second, viewAge: 300 * time.Millisecond, lost: -1})
	}
}

// Load pattern: summaries and chats on servers of which two have double speed and work is at times slow anywhere. Guards
// against gathering long prompts on slow servers while fast ones are free.
func TestLengthsAreKeptApartOnUnequalServers(t *testing.T) {
	checkKeptApart(t, mixLoad{name: "two of eight servers with double speed", gateways: 24, slowness: []float64{1, 0.5, 1, 1, 0.5, 1, 1, 1},
		kinds: []mixKind{summaries(14), chats(24)}, span: 40 * time.Second, viewAge: 300 * time.Millisecond, noise: 0.05, lost: -1})
}

// Load pattern: summaries and chats on six servers, of which the first that long prompts gather on is lost halfway. Guards
// against long prompts that stay bound to a lost server, or that are then spread over all servers.
func TestLengthsAreKeptApartAfterAServerIsLost(t *testing.T) {
	holders := []string{}
	for i := range 6 {
		holders = append(holders, fmt.Sprintf("server-%02d", i))
	}
	routing.RendezvousOrder("long prompts of m", holders)
	var lost int
	if _, err := fmt.Sscanf(holders[0], "server-%d", &lost); err != nil {
		t.Fatal(err)
	}
	checkKeptApart(t, mixLoad{name: "a server for long prompts is lost", gateways: 24, slowness: usualServers(6), kinds: []mixKind{summaries(7), chats(18)},
		span: 40 * time.Second, viewAge: 300 * time.Millisecond, lost: lost})
}

// Load patterns: only summaries, only chats. Guards against servers that are kept free for a kind of request that does not
// come: the choice must be the same as without the rule.
func TestOneLengthAloneIsServedAsBefore(t *testing.T) {
	for _, kinds := range [][]mixKind{{summaries(15)}, {chats(40)}} {
		load := mixLoad{name: "only " + kinds[0].name, gateways: 24, slowness: usualServers(6), kinds: kinds, span: 30 * time.Second, viewAge: 300 * time.Millisecond, lost: -1}
		apart := runMix(load, 4)
		load.together = true
		together := runMix(load, 4)
		t.Logf("%s: late %.3f, %.3f without the rule of %d", load.name, apart[0].share(), together[0].share(), apart[0].requests)
		if a, b := apart[0].share(), together[0].share(); a > b+0.01 {
			t.Errorf("%s: late %.3f with the rule and %.3f without, want no loss", load.name, a, b)
		}
	}
}

// mixedChooser returns a chooser that has seen as much work of long as of short prompts.
func mixedChooser() *chooser {
	c := testChooser()
	for range minMixRequests {
		c.mix.record("llm", 8000, time.Second, now)
		c.mix.record("llm", 500, time.Second, now)
	}
	return c
}

// Load pattern: one prompt of 40,000 tokens arrives while one server of two has 50 streams. Guards against a prompt that
// delays 50 callers for seconds because that server is the one for long prompts, or the nearer one.
func TestLongestPromptAvoidsServerWithManyStreams(t *testing.T) {
	for _, crowded := range []string{"r0", "r1"} {
		view, work, c := modelView(2), NewTracker(), mixedChooser()
		for range 50 {
			work.BeginAttempt(crowded, 0)
		}
		if got, ok := c.choose(modelJob("id", "", 0, 40000), view, work, now); !ok || got.server.ID == crowded {
			t.Errorf("prompt of 40,000 tokens: server %s, want the one without streams (%s has 50)", got.server.ID, crowded)
		}
	}
}

// Load pattern: long prompts whose parts are kept at a server. Guards against a length that is judged by the whole prompt:
// a server that has kept the parts has little to process and must keep these requests.
func TestLongPromptsStayWithTheirKeptParts(t *testing.T) {
	for n := range 4 {
		view, work, c := modelView(4), NewTracker(), mixedChooser()
		j := modelJob("id", "", 9000, 400)
		keeper := fmt.Sprint("r", n)
		if c.regionOf[view.Servers[keeper].FailureDomain] != c.region {
			continue
		}
		work.RecordPrompt(keeper, j.chain, 200000)
		got, ok := c.choose(j, view, work, now)
		owner := got.prefill <= 400
		if !ok || !owner {
			t.Errorf("prompt of 9,400 tokens, 9,000 kept at %s: server %s with %d tokens to process, want one that keeps the parts", keeper, got.server.ID, got.prefill)
		}
	}
}

// Load patterns: both kinds, then one of them, then nothing. Guards against acting on what was seen long ago, or on too
// little.
func TestMixNeedsBothKinds(t *testing.T) {
	m := newPromptMix()
	if _, meet := m.longShare("llm", now); meet {
		t.Error("long and short prompts meet before any request, want not")
	}
	for range minMixRequests {
		m.record("llm", 500, time.Second, now)
	}
	if _, meet := m.longShare("llm", now); meet {
		t.Error("long and short prompts meet after short ones only, want not")
	}
	for range minMixRequests {
		m.record("llm", 8000, time.Second, now)
	}
	if share, meet := m.longShare("llm", now); !meet || share < 0.45 || share > 0.55 {
		t.Errorf("share of long prompts with equal work of both: %.2f (%t), want 0.5", share, meet)
	}
	if _, meet := m.longShare("other", now); meet {
		t.Error("long and short prompts meet at a service without requests, want not")
	}
	if _, meet := m.longShare("llm", now.Add(3*mixMemory)); meet {
		t.Errorf("long and short prompts meet %v after the last request, want not", 3*mixMemory)
	}
}

// Load pattern: any share of long prompts at 1 to 5 servers. Guards against marks that leave one kind no server, and
// against daemons that mark other servers for the same model.
func TestMarksLeaveServersToBothKinds(t *testing.T) {
	for n := 1; n <= 5; n++ {
		for _, share := range []float64{minMixShare, 0.5, 1 - minMixShare} {
			var holders []string
			var candidates []routing.Candidate
			for i := range n {
				holders = append(holders, fmt.Sprint("r", i))
				candidates = append(candidates, routing.Candidate{Runner: fmt.Sprint("r", n-1-i)})
			}
			marked := markForLong("m", holders, share, candidates)
			long := 0
			for i := range candidates {
				if candidates[i].ForLongPrompts {
					long++
				}
			}
			if marked != (n > 1) || (marked && (long == 0 || long == n)) {
				t.Errorf("%d servers, share %.1f: %d for long prompts (%t), want some for each kind if there are two", n, share, long, marked)
			}
		}
	}
}
