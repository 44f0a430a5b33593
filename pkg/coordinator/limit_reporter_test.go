package coordinator

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

// Guards against a new lease holder whose first totals, which hold next to no requests yet, make all daemons send as if a
// used limit were free.
func TestFirstTotalsOfANewHolderFreeNoLimit(t *testing.T) {
	// A fifth of what the known requests leave is 0.13 of a request; with this lot it takes half of one.
	table := serverlimit.NewTable(func() float64 { return 0.5 })
	r := &limitReporter{table: table}
	now := time.Unix(1000, 0)
	view := func(tenure int64, sent uint32) {
		r.apply(&ferrypb.FleetView{ReportsTaken: true, Tenure: tenure, Daemons: 5, Limits: []*ferrypb.ServerLimit{{Server: "s", MilliRate: 4200, Sent: sent}}}, now)
	}
	for range 30 {
		view(1, 9)
		now = now.Add(60 * time.Millisecond)
	}
	if table.Allows("s", false, now) {
		t.Fatal("a request is sent to a server whose limit is used")
	}
	view(2, 0)
	if table.Allows("s", false, now) {
		t.Error("a request is sent to a server whose limit is used, after the first totals of a new holder")
	}
}
