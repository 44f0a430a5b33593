package coordinator

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/availability"
)

// maxReportedMarks bounds the leaving servers in one report; the others follow in the next ones.
const maxReportedMarks = 32

// leavingReporter tells the lease holder which servers have said to this daemon that they leave, once in each tenure, and
// takes over what other daemons were told. It is not safe for concurrent use.
type leavingReporter struct {
	table *availability.Table
	// tenure is that of the holder that knows of the servers in told.
	tenure int64
	told   map[availability.Incarnation]bool
	// sent are the servers in the last report.
	sent []availability.Mark
}

// addTo adds the servers of which the holder has not been told.
func (r *leavingReporter) addTo(m *ferrypb.LoadReport, now time.Time) {
	r.sent = r.table.Marks(func(mark availability.Mark) bool { return !r.told[mark.Server] })
	r.sent = r.sent[:min(len(r.sent), maxReportedMarks)]
	for i := range r.sent {
		m.Leaving = append(m.Leaving, markToProto(&r.sent[i], now))
	}
}

// apply applies the holder's view, which responds to the last report. Servers that are not known any more are forgotten.
func (r *leavingReporter) apply(view *ferrypb.FleetView, now time.Time) {
	if !view.ReportsTaken {
		return
	}
	told := map[availability.Incarnation]bool{}
	for _, mark := range r.table.Marks(func(mark availability.Mark) bool { return view.Tenure == r.tenure && r.told[mark.Server] }) {
		told[mark.Server] = true
	}
	for _, mark := range r.sent {
		told[mark.Server] = true
	}
	for _, m := range view.Leaving {
		mark := markFromProto(m, now)
		recordMark(r.table, &mark, "lease holder")
		told[mark.Server] = true
	}
	r.tenure, r.told = view.Tenure, told
}
