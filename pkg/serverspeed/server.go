package serverspeed

import (
	"math"
	"time"
)

const (
	// statedHalfLife is how fast a statement loses to the mean of the earlier ones: machines turn slow and fit again within
	// 600 ms, so that an older statement tells little more than the mean.
	statedHalfLife = 350 * time.Millisecond
	// meanMinGain is the least share of a statement in the mean, so that a server that turns slow for good is known to be
	// after a few statements.
	meanMinGain = 0.12
	// meanHalfLife is how fast a mean without new evidence goes back to the median of the service: a server that gets
	// nothing is asked again.
	meanHalfLife = 20 * time.Second
	// shownMinGain is the least share of an answer in the correction of the statements by answers, shownPrior the number of
	// answers that the initial value counts as.
	shownMinGain = 0.05
	shownPrior   = 4
	// shownErrorLimit bounds the influence of one answer, as a logarithm: times to the first event have a long tail.
	shownErrorLimit = 0.7
	// spreadGain is the share of the newest deviation in the spread.
	spreadGain = 0.1
	// MinSlowness and MaxSlowness bound an estimate, so that no statement or answer keeps a server from all requests.
	MinSlowness = 0.25
	MaxSlowness = 8.0
	// maxShown bounds the correction of the statements by answers, either way.
	maxShown = 4.0
)

// server is what is known of one incarnation. Statements and answers are kept apart: the statement is how the machine works
// now, and answers show how far the statements of this server are true.
type server struct {
	incarnation Incarnation
	// stated is the newest statement, made at statedAt, 0 for none; statedMean is the mean of statements.
	stated     float64
	statedAt   time.Time
	statedMean float64
	statements int
	// shown is the logarithm of what answers took beside what the statements had them expected to take.
	shown   float64
	answers int
	// spread is the mean absolute deviation of the logarithms of single answers.
	spread float64
	// evidenceAt is when the newest statement or answer came; the zero time for none.
	evidenceAt time.Time
	slow       bool
}

func newServer(i Incarnation, median float64) *server {
	return &server{incarnation: i, statedMean: median}
}

// mean returns the slowness without the statement of the moment. It goes back to the median of the service with its age.
func (s *server) mean(median float64, now time.Time) float64 {
	own := s.statedMean * math.Exp(s.shown)
	if s.evidenceAt.IsZero() {
		return clamp(own)
	}
	return clamp(median + (own-median)*fade(now.Sub(s.evidenceAt), meanHalfLife))
}

func (s *server) estimate(median float64, now time.Time) Estimate {
	if s.evidenceAt.IsZero() {
		return Estimate{Slowness: clamp(s.statedMean), Mean: clamp(s.statedMean), Age: -1, Spread: 1}
	}
	mean := s.mean(median, now)
	current := mean
	if s.stated > 0 {
		current += (s.stated*math.Exp(s.shown) - mean) * fade(now.Sub(s.statedAt), statedHalfLife)
	}
	return Estimate{Slowness: clamp(current), Mean: mean, Age: max(now.Sub(s.evidenceAt), 0), Spread: math.Exp(s.spread)}
}

// state records a statement.
func (s *server) state(slowness float64, now time.Time) {
	slowness = clamp(slowness)
	s.statements++
	s.statedMean += (slowness - s.statedMean) * max(1/float64(s.statements+1), meanMinGain)
	s.stated, s.statedAt, s.evidenceAt = slowness, now, now
}

// show records that an answer took the given multiple of what was expected of a server as usual.
func (s *server) show(multiple, median float64, now time.Time) {
	err := math.Log(clamp(multiple)) - math.Log(s.estimate(median, now).Slowness)
	s.spread += (math.Abs(err) - s.spread) * spreadGain
	err = min(max(err, -shownErrorLimit), shownErrorLimit)
	s.answers++
	s.shown += err * max(1/float64(s.answers+shownPrior), shownMinGain)
	s.shown = min(max(s.shown, -math.Log(maxShown)), math.Log(maxShown))
	s.evidenceAt = now
}

// judge updates what the server counts as.
func (s *server) judge(median float64, now time.Time) Judgement {
	switch mean := s.mean(median, now); {
	case !s.slow && mean > slowFactor*median:
		s.slow = true
		return TurnedSlow
	case s.slow && mean < fitFactor*median:
		s.slow = false
		return TurnedFit
	}
	return Unchanged
}

// fade returns the share that is left after an age.
func fade(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}

func clamp(slowness float64) float64 { return min(max(slowness, MinSlowness), MaxSlowness) }
