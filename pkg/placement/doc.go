// Package placement decides which runner loads which model.
//
// Fold replays the placement stream. Any process may append any record; the fold accepts or refuses it by rules that
// depend only on earlier records. Plan and Ledger make the decisions of one agent; they do no I/O.
package placement
