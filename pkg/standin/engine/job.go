package engine

import "context"

// job is one generation in the batch.
type job struct {
	ctx      context.Context
	id       string
	model    string
	adapter  string
	chat     bool
	priority int32
	prompt   string
	// prefixes are the hashes of the prompt's blocks.
	prefixes []uint64
	// prefill is the number of prompt and resumed tokens still to be computed.
	prefill int
	// next is the index of the next token; total is the length of the whole answer.
	next  int
	total int
	// finish is the finish reason at total.
	finish string
	// arrival orders jobs of equal priority.
	arrival uint64
	// tokens receives the index of every generated token; its buffer holds all of them, so that the batch never waits.
	tokens chan int
	// cut is closed when the model is unloaded under the job.
	cut chan struct{}
}

func (j *job) gone() bool {
	return j.ctx.Err() != nil
}

func (j *job) finished() bool {
	return j.next >= j.total
}
