// Package lease elects one holder among the entry daemons by conditional writes to the platform's store.
//
// A tenure is the time from when a daemon takes the lease until it loses or releases it. Every tenure has its own
// fencing token, so that backend servers can reject orders of an earlier tenure.
//
// The state machine does no I/O and reads no clock: it maps stored records and times to the next step. Times are
// offsets on a clock that also counts while the host is suspended, so that a process resumed from suspension does not
// trust an expired lease.
package lease
