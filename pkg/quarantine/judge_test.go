package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// crash returns the crash of server n with the given requests, each a list of parts; all of their responses had begun.
func crash(n int, when time.Duration, requests ...[]string) *Crash {
	c := &Crash{Server: fmt.Sprint("r", n), StartMillis: 1, At: at(when)}
	for i, parts := range requests {
		c.Requests = append(c.Requests, Suspect{RequestID: fmt.Sprint("q", n, "-", i), Parts: parts, Begun: true})
	}
	return c
}

// addCrash adds a crash that is reported at once.
func addCrash(j *Judge, c *Crash) { j.Evidence.AddCrash(c, c.At) }

// waiting marks the responses of all requests of a crash as not begun.
func waiting(c *Crash) *Crash {
	for i := range c.Requests {
		c.Requests[i].Begun = false
	}
	return c
}

func barredParts(j *Judge) []string {
	var out []string
	for i := range j.List.entries {
		out = append(out, j.List.entries[i].key())
	}
	slices.Sort(out)
	return out
}

// Load pattern: requests with one part crash a runner every half second while sound requests share their other parts.
// Guards against a part that is found too late, and against a companion that is barred with it.
func TestCrashingPartIsFoundAmongSoundOnes(t *testing.T) {
	for _, begun := range []bool{true, false} {
		j, crashes := NewJudge(), 0
		for n := 0; len(j.List.entries) == 0; n++ {
			if n > 20 {
				t.Fatalf("begun %v: part not found after %d crashes", begun, crashes)
			}
			when := time.Duration(n) * 500 * time.Millisecond
			c := crash(n, when, []string{"first", "second", "deadly"}, []string{"other", fmt.Sprint("own", n)})
			if !begun {
				waiting(c)
			}
			j.Evidence.AddCrash(c, c.At)
			crashes++
			for _, part := range []string{"first", "second", "other"} {
				j.Evidence.AddSound(part, at(when+200*time.Millisecond))
			}
			j.Step(at(when + settleTime))
		}
		if got := barredParts(j); !slices.Equal(got, []string{"deadly"}) || crashes > minCrashes {
			t.Errorf("begun %v: barred %v after %d crashes, want the deadly part after at most %d", begun, got, crashes, minCrashes)
		}
	}
}

// Guards against sound requests that are refused because they share a part with requests that crash runners, when no
// runner has been seen to survive that part yet.
func TestPartsThatAlwaysComeTogetherAreBarredTogetherOnly(t *testing.T) {
	j := NewJudge()
	for n := range 2 {
		addCrash(j, crash(n, time.Duration(n)*time.Second, []string{"first", "deadly"}))
	}
	j.Step(at(2 * time.Second))
	now := at(2 * time.Second)
	if j.List.Match([]string{"deadly", "first"}, now) == nil {
		t.Fatalf("barred: %v, want requests with both parts", barredParts(j))
	}
	for _, parts := range [][]string{{"first"}, {"first", "sound"}, {"deadly"}} {
		if j.List.Match(parts, now) != nil {
			t.Errorf("request with %v is barred, want only requests with both parts", parts)
		}
	}
	for n := range 3 {
		addCrash(j, crash(10+n, time.Duration(3+n)*time.Second, []string{fmt.Sprint("first", n), "deadly"}))
	}
	j.Step(at(6 * time.Second))
	if j.List.Match([]string{"deadly", "any"}, at(6*time.Second)) == nil {
		t.Errorf("barred: %v, want the deadly part in any company after it came in another", barredParts(j))
	}
}

// Load pattern: a failure domain with 40 runners is lost at once, with requests for shared parts on all of them. Guards
// against sound parts that are barred because many runners end on them.
func TestLossOfManyRunnersBarsNothing(t *testing.T) {
	j := NewJudge()
	for n := range 40 {
		addCrash(j, crash(n, time.Duration(n)*time.Millisecond, []string{"system", "dossier"}, []string{"system", fmt.Sprint("session", n%7)}))
	}
	for step := range 20 {
		now := at(time.Duration(step) * 100 * time.Millisecond)
		if j.Step(now); len(j.List.entries) > 0 {
			t.Fatalf("barred after %v: %v, want nothing", now.Sub(start), barredParts(j))
		}
	}
}

// Guards against a part that is barred although runners have survived it since, and against one that stays barred when
// they survive it later.
func TestPartsThatRunnersSurviveAreAllowed(t *testing.T) {
	j := NewJudge()
	for n := range 6 {
		when := time.Duration(n) * time.Second
		addCrash(j, crash(n, when, []string{"shared"}))
		j.Evidence.AddSound("shared", at(when+settleTime/2))
		j.Step(at(when + settleTime))
	}
	if len(j.List.entries) > 0 {
		t.Fatalf("barred: %v, want nothing: a runner survived the part after each crash", barredParts(j))
	}
	for n := range 3 {
		addCrash(j, crash(10+n, time.Duration(10+n)*time.Second, []string{"shared"}))
	}
	if j.Step(at(13 * time.Second)); len(j.List.entries) != 1 {
		t.Fatalf("barred after three crashes in a row: %v, want the part", barredParts(j))
	}
	j.Evidence.AddSound("shared", at(14*time.Second))
	if _, lifted := j.Step(at(14 * time.Second)); len(lifted) != 1 || len(j.List.entries) != 0 {
		t.Errorf("lifted %v, still barred %v, want the entry lifted", lifted, barredParts(j))
	}
}

// Guards against one crash that counts several times because several daemons report it, and against memory that grows
// with the number of crashes or parts.
func TestEvidenceIsMergedAndBounded(t *testing.T) {
	j := NewJudge()
	for range 5 {
		addCrash(j, crash(1, 0, []string{"p"}))
	}
	if j.Step(at(time.Second)); len(j.List.entries) > 0 {
		t.Errorf("barred after one crash: %v, want nothing", barredParts(j))
	}
	for n := range 3 * maxCrashes {
		addCrash(j, crash(100+n, 0, []string{"p"}))
	}
	for n := range 5 * soundGeneration {
		j.Evidence.AddSound(fmt.Sprint("s", n), at(time.Duration(n)))
	}
	if n := len(j.Evidence.crashes); n > maxCrashes {
		t.Errorf("crashes kept: %d, want at most %d", n, maxCrashes)
	}
	if n := len(j.Evidence.sound.recent) + len(j.Evidence.sound.older); n > 2*soundGeneration {
		t.Errorf("parts kept: %d, want at most %d", n, 2*soundGeneration)
	}
	if j.Step(at(evidenceTime + time.Second)); len(j.Evidence.crashes) != 0 {
		t.Errorf("crashes kept after %v: %d, want none", evidenceTime, len(j.Evidence.crashes))
	}
}

// Load pattern: the lease changes hands ten seconds after eight crashes; the new holder gets all of them at once and hears
// of the parts that runners survived some reports later. Guards against shared parts that a new holder bars (84 of 945
// sound requests served on tainted-holder of hanbit-turn), and against one that stays barred when a daemon reports late
// that runners had survived it.
func TestNewHolderLearnsOfSurvivedPartsBeforeItDecides(t *testing.T) {
	for _, late := range []time.Duration{settleTime / 2, 3 * settleTime} {
		j := NewJudge()
		const handover = 10 * time.Second
		for n := range 8 {
			c := crash(n, time.Duration(n)*500*time.Millisecond, []string{"shared", fmt.Sprint("own", n)})
			j.Evidence.AddCrash(c, at(handover))
		}
		j.Step(at(handover + settleTime/4))
		if len(j.List.entries) > 0 {
			t.Fatalf("barred %v after the hand-over: %v, want nothing before the daemons were asked", settleTime/4, barredParts(j))
		}
		for step := settleTime / 2; step < late; step += settleTime / 4 {
			j.Step(at(handover + step))
		}
		j.Evidence.AddSound("shared", at(5*time.Second))
		j.Step(at(handover + late))
		if len(j.List.entries) > 0 {
			t.Errorf("barred although runners survived the part after the last crash, as reported %v after the hand-over: %v", late, barredParts(j))
		}
	}
}

// Load pattern: a short prompt crashes fifteen runners a second. Guards against a decision that comes only after most
// runners of a small fleet have ended.
func TestNewPartIsBarredAfterTwoCrashesInARow(t *testing.T) {
	j := NewJudge()
	for _, part := range []string{"first", "second"} {
		j.Evidence.AddSound(part, at(-time.Second))
	}
	const interval = 65 * time.Millisecond
	for n := 0; len(j.List.entries) == 0; n++ {
		if n == 6 {
			t.Fatalf("not barred after %d crashes in %v", n, time.Duration(n)*interval)
		}
		when := time.Duration(n) * interval
		addCrash(j, crash(n, when, []string{"first", "second", "deadly"}, []string{"first", fmt.Sprint("own", n)}))
		j.Step(at(when + interval/2))
	}
	if got := barredParts(j); !slices.Equal(got, []string{"deadly"}) {
		t.Errorf("barred %v, want the deadly part alone", got)
	}
}
