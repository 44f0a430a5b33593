// Package lease keeps one holder among the entry daemons by conditional writes to the platform's store.
//
// The state machine is pure: it maps stored records and times to the next step. Times are offsets on a clock that
// also counts while the host is suspended, so that a process that slept does not trust an old lease.
package lease
