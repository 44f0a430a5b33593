package gateway

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/serverlimit"
)

// Guards against two requests that are chosen for the same free place within the limit of a server, before the first of
// them is counted: requests that wait are chosen all at once when one of them may be sent. A request that is refused after
// its choice must not keep the place.
func TestChosenRequestKeepsItsPlaceWithinALimit(t *testing.T) {
	const busy, granted, alone = "new requests", "waiting requests", "without a total"
	for _, name := range []string{busy, granted, alone} {
		at := time.Unix(1000, 0)
		limits := serverlimit.NewTable(func() float64 { return 0 })
		c, view, j := testChooser(), modelView(1), modelJob("id", "", 10, 10)
		c.limits, j.held = limits, name == granted
		total := serverlimit.Total{Server: "r0", Observation: serverlimit.Observation{Rate: 4, At: at}}
		switch name {
		case busy:
			total.Sent = 8
		case granted:
			total.Sent, total.Held, total.Granted = 8, 3, 1
		}
		limits.Apply(nil, []serverlimit.Total{total}, 9, at)
		if name == alone {
			// Nine daemons share the nine requests that the server takes in two seconds.
			at = at.Add(3 * time.Second)
		}
		chosen := func(at time.Time) bool {
			_, ok := c.choose(j, view, NewTracker(), at)
			return ok
		}
		if !chosen(at) || chosen(at.Add(time.Millisecond)) {
			t.Errorf("%s: want the place chosen once", name)
		}
		at = at.Add(50 * time.Millisecond)
		if !chosen(at) {
			t.Errorf("%s: the place is not free again after a request that was not sent", name)
		}
		limits.RecordSend("r0", at)
		if chosen(at) || chosen(at.Add(50*time.Millisecond)) {
			t.Errorf("%s: the place of a request that was sent is chosen again", name)
		}
	}
}
