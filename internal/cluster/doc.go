// Package cluster runs the daemons and stand-ins as processes on loopback for the demo, the integration tests and the load tool.
package cluster
