package engine

import (
	"slices"
	"time"
)

const (
	// prefillChunk bounds the prompt tokens of one step, so that a long prompt does not stop the other requests.
	prefillChunk = 1024
	// batchSlowdown is how much longer a step takes with a full batch than with one request.
	batchSlowdown = 0.5
)

// batch is the state of continuous batching: jobs enter and leave between steps.
type batch struct {
	config  Config
	waiting []*job
	running []*job
}

// add queues a job by priority, then arrival.
func (b *batch) add(j *job) {
	at, _ := slices.BinarySearchFunc(b.waiting, j, func(have, added *job) int {
		if have.priority > added.priority || have.priority == added.priority && have.arrival < added.arrival {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, j)
}

// admit drops jobs whose client has gone and fills the batch. It reports whether there is work.
func (b *batch) admit() bool {
	b.waiting = slices.DeleteFunc(b.waiting, (*job).gone)
	b.running = slices.DeleteFunc(b.running, (*job).gone)
	for len(b.running) < b.config.MaxRunning && len(b.waiting) > 0 {
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
	return len(b.running) > 0
}

// step advances every running job and returns how long that takes and the jobs that finished their prompt in it.
func (b *batch) step() (time.Duration, []*job) {
	budget := prefillChunk
	var prefilled []*job
	decoding := 0
	for _, j := range b.running {
		if j.prefill == 0 {
			decoding++
			continue
		}
		part := min(j.prefill, budget)
		j.prefill -= part
		budget -= part
		if j.prefill == 0 {
			prefilled = append(prefilled, j)
		}
	}
	seconds := float64(prefillChunk-budget) / b.config.PrefillRate
	if decoding > 0 {
		seconds += 1 / b.decodeRate(decoding)
	}
	return time.Duration(seconds * float64(time.Second)), prefilled
}

// emit hands out one token of every job whose prompt is computed and removes finished jobs.
func (b *batch) emit() {
	for _, j := range b.running {
		if j.prefill > 0 {
			continue
		}
		if !j.finished() {
			j.tokens <- j.next
			j.next++
		}
		if j.finished() {
			close(j.tokens)
		}
	}
	b.running = slices.DeleteFunc(b.running, (*job).finished)
}

// remove takes all jobs of a model out of the batch and returns their number.
func (b *batch) remove(model string) int {
	count := 0
	drop := func(j *job) bool {
		if j.model != model {
			return false
		}
		close(j.cut)
		count++
		return true
	}
	b.waiting = slices.DeleteFunc(b.waiting, drop)
	b.running = slices.DeleteFunc(b.running, drop)
	return count
}

// decodeRate is the tokens per second of each request in a batch of the given size.
func (b *batch) decodeRate(running int) float64 {
	fill := float64(max(running, 1)-1) / float64(b.config.MaxRunning)
	return b.config.DecodeRate / (1 + batchSlowdown*fill)
}
