package entry

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/frame"
)

// silentThenSound generates all words and is silent for longer than FrameTimeout after the second one, or before the
// first byte.
func silentThenSound(beforeFirst bool) execScript {
	return func(_ *testing.T, c *execCall) {
		pause := func() {
			select {
			case <-time.After(800 * time.Millisecond):
			case <-c.ctx.Done():
			}
		}
		if beforeFirst {
			pause()
		}
		_ = c.w.WriteAccepted(&ferrypb.Accepted{Status: 200})
		for i, word := range generatedWords {
			if i == 2 && !beforeFirst {
				pause()
			}
			_ = c.w.WriteData([]byte(word), 1)
		}
		_ = c.w.WriteEnd(frame.Summary{FinishReason: "stop"})
	}
}

// Guards against an attempt that is given up because its runner is silent for a while, although no other attempt is
// permitted: the response, which would have been sound, would be lost.
func TestSilentAttemptGoesOnWithoutAnother(t *testing.T) {
	want := strings.Join(generatedWords, "")
	for name, test := range map[string]struct {
		edit   func(*Settings)
		other  bool
		refuse bool
		stream bool
	}{
		"no other runner":              {nil, false, false, true},
		"the other runner refuses":     {nil, true, true, true},
		"no attempt left":              {func(s *Settings) { s.Retry.MaxAttempts = 1 }, true, false, true},
		"no retry budget, whole":       {func(s *Settings) { s.Retry.Ratio, s.Retry.PerSecond, s.Retry.Burst = 0, 0, 0 }, true, false, false},
		"no other runner, whole":       {nil, false, false, false},
		"other runner refuses, whole":  {nil, true, true, false},
		"no attempt left, no response": {func(s *Settings) { s.Retry.MaxAttempts = 1 }, true, false, false},
	} {
		for _, beforeFirst := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				silent := newFakeAgent(t, "silent", 0, silentThenSound(beforeFirst))
				agents := []*fakeAgent{silent}
				if test.other {
					other := newFakeAgent(t, "other", 500*time.Millisecond, generateAll)
					other.probe.Accepts = !test.refuse
					other.probe.Code = "overloaded"
					agents = append(agents, other)
				}
				f := newFixture(t, test.edit, agents...)
				response, body := f.call(t, "POST", "/v1/chat/completions", chatBody+`"stream":`+strconv.FormatBool(test.stream)+`}`)
				text := ""
				if test.stream && response.StatusCode == 200 {
					text, _, _, _ = eventText(t, body)
				}
				if response.StatusCode != 200 || (test.stream && text != want) || (!test.stream && !strings.Contains(body, want)) {
					t.Fatalf("response: status %d, body %s, want 200 and text %q", response.StatusCode, body, want)
				}
				if silent.count() != 1 {
					t.Fatalf("exec calls to the silent runner: %d, want 1", silent.count())
				}
			})
		}
	}
}
