// Package placement decides which runner holds which model.
//
// Fold replays the placement stream: every process may append any record, and the fold accepts or refuses
// it by a rule that looks only at earlier records. Plan and Ledger are pure decisions of one agent.
package placement
