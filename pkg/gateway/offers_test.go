package gateway

import (
	"maps"
	"slices"
	"testing"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
)

// offersBefore returns the progress of a request whose offers were declined by r1 and withdrawn from r2.
func offersBefore(j *job) *progress {
	p := &progress{outcome: failure.NotRun}
	p.recordDeclined(j, "r1", attemptResult{fail: &failure.Failure{Outcome: failure.NotRun}})
	p.recordWithdrawn("r2")
	return p
}

// Load pattern: the server of a stream is silent, one other server has refused the stream and one was too slow to answer.
// Guards against a server that is asked again and again while the silent one may go on, and against a stream of a dead
// server that no server is left for.
func TestServersThatDidNotTakeARequestAreAskedAgainOnceItsServerIsPresumedDead(t *testing.T) {
	for name, c := range map[string]struct {
		mayGoOn     bool
		maxAttempts int
		tried, only []string
	}{
		"may go on":                        {true, 4, []string{"r0", "r1", "r2"}, nil},
		"presumed dead":                    {false, 4, []string{"r0"}, nil},
		"presumed dead, no server is left": {false, 2, []string{"r0"}, []string{"r2"}},
	} {
		t.Run(name, func(t *testing.T) {
			j := &job{route: &fleet.Route{MaxAttempts: c.maxAttempts}, tried: map[string]bool{}}
			p := offersBefore(j)
			other := p.offerJob(j, "r0", c.mayGoOn)
			if got := slices.Sorted(maps.Keys(other.tried)); !slices.Equal(got, c.tried) {
				t.Errorf("servers left out: %v, want %v", got, c.tried)
			}
			if got := slices.Sorted(maps.Keys(other.only)); !slices.Equal(got, c.only) {
				t.Errorf("only servers: %v, want %v", got, c.only)
			}
			if !j.tried["r1"] || j.tried["r0"] {
				t.Errorf("the request itself leaves out %v, want r1 only", j.tried)
			}
		})
	}
}

// Load pattern: all other servers refuse the stream of a silent server. Guards against refusals that use up the tries that
// are needed when that server fails, and against offers without end.
func TestOffersOfASilentServersRequestAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		p             progress
		goOn, dead    bool
		maxAttempts   int
		attemptsAfter int
	}{
		"first offer":                     {progress{}, true, true, 2, 0},
		"route allows one server":         {progress{}, false, false, 1, 0},
		"withdrawn from the last server":  {progress{sent: 1, mayRepeat: map[string]bool{"r1": true}}, false, true, 2, 0},
		"last server has failed":          {progress{sent: 1}, false, false, 2, 1},
		"refused as often as retries may": {progress{refused: maxRefusals}, false, true, 3, 0},
		"refused once more":               {progress{refused: maxRefusals + 1}, false, false, 3, 0},
		"unreached":                       {progress{unreached: maxUnreachedAttempts}, false, true, 3, 0},
		"unreached once more":             {progress{unreached: maxUnreachedAttempts + 1}, false, false, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if goOn, dead := c.p.mayOffer(c.maxAttempts, true), c.p.mayOffer(c.maxAttempts, false); goOn != c.goOn || dead != c.dead {
				t.Errorf("may be offered: %v, presumed dead: %v; want %v, %v", goOn, dead, c.goOn, c.dead)
			}
			if got := c.p.attemptsUsed(); got != c.attemptsAfter {
				t.Errorf("%d attempts used, want %d", got, c.attemptsAfter)
			}
		})
	}
}

// Load pattern: a server that was too slow to take a request gets it again, and fails or is too slow again. Guards against
// more servers than the route allows, and against one server that counts twice.
func TestServerThatGetsARequestAgainCountsOnce(t *testing.T) {
	p := offersBefore(&job{tried: map[string]bool{}})
	p.recordWithdrawn("r2")
	if p.sent != 1 || p.outcome != failure.Unknown {
		t.Errorf("%d servers, outcome %v after two offers to one; want 1, unknown", p.sent, p.outcome)
	}
	p.record("r2", attemptResult{fail: &failure.Failure{Outcome: failure.Unknown}})
	if p.sent != 1 || p.attemptsUsed() != 1 {
		t.Errorf("%d servers, %d attempts used after its failure; want 1, 1", p.sent, p.attemptsUsed())
	}
	p.record("r3", attemptResult{fail: &failure.Failure{Outcome: failure.Unknown}})
	if p.sent != 2 {
		t.Errorf("%d servers after the failure of another one, want 2", p.sent)
	}
}
