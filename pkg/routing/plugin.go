package routing

import "time"

// Filter excludes candidates or, like RegionFilter, reorders them.
type Filter interface {
	Filter(q *Query, candidates []Candidate) []Candidate
}

// Chooser selects candidates, at most limit of them if they are to be probed.
type Chooser interface {
	Choose(q *Query, candidates []Candidate, limit int) []Candidate
}

// Scorer rates a candidate with a duration. A policy adds the scores of its scorers; lower is better.
type Scorer interface {
	Score(q *Query, c Candidate) time.Duration
}

// Picker picks one of the scored candidates, of which there must be at least one.
type Picker interface {
	Pick(q *Query, scored []Scored) Candidate
}

// Scored is a candidate with its score.
type Scored struct {
	Candidate Candidate
	Score     time.Duration
}
