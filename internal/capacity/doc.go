// Package capacity measures what one daemon spends on control in a system of a given size.
//
// One real daemon runs as a process. The log and the host list hold the records of the whole system, and one server
// answers for every other host, so that large sizes fit on one machine.
package capacity
