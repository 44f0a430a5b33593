package entry

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
)

// Guards against a model that is unreachable while the placement records show only its old version as ready, although
// its only holder has loaded the configured version, and against a holder that is not asked for the old one again.
func TestRunnerThatReplacedItsVersionIsAskedForTheNewOne(t *testing.T) {
	for _, want := range [][]string{{"v1", "v2"}, {"v1", "v2", "v1"}} {
		var asked []string
		agent := newFakeAgent(t, "a", 0, func(t *testing.T, c *execCall) {
			asked = append(asked, c.request.GetModelVersion())
			if len(asked) < len(want) {
				_ = c.w.WriteFail(failure.New(failure.NotLoaded, failure.NotRun, "another version is loaded"))
				return
			}
			generateAll(t, c)
		})
		f := newFixture(t, nil, agent)
		f.snapshots.Store(&Snapshot{
			Config:   fakeConfig{models: map[string]*object.Model{"m": {Name: "m", Version: "v2", MaxTokens: 100}}},
			Routes:   fakeRoutes{agents: []*fakeAgent{agent}},
			CaughtUp: true,
		})
		response, body := f.call(t, http.MethodPost, "/v1/chat/completions", chatBody+`"n":1}`)
		if response.StatusCode != http.StatusOK || !slices.Equal(asked, want) {
			t.Errorf("versions asked for: %v, want %v; status %d, body %s", asked, want, response.StatusCode, body)
		}
	}
}

// Guards against a retry budget that is used up during a log outage, because each request is refused once for the old
// version, whether the same runner then serves it with the new version or another one with the old version.
func TestVersionThatARunnerServesIsRemembered(t *testing.T) {
	for _, others := range []int{0, 1} {
		refused := 0
		agents := []*fakeAgent{newFakeAgent(t, "a", 0, func(t *testing.T, c *execCall) {
			if c.request.GetModelVersion() != "v2" {
				refused++
				_ = c.w.WriteFail(failure.New(failure.NotLoaded, failure.NotRun, "another version is loaded"))
				return
			}
			generateAll(t, c)
		})}
		for range others {
			agents = append(agents, newFakeAgent(t, "b", time.Millisecond, generateAll))
		}
		f := newFixture(t, nil, agents...)
		f.snapshots.Store(&Snapshot{
			Config:   fakeConfig{models: map[string]*object.Model{"m": {Name: "m", Version: "v2", MaxTokens: 100}}},
			Routes:   fakeRoutes{agents: agents},
			CaughtUp: true,
		})
		for range 40 {
			if response, body := f.call(t, http.MethodPost, "/v1/chat/completions", chatBody+`"n":1}`); response.StatusCode != http.StatusOK {
				t.Fatalf("status %d, want 200: %s", response.StatusCode, body)
			}
		}
		if refused != 1 {
			t.Errorf("attempts refused for the old version, with %d other holders: %d of 40 requests, want 1", others, refused)
		}
	}
}
