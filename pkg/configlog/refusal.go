package configlog

import (
	"strconv"

	"trefoilferry.example/ferry/api/ferrypb"
)

// Refusal is the cause of a failure with code PublishConflict or PublishInvalid; errors.As finds it.
type Refusal struct {
	// Entry is the recorded verdict.
	Entry *ferrypb.HistoryEntry
}

// Error names the offset of the refused change set.
func (r *Refusal) Error() string {
	return "change set at offset " + strconv.FormatUint(r.Entry.GetOffset(), 10) + " refused"
}
