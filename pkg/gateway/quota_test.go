package gateway

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/allowance"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
)

// quotaForwarder returns a forwarder with one workspace of a token quota, of which the daemon was lent units.
func quotaForwarder(units float64, wait time.Duration) (*Forwarder, func(tokens int, target time.Duration) *job) {
	config := &fleet.Config{Workspaces: []fleet.Workspace{{Name: "w", Quota: fleet.Quota{Rate: 30_000, Burst: 30_000, Unit: fleet.UnitTokens, PlainTokens: 200}}}}
	table := allowance.NewTable()
	table.SetLimits(AllowanceLimits(config, QuotaBound{}))
	id := allowance.ID(AllowanceName("w"))
	now := clock.Uptime()
	table.Apply([]allowance.Use{{ID: id}}, []allowance.Grant{{ID: id, Units: units, Valid: time.Minute, Wait: wait}}, true, true, now)
	f := &Forwarder{allowances: table}
	return f, func(tokens int, target time.Duration) *job {
		return &job{workspace: &config.Workspaces[0], arrived: time.Now(), route: &fleet.Route{TargetLatency: target}, meta: RequestMeta{PromptTokens: tokens}}
	}
}

// Load pattern: a workspace sends six times its quota and the lease holder has told when it covers more. Guards against
// requests that are held although it is known that the quota will not cover them, against a time to come back before it does,
// and against callers that all come back at once.
func TestRequestsBeyondTheQuotaAreRefusedAtOnce(t *testing.T) {
	f, request := quotaForwarder(0, 3*time.Second)
	times := map[time.Duration]bool{}
	for range 20 {
		began := time.Now()
		fail := f.takeQuota(t.Context(), request(9000, 800*time.Millisecond))
		if fail == nil || fail.Code != failure.QuotaExceeded || fail.Outcome != failure.NotRun || fail.Code.Status() != 429 {
			t.Fatalf("failure %v, want a refusal for want of quota", fail)
		}
		if held := time.Since(began); held > 100*time.Millisecond {
			t.Errorf("the request was held for %v", held)
		}
		if fail.RetryAfter < 2*time.Second {
			t.Errorf("told to come back after %v, the quota covers it after 3 s", fail.RetryAfter)
		}
		times[fail.RetryAfter.Round(time.Millisecond)] = true
	}
	if len(times) < 5 {
		t.Errorf("20 callers were told to come back at %d times", len(times))
	}
}

// Load pattern: short requests beside a daemon's first units of a quota. Guards against a request that is refused although the
// daemon has units for it, and against units of requests that never ran and stay used.
func TestUnitsOfRequestsThatDidNotRunComeBack(t *testing.T) {
	f, request := quotaForwarder(1000, 0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first := request(900, time.Second)
	if fail := f.takeQuota(ctx, first); fail != nil || first.quotaUnits != 900 {
		t.Fatalf("failure %v, %v units taken, want 900", fail, first.quotaUnits)
	}
	f.returnQuota(first)
	f.returnQuota(first)
	if fail := f.takeQuota(ctx, request(900, time.Second)); fail != nil {
		t.Errorf("the units were not given back: %v", fail)
	}
	cancel()
	if fail := f.takeQuota(ctx, request(900, time.Second)); fail == nil || fail.Code != failure.ClientCancelled {
		t.Errorf("failure %v after the caller left, want client_cancelled", fail)
	}
}

// Guards against limits beyond those by which the users measure quotas, and against quotas of workspaces without one.
func TestAllowanceLimitsStayWithinTheBound(t *testing.T) {
	config := &fleet.Config{Workspaces: []fleet.Workspace{{Name: "a", Quota: fleet.Quota{Rate: 29_000, Burst: 29_000}}, {Name: "b"}}}
	bound := QuotaBound{Window: 8 * time.Second, Excess: 0.1, Slack: 110_000}
	limits := AllowanceLimits(config, bound)
	l, ok := limits["workspace/a"]
	if len(limits) != 1 || !ok {
		t.Fatalf("limits %v, want that of workspace a alone", limits)
	}
	owed, allowed := 9*29_000.0, 9*29_000*1.1+110_000
	if most := l.Rate*l.Window.Seconds() + l.Burst; most < owed || most >= allowed {
		t.Errorf("%.0f units in 8 s, want from %.0f to less than %.0f", most, owed, allowed)
	}
	if l := AllowanceLimits(config, QuotaBound{Excess: 0.1, Slack: 110_000})["workspace/a"]; l.Burst != 29_000 || l.Window != 0 {
		t.Errorf("limit %v without a window, want the quota as it is", l)
	}
}

// Load pattern: workspaces of unlike priority compete for the same servers. Guards against ranks that servers do not know,
// against a route's rank in place of the workspace's, and against ranks where no workspaces compete.
func TestRankOfCompetingCallers(t *testing.T) {
	priority := func(n int) *int { return &n }
	for _, c := range []struct {
		name      string
		keyed     bool
		workspace *fleet.Workspace
		route     int
		want      int
	}{
		{"no workspaces", false, nil, 2, -1},
		{"public route", true, nil, 2, 2},
		{"workspace without a priority", true, &fleet.Workspace{}, 2, 2},
		{"workspace first", true, &fleet.Workspace{Priority: priority(0)}, 2, 0},
		{"more than servers know", true, &fleet.Workspace{Priority: priority(40)}, 0, 9},
		{"negative", true, nil, -3, 0},
	} {
		j := &job{keyed: c.keyed, workspace: c.workspace, route: &fleet.Route{Priority: c.route}}
		if got := j.rank(); got != c.want {
			t.Errorf("%s: rank %d, want %d", c.name, got, c.want)
		}
	}
}
