package serverspeed

import (
	"math"
	"time"
)

const (
	// statedHalfLife is how fast a statement loses to the mean of the earlier ones: machines turn slow and fit again within
	// 600 ms, so that an older statement tells little more than the mean.
	statedHalfLife = 350 * time.Millisecond
	// meanTime is the time over which the mean of the statements is taken, meanPrior the time that the initial value counts
	// for and meanStep the longest time that one statement counts for. The mean is over time, as statements come in bursts.
	meanTime  = 4 * time.Second
	meanPrior = 500 * time.Millisecond
	meanStep  = time.Second
	// meanHalfLife is how fast a mean without new evidence goes back to the median of the service: a server that gets
	// nothing is asked again.
	meanHalfLife = 20 * time.Second
	// shownMinGain is the least share of an answer in the correction of the statements by answers, shownPrior the number of
	// answers that the initial value counts as.
	shownMinGain = 0.05
	shownPrior   = 2
	// shownMargin is what answers have to differ from the statements, as a logarithm, before they correct them: what waits at
	// a server is not all known, and the noise of that must not blur statements that are exact.
	shownMargin = 0.45
	// shownErrorLimit bounds the influence of one answer, as a logarithm: times to the first event have a long tail.
	shownErrorLimit = 1
	// spreadGain is the share of the newest deviation in the spread.
	spreadGain = 0.1
	// minSlowness and maxSlowness bound an estimate, so that no statement or answer keeps a server from all requests.
	minSlowness = 0.25
	maxSlowness = 8.0
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
	// seen is the time that statedMean covers.
	seen time.Duration
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
	return &server{incarnation: i, statedMean: median, seen: meanPrior}
}

// mean returns the slowness without the statement of the moment. It goes back to the median of the service with its age.
func (s *server) mean(median float64, now time.Time) float64 {
	own := s.statedMean * s.correction()
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
		current += (s.stated*s.correction() - mean) * fade(now.Sub(s.statedAt), statedHalfLife)
	}
	return Estimate{Slowness: clamp(current), Mean: mean, Age: max(now.Sub(s.evidenceAt), 0), Spread: math.Exp(s.spread)}
}

// correction returns the factor by which the answers correct the statements: none up to shownMargin, all from twice as much.
func (s *server) correction() float64 {
	trust := min(max(math.Abs(s.shown)/shownMargin-1, 0), 1)
	return math.Exp(trust * s.shown)
}

// state records a statement made at a time. One that is older than the newest changes nothing.
func (s *server) state(slowness float64, at time.Time) {
	if !at.After(s.statedAt) {
		return
	}
	step := meanPrior
	if !s.statedAt.IsZero() {
		step = min(at.Sub(s.statedAt), meanStep)
	}
	s.seen = min(s.seen+step, meanTime)
	slowness = clamp(slowness)
	s.statedMean += (slowness - s.statedMean) * float64(step) / float64(s.seen)
	s.stated, s.statedAt = slowness, at
	if at.After(s.evidenceAt) {
		s.evidenceAt = at
	}
}

// show records that an answer took the given multiple of what was expected of a server as usual.
func (s *server) show(multiple, median float64, now time.Time) {
	err := math.Log(clamp(multiple)) - math.Log(s.estimate(median, now).Slowness/s.correction()) - s.shown
	s.spread += (math.Abs(err) - s.spread) * spreadGain
	err = min(max(err, -shownErrorLimit), shownErrorLimit)
	s.answers++
	s.shown += err * max(1/float64(s.answers+shownPrior), shownMinGain)
	s.shown = min(max(s.shown, -math.Log(maxShown)), math.Log(maxShown))
	if now.After(s.evidenceAt) {
		s.evidenceAt = now
	}
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

func clamp(slowness float64) float64 { return min(max(slowness, minSlowness), maxSlowness) }
