package engine

import (
	"slices"
	"time"
)

const (
	// prefillChunkTokens limits the prompt tokens computed in one step, so that a long prompt does not stall the other
	// requests.
	prefillChunkTokens = 1024
	// batchSlowdown is the extra time of a decode step with a full batch, as a fraction of the time with one request.
	batchSlowdown = 0.5
)

// batch is the state of continuous batching: jobs enter and leave between steps. Callers must hold Server.mu.
type batch struct {
	config  Config
	waiting []*job
	running []*job
}

// add inserts a job into the waiting queue, ordered by descending priority, then by arrival.
func (b *batch) add(j *job) {
	at, _ := slices.BinarySearchFunc(b.waiting, j, func(have, added *job) int {
		if have.priority > added.priority || have.priority == added.priority && have.arrival < added.arrival {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, j)
}

// admit removes cancelled jobs and fills the batch from the waiting queue. It reports whether any job is running.
func (b *batch) admit() bool {
	b.waiting = slices.DeleteFunc(b.waiting, (*job).cancelled)
	b.running = slices.DeleteFunc(b.running, (*job).cancelled)
	for len(b.running) < b.config.MaxRunning && len(b.waiting) > 0 {
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
	return len(b.running) > 0
}

// step performs the prefill of one step. It returns the simulated duration of the step, decoding included, and the jobs
// whose prompt is complete after it. The tokens of the step are sent by emit.
func (b *batch) step() (time.Duration, []*job) {
	budget := prefillChunkTokens
	var prefilled []*job
	decoding := 0
	for _, j := range b.running {
		if j.prefillLeft == 0 {
			decoding++
			continue
		}
		part := min(j.prefillLeft, budget)
		j.prefillLeft -= part
		budget -= part
		if j.prefillLeft == 0 {
			prefilled = append(prefilled, j)
		}
	}
	seconds := float64(prefillChunkTokens-budget) / b.config.PrefillRate
	if decoding > 0 {
		seconds += 1 / b.decodeRate(decoding)
	}
	return time.Duration(seconds * float64(time.Second)), prefilled
}

// emit sends one token of every running job whose prefill is complete, and removes finished jobs.
func (b *batch) emit() {
	for _, j := range b.running {
		if j.prefillLeft > 0 {
			continue
		}
		if !j.finished() {
			j.tokens <- j.nextToken
			j.nextToken++
		}
		if j.finished() {
			close(j.tokens)
		}
	}
	b.running = slices.DeleteFunc(b.running, (*job).finished)
}

// abortModel aborts and removes all waiting and running jobs of a model and returns their number.
func (b *batch) abortModel(model string) int {
	count := 0
	drop := func(j *job) bool {
		if j.model != model {
			return false
		}
		close(j.aborted)
		count++
		return true
	}
	b.waiting = slices.DeleteFunc(b.waiting, drop)
	b.running = slices.DeleteFunc(b.running, drop)
	return count
}

// decodeRate returns the tokens per second of each request in a batch of the given size.
func (b *batch) decodeRate(running int) float64 {
	fill := float64(max(running, 1)-1) / float64(b.config.MaxRunning)
	return b.config.DecodeRate / (1 + batchSlowdown*fill)
}
