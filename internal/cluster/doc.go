// Package cluster starts whole systems of daemons and stand-ins as processes on loopback. The demo, the integration tests
// and the load tool use it.
package cluster
