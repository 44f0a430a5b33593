// Package quarantine finds the prompt parts that crash runners and keeps requests with them from the runners.
//
// Such requests are queries of death: each one crashes the runner that begins to respond to it, with all other requests
// there. Evidence is a record of the requests that had not got a response yet when a runner crashed, set against the
// parts that runners have survived. Decisions read no clock and no network.
package quarantine
