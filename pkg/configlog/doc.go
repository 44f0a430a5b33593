// Package configlog publishes configuration change sets to the log and replays them into the current configuration.
//
// Whether a change set is accepted is decided by replaying the log stream "config": all processes that have applied
// the same records have the same objects, versions and verdicts. Publisher appends change sets and returns their
// verdicts.
package configlog

// Stream is the name of the configuration's log stream.
const Stream = "config"

// Format is the envelope format that Fold reads.
const Format = 1
