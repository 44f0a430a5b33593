package gateway

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/pkg/serverspeed"
)

const (
	// spreadShare and minSpread are the scale of the random part of a score, as a share of the usual time to the first
	// event and at least. Without it all daemons that hear of a fast server send their next requests there, and each
	// learns of the others' only with the next report.
	spreadShare = 0.2
	minSpread   = 8 * time.Millisecond
	// streamShare is the share of the expected time of a whole stream that counts beside its first event. On a slow server,
	// streams pause longer while prompts are processed between their tokens, so that long ones belong on fast servers and
	// long prompts with short answers on the others. In the simulation of noisy servers the share of late questions falls
	// from 0.164 without it to 0.113 at 0.3.
	streamShare = 0.3
)

// serviceSpeeds is what a choice among the servers of one service uses of their speeds.
type serviceSpeeds struct {
	table   *serverspeed.Table
	service string
	rates   serverspeed.Rates
	// uneven is set if the servers are known to differ. Otherwise all count as usual, and the choice is that without speeds.
	uneven bool
	scale  time.Duration
}

// speedsFor returns the speeds for a choice of a server for the request.
func (c *chooser) speedsFor(j *job, tracker *Tracker, now time.Time) *serviceSpeeds {
	s := &serviceSpeeds{table: tracker.speeds, service: j.service.Name}
	s.rates, s.uneven = s.table.Rates(s.service, now)
	if s.uneven {
		usual := plainServiceTime
		if j.needsModel() {
			usual = s.rates.Step
		}
		s.scale = max(time.Duration(spreadShare*float64(usual)), minSpread)
	}
	return s
}

// slowness returns the expected slowness of a server; 1 if the servers are not known to differ.
func (s *serviceSpeeds) slowness(view *View, server string, now time.Time) float64 {
	if !s.uneven {
		return 1
	}
	listed := view.Servers[server]
	return s.table.Estimate(speedKey(&listed), now).Slowness
}

// spread returns the random part of the score of a server, 0 if the servers are not known to differ. With the lowest sum
// of score and random part, servers are drawn with a probability that falls by e with each scale of their score. The same
// request draws the same values, so that a choice can be repeated.
func (s *serviceSpeeds) spread(j *job, server string) time.Duration {
	if !s.uneven {
		return 0
	}
	draw := (float64(xxhash.Sum64String(j.meta.RequestID+"\x00"+server)>>11) + 0.5) / (1 << 53)
	return time.Duration(float64(s.scale) * math.Log(-math.Log(1-draw)))
}

// streamCost returns what the time of the whole response counts for at a server, by its mean slowness, as a stream outlasts
// what the server states for a moment; 0 if the servers are not known to differ.
func (s *serviceSpeeds) streamCost(j *job, view *View, server string, now time.Time) time.Duration {
	if !s.uneven || !j.needsModel() {
		return 0
	}
	listed := view.Servers[server]
	mean := s.table.Estimate(speedKey(&listed), now).Mean
	return time.Duration(streamShare * float64(expectedOutput(&j.meta)) * float64(s.rates.Step) * mean)
}
