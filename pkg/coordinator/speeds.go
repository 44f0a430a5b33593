package coordinator

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// applySpeeds records what runners stated to a daemon; the caller holds mu.
func (c *Coordinator) applySpeeds(report *ferrypb.LoadReport, now time.Time) {
	for _, s := range decodeSpeeds(report.Speeds, now) {
		// The number of entries is bounded by that of the runners, whatever a message holds.
		if c.indexTaken[s.index] {
			c.speeds.Record(s.index, s.slowness, s.at, now)
		}
	}
}

// addSpeeds adds what changed since the daemon's report before, the zero time for none.
func (c *Coordinator) addSpeeds(out *ferrypb.FleetView, previous, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var news []statedSpeed
	c.speeds.News(previous, now, func(index uint32, slowness float64, at time.Time) {
		if c.indexTaken[index] {
			news = append(news, statedSpeed{index: index, slowness: slowness, at: at})
		}
	})
	out.Speeds = encodeSpeeds(news, time.Now())
}
