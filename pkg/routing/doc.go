// Package routing chooses the runner that serves a request.
//
// Filters exclude candidates, the chooser selects the few that are probed, scorers rate them and a picker takes one.
// The plugins read no clock and no global random source: both are part of the query.
package routing
