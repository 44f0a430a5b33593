// Package quarantine describes the crashes of runners: which requests had not got a response yet when a runner ended.
package quarantine
