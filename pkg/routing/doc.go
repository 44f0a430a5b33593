// Package routing chooses the runner that serves a request.
//
// Filters leave out candidates, the chooser selects the few that are probed, scorers rate them
// and a picker takes one. Every plugin is pure: time and random sources are part of the query.
package routing
