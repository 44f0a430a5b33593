// Package retry decides whether and when a failed attempt is followed by another one.
//
// The package is pure: time is passed in and random jitter comes from the backoff that the caller holds.
package retry
