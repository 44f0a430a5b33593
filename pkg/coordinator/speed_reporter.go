package coordinator

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/gateway"
)

// speedReporter tells the lease holder what runners stated to this daemon about their speed, and takes over what they
// stated to others. A report that is lost is not repeated, as the next statements are worth more.
type speedReporter struct {
	tracker *gateway.Tracker
	log     *eventlog.Logger
}

// addTo adds the statements since the last report.
func (r *speedReporter) addTo(m *ferrypb.LoadReport, view *runnerView, now time.Time) {
	var news []statedSpeed
	for _, s := range r.tracker.TakeSpeedNews() {
		if index, ok := view.indexes[s.Server]; ok {
			news = append(news, statedSpeed{index: index, slowness: s.Slowness, at: s.At})
		}
	}
	m.Speeds = encodeSpeeds(news, now)
}

// apply records what runners stated to other daemons.
func (r *speedReporter) apply(m *ferrypb.FleetView, view *runnerView, servers map[string]fleet.Server, now time.Time) {
	for _, s := range decodeSpeeds(m.Speeds, now) {
		server, ok := servers[view.names[s.index]]
		// A statement that came before a server started again says nothing of the present incarnation.
		if !ok || view.holdings[server.ID].BornMillis != server.StartMillis {
			continue
		}
		r.tracker.HearSpeed(&server, s.slowness, s.at, now, r.log)
	}
}
