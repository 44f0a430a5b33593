package ctl

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// HistoryResult holds the verdicts (accepted or refused) on recent change sets, newest first.
type HistoryResult struct {
	// Source is SourceLog or SourceDaemons.
	Source  string        `json:"source"`
	Entries []HistoryView `json:"entries"`
}

// HistoryView is the JSON form of the verdict on one change set.
type HistoryView struct {
	Offset uint64 `json:"offset"`
	ID     string `json:"id"`
	Author string `json:"author"`
	// Time is taken from the publisher's clock; only the offsets order change sets.
	Time     time.Time `json:"time"`
	Accepted bool      `json:"accepted"`
	// Reason, Object and WinningOffset explain a refusal.
	Reason        string `json:"reason,omitempty"`
	Object        string `json:"object,omitempty"`
	WinningOffset uint64 `json:"winning_offset,omitempty"`
	Changes       uint32 `json:"changes"`
}

// Text returns a table with one line per verdict.
func (r *HistoryResult) Text() string {
	return sourceComment(r.Source) + table("OFFSET\tTIME\tAUTHOR\tCHANGES\tVERDICT", len(r.Entries), func(w *tabwriter.Writer, i int) {
		e := r.Entries[i]
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\n", e.Offset, e.Time.Format(time.RFC3339), e.Author, e.Changes, e.verdict())
	})
}

func (e HistoryView) verdict() string {
	if e.Accepted {
		return "accepted"
	}
	text := e.Reason
	if e.Object != "" {
		text += " at " + e.Object
	}
	if e.WinningOffset > 0 {
		text += fmt.Sprintf(", set at offset %d", e.WinningOffset)
	}
	return text
}

// History returns up to limit verdicts, newest first; a limit of 0 means all retained ones.
// Failures have code LogUnavailable or OffsetExpired.
func (c *Client) History(ctx context.Context, limit int) (*HistoryResult, error) {
	fold, source, err := c.configState(ctx)
	if err != nil {
		return nil, err
	}
	entries := fold.History()
	result := &HistoryResult{Source: source, Entries: []HistoryView{}}
	for i := len(entries) - 1; i >= 0 && (limit == 0 || len(result.Entries) < limit); i-- {
		result.Entries = append(result.Entries, newHistoryView(entries[i]))
	}
	return result, nil
}

func newHistoryView(e *ferrypb.HistoryEntry) HistoryView {
	return HistoryView{
		Offset:        e.Offset,
		ID:            e.Id,
		Author:        e.Author,
		Time:          time.UnixMilli(e.UnixMillis).UTC(),
		Accepted:      e.Accepted,
		Reason:        e.Reason,
		Object:        e.Object,
		WinningOffset: e.WinningOffset,
		Changes:       e.Changes,
	}
}

// table renders rows with aligned columns.
func table(header string, rows int, row func(w *tabwriter.Writer, i int)) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	for i := range rows {
		row(w, i)
	}
	_ = w.Flush()
	return b.String()
}
