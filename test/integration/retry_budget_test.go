package integration

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/standin/faults"
)

// The retry budget of section 7 of the design: 10% of the requests, 3 a second and a burst of 20, at each entry host.
const (
	budgetRatio     = 0.1
	budgetPerSecond = 3
	budgetBurst     = 20
	// loadDuration is long enough that an unbounded number of retries exceeds the budget with its burst.
	loadDuration = 4 * time.Second
)

// Guards against retries that multiply the load of the remaining runners when a third of them fails.
func TestRetriesStayWithinBudget(t *testing.T) {
	c := start(t, smallSpec())
	for _, test := range []struct {
		name         string
		selected     func(*cluster.Cluster) []*cluster.Runner
		inject, heal func(*cluster.Cluster, *cluster.Runner)
		// minFailures is the number of failed attempts below which nothing is proved.
		minFailures float64
	}{
		{"agents of a third killed", busiestDomainRunners, killAgent, startAgent, 1},
		{"engines of a third refuse", busiestDomainRunners, backendSwitches(faults.Switches{Refuse: true}), backendSwitches(faults.Switches{}), 100},
		{"all engines refuse", allRunners, backendSwitches(faults.Switches{Refuse: true}), backendSwitches(faults.Switches{}), 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			failing := test.selected(c)
			apply := func(act func(*cluster.Cluster, *cluster.Runner)) {
				forEach(func(*cluster.Cluster) []*cluster.Runner { return failing }, act)(c)
			}
			before := scrapeEntries(t, c)
			var rec recorder
			stopLoad := startGenerations(c, &rec)
			time.Sleep(loadDuration / 4)
			start := time.Now()
			apply(test.inject)
			time.Sleep(loadDuration)
			stopLoad()
			seconds := time.Since(start).Seconds()
			apply(test.heal)
			after := scrapeEntries(t, c)
			requests := after.requests - before.requests
			attempts := after.attempts - before.attempts
			failures := after.failures - before.failures
			hosts := float64(len(c.Entries))
			bound := requests*(1+budgetRatio) + hosts*(budgetPerSecond*(seconds+loadDuration.Seconds()/4)+budgetBurst)
			t.Logf("%.0f requests, %.0f attempts (bound %.0f), %.0f failed", requests, attempts, bound, failures)
			if attempts > bound {
				t.Errorf("%.0f attempts for %.0f requests exceed the bound of %.0f", attempts, requests, bound)
			}
			if requests < 1000 || failures < test.minFailures {
				t.Errorf("%.0f requests and %.0f failed attempts are too few to prove anything", requests, failures)
			}
			must(t, c.WaitReady(context.Background(), readyTimeout))
			waitCopies(t, c)
			rec.checkOutcomes(t, countRuns(t, c))
		})
	}
}

// busiestDomainRunners returns the two model runners of the failure domain with the most ready copies. A model's floor copies are in
// two failure domains, so that every model keeps a holder.
func busiestDomainRunners(c *cluster.Cluster) []*cluster.Runner {
	var best []*cluster.Runner
	most := 0
	for _, region := range regions {
		var runners []*cluster.Runner
		copies := 0
		for _, r := range c.Runners {
			if r.Spec.FailureDomain != region || r.Spec.Service != "" {
				continue
			}
			runners = append(runners, r)
			for _, model := range []string{"alpha", "beta"} {
				if hasReadyCopy(c, r, model) {
					copies++
				}
			}
		}
		if copies > most {
			best, most = runners, copies
		}
	}
	return best
}

func hasReadyCopy(c *cluster.Cluster, r *cluster.Runner, model string) bool {
	status, err := c.AgentStatus(context.Background(), r)
	if err != nil {
		return false
	}
	for _, m := range status.Models {
		if m.Model == model && m.State == "ready" {
			return true
		}
	}
	return false
}

// startGenerations sends short generations until the returned function is called.
func startGenerations(c *cluster.Cluster, rec *recorder) (stop func()) {
	const callers = 24
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, callers)
	for i := range callers {
		go func() {
			defer func() { done <- struct{}{} }()
			for k := i; ctx.Err() == nil; k++ {
				reqCtx, stop := withTimeout(10 * time.Second)
				rec.generate(reqCtx, c.Entries[k%len(c.Entries)], []string{"alpha", "beta"}[k%2], 2)
				stop()
			}
		}()
	}
	return func() {
		cancel()
		for range callers {
			<-done
		}
	}
}

// entryMetrics are sums of the metrics of all entry hosts.
type entryMetrics struct {
	requests, attempts, failures, resumes float64
}

func scrapeEntries(t *testing.T, c *cluster.Cluster) entryMetrics {
	t.Helper()
	var sum entryMetrics
	for _, e := range c.Entries {
		sums := scrapeMetrics(t, "http://"+e.Admin+"/metrics")
		sum.requests += sums["ferry_entry_requests_total"]
		sum.attempts += sums["ferry_entry_attempts_total"]
		sum.failures += sums["ferry_entry_attempt_failures_total"]
		sum.resumes += sums["ferry_entry_resumes_total"]
	}
	return sum
}

// scrapeMetrics returns the metrics of a daemon, summed over their labels.
func scrapeMetrics(t *testing.T, url string) map[string]float64 {
	t.Helper()
	resp, err := http.Get(url)
	must(t, err)
	defer func() { _ = resp.Body.Close() }()
	sums := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, _, _ := strings.Cut(lines.Text(), "{")
		name, _, _ = strings.Cut(name, " ")
		fields := strings.Fields(lines.Text())
		if value, err := strconv.ParseFloat(fields[len(fields)-1], 64); err == nil {
			sums[name] += value
		}
	}
	return sums
}
