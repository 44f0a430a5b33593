package configlog

import (
	"strconv"

	"trefoilferry.example/ferry/api/ferrypb"
)

// RefusalError is the cause of failures with code PublishConflict or PublishInvalid; use errors.As to get it.
type RefusalError struct {
	// Entry is the recorded verdict.
	Entry *ferrypb.HistoryEntry
}

// Error returns a message with the offset of the refused change set.
func (r *RefusalError) Error() string {
	return "change set at offset " + strconv.FormatUint(r.Entry.GetOffset(), 10) + " refused"
}
