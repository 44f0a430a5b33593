package gateway

import (
	"fmt"
	"testing"
	"time"
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

// maxLate is the share of each kind that may be late under the loads of these tests: callers wait for at most one in ten.
const maxLate = 0.1

// checkInTime plays a load and checks that at most maxLate of each kind of request are late.
func checkInTime(t *testing.T, load mixLoad) {
	t.Helper()
	for k, r := range runMix(load, mixSeeds) {
		t.Logf("%s, %s: late %.3f of %d", load.name, load.kinds[k].name, r.share(), r.requests)
		if r.share() > maxLate {
			t.Errorf("%s: late share of %s %.3f, want at most %.2f", load.name, load.kinds[k].name, r.share(), maxLate)
		}
	}
}

// Load pattern: steady chats at 24 entry hosts, and twice the usual long prompts for a quarter of the time. Guards against a
// burst of long prompts that delays all chats.
func TestBurstOfLongPromptsLeavesChatsInTime(t *testing.T) {
	checkInTime(t, mixLoad{name: "burst of summaries", gateways: 24, slowness: usualServers(8), kinds: []mixKind{summaries(9), chats(24)},
		span: 40 * time.Second, viewAge: 300 * time.Millisecond, lost: -1, burst: 2})
}

// Load pattern: summaries and chats on eight servers, entry hosts with views 300 ms old. Guards against a choice that holds
// for a few entry hosts only, or that needs fresher views.
func TestBothLengthsInTimeAtAnyNumberOfDaemons(t *testing.T) {
	for _, gateways := range []int{5, 24, 100} {
		checkInTime(t, mixLoad{name: fmt.Sprint(gateways, " daemons"), gateways: gateways, slowness: usualServers(8), kinds: []mixKind{summaries(12), chats(24)},
			span: 40 * time.Second, viewAge: 300 * time.Millisecond, lost: -1})
	}
}

// Load pattern: summaries and chats on servers of which two have double speed and work is at times slow anywhere. Guards
// against long prompts on slow servers while fast ones are free.
func TestBothLengthsInTimeOnUnequalServers(t *testing.T) {
	checkInTime(t, mixLoad{name: "two of eight servers with double speed", gateways: 24, slowness: []float64{1, 0.5, 1, 1, 0.5, 1, 1, 1},
		kinds: []mixKind{summaries(14), chats(24)}, span: 40 * time.Second, viewAge: 300 * time.Millisecond, noise: 0.05, lost: -1})
}

// Load pattern: summaries and chats on six servers, of which one is lost halfway. Guards against requests that gather on
// few of those that are left.
func TestBothLengthsInTimeAfterAServerIsLost(t *testing.T) {
	checkInTime(t, mixLoad{name: "a server is lost", gateways: 24, slowness: usualServers(6), kinds: []mixKind{summaries(7), chats(18)},
		span: 40 * time.Second, viewAge: 300 * time.Millisecond, lost: 0})
}

// Load patterns: only summaries, only chats. Guards against a choice that serves one kind alone worse than both.
func TestOneLengthAloneIsInTime(t *testing.T) {
	for _, kinds := range [][]mixKind{{summaries(12)}, {chats(40)}} {
		checkInTime(t, mixLoad{name: "only " + kinds[0].name, gateways: 24, slowness: usualServers(6), kinds: kinds, span: 30 * time.Second, viewAge: 300 * time.Millisecond, lost: -1})
	}
}

// Load pattern: one prompt of 40,000 tokens arrives while one server of two has 50 streams. Guards against a prompt that
// delays 50 callers for seconds because that server is the nearer one.
func TestLongestPromptAvoidsServerWithManyStreams(t *testing.T) {
	for _, crowded := range []string{"r0", "r1"} {
		view, work, c := modelView(2), NewTracker(), testChooser()
		for range 50 {
			work.BeginAttempt(crowded, 0)
		}
		if got, ok := c.choose(modelJob("id", "", 0, 40000), view, work, now); !ok || got.server.ID == crowded {
			t.Errorf("prompt of 40,000 tokens: server %s, want the one without streams (%s has 50)", got.server.ID, crowded)
		}
	}
}

// Load pattern: a long prompt whose parts are kept at a server. Guards against a length that is judged by the whole prompt:
// a server that has kept the parts has little to process and must keep these requests.
func TestLongPromptsStayWithTheirKeptParts(t *testing.T) {
	for n := range 4 {
		view, work, c := modelView(4), NewTracker(), testChooser()
		j := modelJob("id", "", 9000, 400)
		keeper := fmt.Sprint("r", n)
		if c.regionOf[view.Servers[keeper].FailureDomain] != c.region {
			continue
		}
		work.RecordPrompt(keeper, j.chain, 200000)
		got, ok := c.choose(j, view, work, now)
		if !ok || got.prefill > 400 {
			t.Errorf("prompt of 9,400 tokens, 9,000 kept at %s: server %s with %d tokens to process, want one that keeps the parts", keeper, got.server.ID, got.prefill)
		}
	}
}
