// Package allowance shares limits of units a second among daemons. The lease holder keeps a token bucket for each allowance
// and lends parts of it (Ledger); each daemon spends its parts without asking (Table). Decisions read no clock and no network:
// times are readings of clock.Uptime that the caller passes in.
package allowance
