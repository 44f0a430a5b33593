// Package retry decides whether and when a request is retried after a failed attempt.
//
// Decisions and budgets read no clock and no random source: the caller passes in the time and the backoff delay.
package retry
