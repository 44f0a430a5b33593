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

// The retry budget of each entry host: 10% of its requests plus 3 retries per second, and a burst of 20. See section 7 of
// the design.
const (
	budgetRatio     = 0.1
	budgetPerSecond = 3
	budgetBurst     = 20
	// loadDuration is long enough that unlimited retries would exceed the budget including its burst.
	loadDuration = 4 * time.Second
)

// Guards against retries that multiply the load on the remaining runners when a third of them, or all, fail.
func TestRetriesStayWithinBudget(t *testing.T) {
	c := start(t, smallSpec())
	for _, test := range []struct {
		name         string
		selected     func(*cluster.Cluster) []*cluster.Runner
		inject, heal func(*cluster.Cluster, *cluster.Runner)
		// minFailures is the number of failed attempts that the case needs to be conclusive.
		minFailures float64
	}{
		{"agents of a third killed", busiestDomainRunners, killAgent, startAgent, 1},
		{"engines of a third refuse", busiestDomainRunners, backendSwitches(faults.Switches{Refuse: true}), backendSwitches(faults.Switches{}), 100},
		{"all engines refuse", allRunners, backendSwitches(faults.Switches{Refuse: true}), backendSwitches(faults.Switches{}), 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			failing := test.selected(c)
			applyToFailing := func(act func(*cluster.Cluster, *cluster.Runner)) {
				forEach(func(*cluster.Cluster) []*cluster.Runner { return failing }, act)(c)
			}
			before := scrapeEntries(t, c)
			var rec recorder
			stopLoad := startGenerations(c, &rec)
			time.Sleep(loadDuration / 4)
			start := time.Now()
			applyToFailing(test.inject)
			time.Sleep(loadDuration)
			stopLoad()
			seconds := time.Since(start).Seconds()
			applyToFailing(test.heal)
			after := scrapeEntries(t, c)
			requests := after.requests - before.requests
			attempts := after.attempts - before.attempts
			failures := after.failures - before.failures
			hosts := float64(len(c.Entries))
			bound := requests*(1+budgetRatio) + hosts*(budgetPerSecond*(seconds+loadDuration.Seconds()/4)+budgetBurst)
			t.Logf("%.0f requests, %.0f attempts (bound %.0f), %.0f failed", requests, attempts, bound, failures)
			if attempts > bound {
				t.Errorf("attempts for %.0f requests: %.0f, want at most %.0f", requests, attempts, bound)
			}
			if requests < 1000 || failures < test.minFailures {
				t.Errorf("requests: %.0f, failed attempts: %.0f, want at least 1000 and %.0f", requests, failures, test.minFailures)
			}
			must(t, c.WaitReady(context.Background(), readyTimeout))
			waitCopies(t, c)
			rec.checkOutcomes(t, countRuns(t, c))
		})
	}
}

// busiestDomainRunners returns the two model runners, a third of all, of the failure domain with the most ready copies.
// The floor copies of a model are in two failure domains, so every model keeps a ready copy when these runners fail.
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

// startGenerations sends short generations from 24 callers until the returned function is called.
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

// entryMetrics are metrics summed over all entry hosts.
type entryMetrics struct {
	requests, attempts, failures, resumes float64
}

func scrapeEntries(t *testing.T, c *cluster.Cluster) entryMetrics {
	t.Helper()
	var sum entryMetrics
	for _, e := range c.Entries {
		sums := scrapeMetrics(t, "http://"+e.AdminAddress+"/metrics")
		sum.requests += sums["ferry_entry_requests_total"]
		sum.attempts += sums["ferry_entry_attempts_total"]
		sum.failures += sums["ferry_entry_attempt_failures_total"]
		sum.resumes += sums["ferry_entry_resumes_total"]
	}
	return sum
}

// scrapeMetrics returns the metrics at url by name, summed over their labels.
func scrapeMetrics(t *testing.T, url string) map[string]float64 {
	t.Helper()
	resp, err := http.Get(url)
	must(t, err)
	defer func() { _ = resp.Body.Close() }()
	sums := map[string]float64{}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		name, _, _ := strings.Cut(scanner.Text(), "{")
		name, _, _ = strings.Cut(name, " ")
		fields := strings.Fields(scanner.Text())
		if value, err := strconv.ParseFloat(fields[len(fields)-1], 64); err == nil {
			sums[name] += value
		}
	}
	return sums
}
