// Package availability keeps what servers say in their responses about taking requests. Decisions read no clock and no
// network.
package availability
