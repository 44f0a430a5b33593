// Package bytebudget bounds the bytes of other programs that a process holds at a time, over all connections: heads, bodies
// and events without end, each of which is bounded by itself as well.
package bytebudget
