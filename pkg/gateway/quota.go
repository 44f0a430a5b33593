package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"trefoilferry.example/ferry/pkg/allowance"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
)

const (
	// quotaWaitShare is the part of the target latency for which a request waits until the quota of its workspace covers it;
	// the rest is for running it.
	quotaWaitShare = 0.1
	// quotaAnswerWait is how long a request waits for the lease holder to say whether the quota covers it. An answer takes
	// a report interval and a round trip to another region.
	quotaAnswerWait = 400 * time.Millisecond
	// quotaRetrySpread is the part of the time to come back by which callers are spread, so that they do not all come when
	// the quota covers one of them.
	quotaRetrySpread = 0.3
	// quotaRetryAfter is used while the lease holder is not known.
	quotaRetryAfter = 500 * time.Millisecond
)

// AllowanceName returns the name of the shared allowance of a workspace's quota.
func AllowanceName(workspace string) string { return "workspace/" + workspace }

// toleranceUsed is the part of the tolerance that is used. The rest covers units that were lent by a holder which a new one
// does not know of.
const toleranceUsed = 0.7

// QuotaBound is how the users measure the quotas of workspaces: in any time of length Window, (Rate*Window + Burst)*(1 + Excess) +
// Slack units may be used. Requests within that are owed a response.
type QuotaBound struct {
	// Window is 0 if quotas are plain token buckets.
	Window time.Duration
	Excess float64
	Slack  float64
}

// AllowanceLimits returns the limits of a configuration by the names of their allowances.
func AllowanceLimits(config *fleet.Config, bound QuotaBound) map[string]allowance.Limit {
	out := map[string]allowance.Limit{}
	for i := range config.Workspaces {
		if w := &config.Workspaces[i]; w.Quota.Limited() {
			limit := allowance.Limit{Rate: w.Quota.Rate, Burst: w.Quota.Burst, Window: bound.Window}
			if bound.Window > 0 {
				// Requests count by when they were sent, and some wait before they take their units.
				limit.Window += quotaAnswerWait
				limit.Burst += toleranceUsed*(bound.Excess*(limit.Rate*bound.Window.Seconds()+limit.Burst)+bound.Slack) - limit.Rate*quotaAnswerWait.Seconds()
				limit.Burst = max(limit.Burst, 0)
			}
			out[AllowanceName(w.Name)] = limit
		}
	}
	return out
}

// quotaWait returns how long a request with that target latency waits for units. known is set if the lease holder has told
// when there will be some.
func quotaWait(target time.Duration, known bool) time.Duration {
	wait := time.Duration(float64(target) * quotaWaitShare)
	if known {
		return wait
	}
	return max(wait, quotaAnswerWait)
}

// takeQuota deducts what the request counts from the quota of its workspace. A request that the quota does not cover soon is
// refused at once, with the time until it does.
func (f *Forwarder) takeQuota(ctx context.Context, j *job) *failure.Failure {
	if f.allowances == nil || j.workspace == nil || !j.workspace.Quota.Limited() {
		return nil
	}
	name, units := AllowanceName(j.workspace.Name), j.workspace.Quota.Units(j.meta.PromptTokens+j.meta.MaxOutputTokens)
	changed := f.allowances.Changed()
	result := f.allowances.Take(name, units, clock.Uptime())
	if !result.Taken && !quotaRefused(j, result) {
		done := f.allowances.Await(name, units)
		defer done()
		result = f.awaitQuota(ctx, j, name, units, changed)
	}
	if result.Taken {
		j.quotaUnits = units
		return nil
	}
	if fail := contextFailure(ctx); fail != nil {
		return fail
	}
	wait := result.RetryAfter
	if wait <= 0 {
		wait = quotaRetryAfter
	}
	spread := time.Duration(float64(wait) * quotaRetrySpread * rand.Float64())
	return failure.New(failure.QuotaExceeded, failure.NotRun, "the quota of workspace "+j.workspace.Name+" does not cover the request now").WithRetryAfter(wait + spread)
}

// quotaRefused reports whether a request that was not covered would wait for too long.
func quotaRefused(j *job, r allowance.Result) bool {
	return !r.Taken && r.RetryAfter > 0 && time.Since(j.arrived)+r.RetryAfter > quotaWait(j.route.TargetLatency, true)
}

// awaitQuota asks again after each answer of the lease holder, until the request is covered or would wait for too long.
// changed is closed with the first answer since the request was not covered.
func (f *Forwarder) awaitQuota(ctx context.Context, j *job, name string, units float64, changed <-chan struct{}) allowance.Result {
	limit := time.NewTimer(quotaWait(j.route.TargetLatency, false))
	defer limit.Stop()
	for {
		select {
		case <-changed:
		case <-limit.C:
			return f.allowances.Take(name, units, clock.Uptime())
		case <-ctx.Done():
			return allowance.Result{}
		}
		changed = f.allowances.Changed()
		result := f.allowances.Take(name, units, clock.Uptime())
		if result.Taken || quotaRefused(j, result) {
			return result
		}
	}
}

// takeRepeat deducts the units of a request once more, because it is sent to another server after it may have run at one: each
// run counts. It reports whether the quota covers that now.
func (f *Forwarder) takeRepeat(j *job) bool {
	return j.quotaUnits == 0 || f.allowances.Take(AllowanceName(j.workspace.Name), j.quotaUnits, clock.Uptime()).Taken
}

// returnRepeat gives back what takeRepeat took for a server that did not run the request while another one has it.
func (f *Forwarder) returnRepeat(j *job, fail *failure.Failure) {
	if j.quotaUnits > 0 && fail.Outcome == failure.NotRun {
		f.allowances.GiveBack(AllowanceName(j.workspace.Name), j.quotaUnits, clock.Uptime())
	}
}

// returnQuota gives back what a request took that was not run.
func (f *Forwarder) returnQuota(j *job) {
	if j.quotaUnits > 0 {
		f.allowances.GiveBack(AllowanceName(j.workspace.Name), j.quotaUnits, clock.Uptime())
		j.quotaUnits = 0
	}
}
