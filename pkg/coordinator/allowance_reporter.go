package coordinator

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/allowance"
	"trefoilferry.example/ferry/pkg/clock"
)

// allowanceReporter tells the lease holder of this daemon's parts of shared allowances and takes over what the holder lends.
// It is not safe for concurrent use.
type allowanceReporter struct {
	// table is nil if there are no allowances.
	table *allowance.Table
	// sent are the uses in the last report.
	sent []allowance.Use
}

// wanted receives when a request begins to wait for units.
func (r *allowanceReporter) wanted() <-chan struct{} {
	if r.table == nil {
		return nil
	}
	return r.table.Wanted()
}

// interval returns the time until the next report, at most the usual one.
func (r *allowanceReporter) interval(usual time.Duration) time.Duration {
	if r.table == nil {
		return usual
	}
	r.table.SetInterval(usual)
	early, ok := r.table.NextReport(clock.Uptime())
	if !ok {
		return usual
	}
	return min(usual, max(early, minReportInterval))
}

// addTo adds what the holder has to be told now.
func (r *allowanceReporter) addTo(m *ferrypb.LoadReport, now time.Duration) {
	if r.table == nil {
		return
	}
	r.sent = r.table.Uses(now)
	for i := range r.sent {
		m.Allowances = append(m.Allowances, useToProto(&r.sent[i]))
	}
}

// apply applies the holder's view, which responds to the report that was sent at the given time.
func (r *allowanceReporter) apply(view *ferrypb.FleetView, m *ferrypb.LoadReport, sent time.Duration) {
	if r.table == nil {
		return
	}
	grants := make([]allowance.Grant, 0, len(view.Allowances))
	for _, g := range view.Allowances {
		grants = append(grants, allowance.Grant{ID: g.Id, Units: float64(g.Units), Hold: float64(g.Hold), Pace: float64(g.Pace), Reserve: float64(g.Reserve),
			Valid: millis(g.ValidMillis), Wait: millis(g.WaitMillis)})
	}
	r.table.Apply(r.sent, grants, m.Tenure != view.Tenure, view.Lends, sent)
}

func useToProto(u *allowance.Use) *ferrypb.AllowanceUse {
	m := &ferrypb.AllowanceUse{Id: u.ID, Received: uint64(u.Received), Returned: uint64(u.Returned), Available: uint64(u.Available),
		Wanted: uint64(u.Wanted), First: uint64(u.First), Spare: uint64(u.Spare), Rate: uint64(u.Rate), Gained: uint64(u.Gained)}
	for _, units := range u.Recent {
		m.Recent = append(m.Recent, uint64(units))
	}
	if m.Recent[0] == 0 && slices.Max(m.Recent) == 0 {
		m.Recent = nil
	}
	return m
}

func useFromProto(m *ferrypb.AllowanceUse) allowance.Use {
	u := allowance.Use{ID: m.Id, Received: float64(m.Received), Returned: float64(m.Returned), Available: float64(m.Available),
		Wanted: float64(m.Wanted), First: float64(m.First), Spare: float64(m.Spare), Rate: float64(m.Rate), Gained: float64(m.Gained)}
	for i := range min(len(m.Recent), len(u.Recent)) {
		u.Recent[i] = float64(m.Recent[i])
	}
	return u
}
