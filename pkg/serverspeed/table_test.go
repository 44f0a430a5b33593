package serverspeed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	testRates = Rates{PrefillPerMs: 30, Step: 6 * time.Millisecond, PerRequest: 1500 * time.Microsecond}
	begin     = time.Unix(7000, 0)
)

func runner(n int) Incarnation {
	return Incarnation{Server: fmt.Sprint("s", n), Service: "llm", StartMillis: 1}
}

// Load: 40 servers that state 100 or nothing and answer with a long tail of waits. Guards against choices that change where
// servers are alike.
func TestAlikeServersCountAsUsual(t *testing.T) {
	table, random := NewTable(testRates), rand.New(rand.NewPCG(1, 1))
	now := begin
	for range 20000 {
		now = now.Add(5 * time.Millisecond)
		i := runner(random.IntN(40))
		if random.Float64() < 0.5 {
			table.State(i, 1, now)
		}
		w := Work{Tokens: 100 + random.IntN(9000), Running: random.IntN(30)}
		took := time.Duration(float64(testRates.FirstToken(w.Tokens, w.Running)) * math.Exp(0.8*random.NormFloat64()))
		if j, _ := table.ShowFirstEvent(i, w, took, now); j != Unchanged {
			t.Fatalf("server %v judged %s among alike ones", i, j)
		}
		if e := table.Estimate(i, now); e.Slowness != 1 {
			t.Fatalf("slowness %v, want 1", e.Slowness)
		}
	}
	if rates, uneven := table.Rates("llm", now); uneven || rates != testRates {
		t.Errorf("rates %+v, uneven %v, want the starting values", rates, uneven)
	}
}

// Load: a quarter of 40 servers at 0.55 of the time and the others at 1.2; 15% of them work 2.5 times as long, drawn anew
// each 600 ms; each server is heard of every 250 ms. Guards against estimates that follow the noise or miss the speeds.
func TestStatementsUnderNoise(t *testing.T) {
	table, random := NewTable(testRates), rand.New(rand.NewPCG(2, 1))
	speed := func(n int) float64 {
		if n%4 == 0 {
			return 0.55
		}
		return 1.2
	}
	noisy := map[int]bool{}
	now, heard := begin, 0
	var meanError, currentError float64
	for tick := range 4 * 60 {
		now = now.Add(250 * time.Millisecond)
		for n := range 40 {
			if tick%2 == 0 {
				noisy[n] = random.Float64() < 0.15
			}
			now := now.Add(time.Duration(n) * time.Millisecond)
			actual := speed(n)
			if noisy[n] {
				actual *= 2.5
			}
			if tick > 40 {
				e := table.Estimate(runner(n), now)
				heard++
				meanError += math.Abs(math.Log(e.Mean / (speed(n) * 1.2)))
				currentError += math.Abs(math.Log(e.Slowness / actual))
			}
			table.State(runner(n), actual, now)
		}
	}
	if meanError /= float64(heard); meanError > 0.25 {
		t.Errorf("mean off by %.2f (logarithm) on average, want at most 0.25", meanError)
	}
	if currentError /= float64(heard); currentError > 0.35 {
		t.Errorf("slowness off by %.2f (logarithm) on average, want at most 0.35", currentError)
	}
}

// Load: a server that states half of the time that it takes, and one that states twice of it, among honest ones. Guards
// against servers that get all requests, or none, by what they say alone.
func TestServersThatLie(t *testing.T) {
	table := NewTable(testRates)
	now := begin
	truth, stated := []float64{1, 1, 1, 1, 1.2, 1.2}, []float64{1, 1, 1, 1, 0.3, 4}
	for range 60 {
		for n := range truth {
			now = now.Add(20 * time.Millisecond)
			table.State(runner(n), stated[n], now)
			w := Work{Tokens: 3000, Running: 4}
			table.ShowFirstEvent(runner(n), w, time.Duration(truth[n]*float64(testRates.FirstToken(w.Tokens, w.Running))), now)
		}
	}
	honest := table.Estimate(runner(0), now).Slowness
	for n := 4; n < 6; n++ {
		if e := table.Estimate(runner(n), now); e.Slowness/honest < 0.6 || e.Slowness/honest > 2 {
			t.Errorf("server that states %v and takes %v: slowness %.2f of an honest one's, want 0.6 to 2", stated[n], truth[n], e.Slowness/honest)
		}
	}
	table.State(runner(1), math.Inf(1), now)
	table.State(runner(1), math.NaN(), now)
	table.State(runner(1), 1e-300, now)
	if e := table.Estimate(runner(1), now); !(e.Slowness >= minSlowness && e.Slowness <= maxSlowness) {
		t.Errorf("slowness %v after odd statements, want it in bounds", e.Slowness)
	}
}

// Load: a server starts again under its id, and another is never heard of. Guards against an incarnation that pays for the
// one before it, and against a new one that counts as usual where the service is not.
func TestNewIncarnationsStartFromTheMedian(t *testing.T) {
	table := NewTable(testRates)
	now := begin
	for range 20 {
		now = now.Add(time.Second)
		table.State(runner(0), 8, now)
		for n := 1; n < 6; n++ {
			table.State(runner(n), 2, now)
		}
	}
	next := runner(0)
	next.StartMillis = 2
	for _, i := range []Incarnation{next, runner(77)} {
		if e := table.Estimate(i, now); math.Abs(e.Slowness-2) > 0.2 || e.Age >= 0 {
			t.Errorf("estimate %+v of %v, want the median of 2 without evidence", e, i)
		}
	}
	table.Retain(func(string) (int64, bool) { return 0, false })
	if e := table.Estimate(runner(1), now); e != usual {
		t.Errorf("estimate %+v of a server that is gone, want none", e)
	}
}

// Load: one statement of eight times the time, then nothing for 20 s. Guards against a server that is never asked again.
func TestServerWithoutNewsReturnsToTheMedian(t *testing.T) {
	table := NewTable(testRates)
	for n := range 8 {
		table.State(runner(n), 1, begin)
	}
	judged, _ := table.State(runner(8), 8, begin)
	if judged != TurnedSlow {
		t.Errorf("judged %q after a statement of 8, want slow", judged)
	}
	before, after := table.Estimate(runner(8), begin).Slowness, table.Estimate(runner(8), begin.Add(20*time.Second)).Slowness
	if before < 6 || after > 3 {
		t.Errorf("slowness %v, and %v after 20 s, want about 8 and under 3", before, after)
	}
	for k := range 12 {
		if judged, _ = table.State(runner(8), 1, begin.Add(20*time.Second+time.Duration(k)*time.Second)); judged == TurnedFit {
			return
		}
	}
	t.Error("never judged fit again, want it after statements of 1")
}

// Load: a service of twice the starting prefill rate, with waits in its tail. Guards against rates that keep their starting
// values, follow the tail or leave their bounds.
func TestRatesAreLearnedWithinBounds(t *testing.T) {
	for _, factor := range []float64{2, 100} {
		table, random := NewTable(testRates), rand.New(rand.NewPCG(3, 1))
		table.State(runner(0), 1.5, begin)
		actual := testRates
		actual.PrefillPerMs *= factor
		for k := range 3000 {
			w := Work{Tokens: 2000 + random.IntN(4000), Running: random.IntN(8)}
			took := actual.FirstToken(w.Tokens, w.Running)
			if random.Float64() < 0.1 {
				took *= 20
			}
			table.ShowFirstEvent(runner(k%20), w, took, begin.Add(time.Duration(k)*time.Millisecond))
		}
		rates, _ := table.Rates("llm", begin.Add(3*time.Second))
		if rates.PrefillPerMs > rateBound*testRates.PrefillPerMs || rates.PrefillPerMs < 1.3*testRates.PrefillPerMs {
			t.Errorf("prefill rate %.0f tokens a ms at %.0f, want it higher than at the start and within the bound", rates.PrefillPerMs, actual.PrefillPerMs)
		}
	}
}
