// Package capacity measures the processor time, memory and control traffic of one daemon in a system of a given size.
//
// Only the measured daemon runs as a real process. The log and the host list hold the records of the whole system, and
// one server responds for all other hosts, so that one machine can simulate large systems.
package capacity
