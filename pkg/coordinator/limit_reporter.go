package coordinator

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

// limitReporter reports the requests to servers that name a limit, and passes on those of all daemons. It is not safe for
// concurrent use.
type limitReporter struct {
	table *serverlimit.Table
	// tenure is that of the holder that sent the last view.
	tenure int64
	// sent are the reports that the holder has not answered.
	sent []serverlimit.Report
}

// addTo adds the requests that the holder does not know of.
func (r *limitReporter) addTo(m *ferrypb.LoadReport, now time.Time) {
	r.sent = r.table.Reports(now)
	for i := range r.sent {
		s := &r.sent[i]
		m.Limits = append(m.Limits, limitToProto(s.Server, s.Observation, s.Sent, s.Held, now))
	}
}

// apply applies the holder's view, which responds to the last report.
func (r *limitReporter) apply(view *ferrypb.FleetView, now time.Time) {
	if !view.ReportsTaken {
		return
	}
	r.table.Apply(r.sent, totalsFromProto(view.Limits, now), int(view.Daemons), now)
	if view.Tenure != r.tenure {
		// A new holder knows of no request before its tenure.
		r.tenure = view.Tenure
		r.table.Restart(now)
	}
}
