package routing

import "time"

// Filter leaves out candidates and keeps the order of the others.
type Filter interface {
	Filter(q *Query, candidates []Candidate) []Candidate
}

// Chooser selects at most limit candidates.
type Chooser interface {
	Choose(q *Query, candidates []Candidate, limit int) []Candidate
}

// Scorer rates a candidate as a time; scores of several scorers are added and lower is better.
type Scorer interface {
	Score(q *Query, c Candidate) time.Duration
}

// Picker takes one of at least one scored candidates.
type Picker interface {
	Pick(q *Query, scored []Scored) Candidate
}

// Scored is a candidate with its score.
type Scored struct {
	Candidate Candidate
	Score     time.Duration
}
