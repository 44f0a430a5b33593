package engine

import "context"

// job is one generation, waiting or running.
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
	// prefillLeft is the number of prompt and resumed tokens that remain to be computed.
	prefillLeft int
	// nextToken is the index of the next token to generate; totalTokens is the length of the complete response,
	// including resumed tokens.
	nextToken   int
	totalTokens int
	// finishReason is the finish reason of the response when it reaches totalTokens.
	finishReason string
	// arrival is the sequence number of the job; it orders jobs of equal priority.
	arrival uint64
	// tokens receives the index of every generated token and is closed after the last one. Its buffer has room for all
	// tokens, so that the batch never blocks on a slow client.
	tokens chan int
	// aborted is closed if the model is unloaded before the job has finished.
	aborted chan struct{}
}

func (j *job) cancelled() bool {
	return j.ctx.Err() != nil
}

func (j *job) finished() bool {
	return j.nextToken >= j.totalTokens
}
