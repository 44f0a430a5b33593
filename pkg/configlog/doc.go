// Package configlog decides which published change sets are in force.
//
// The decision is a fold over the log stream "config": every process that has applied the same records
// holds the same objects, versions and verdicts. Publisher appends change sets and learns their verdict.
package configlog

// Stream is the name of the log stream of the configuration.
const Stream = "config"

// Format is the envelope format that the fold understands.
const Format = 1
