// Package queue is an agent's admission queue: it decides which requests are admitted and in which order they start at
// the engine.
//
// A Queue is a pure data structure: it starts no goroutine, reads no clock and is owned by one caller at a time.
// Every refusal is a failure with outcome NotRun.
package queue
