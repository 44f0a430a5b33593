package ctl

import (
	"encoding/json"
	"errors"
	"io"
	"strings"

	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
)

// Result is the output of a command.
type Result interface {
	// Text returns the result in human-readable form.
	Text() string
}

// ErrorView is the JSON form of a failure.
type ErrorView struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Message string `json:"message"`
	Object  string `json:"object,omitempty"`
	// Offset is the offset of the refused change set, WinningOffset that of the change that it conflicts with.
	Offset        uint64           `json:"offset,omitempty"`
	WinningOffset uint64           `json:"winning_offset,omitempty"`
	Problems      []object.Problem `json:"problems,omitempty"`
}

// errorDocument is the JSON output of a failed command.
type errorDocument struct {
	Error ErrorView `json:"error"`
}

func newErrorView(err error) ErrorView {
	f := failure.From(err)
	view := ErrorView{Code: string(f.Code), Outcome: string(f.Outcome), Message: f.Message, Object: f.Object}
	var refusal *configlog.RefusalError
	if errors.As(err, &refusal) {
		view.Offset = refusal.Entry.GetOffset()
		view.WinningOffset = refusal.Entry.GetWinningOffset()
	}
	var problems object.Problems
	if errors.As(err, &problems) {
		view.Problems = problems
	} else if cause := f.Unwrap(); cause != nil {
		view.Message += ": " + cause.Error()
	}
	return view
}

// errorText returns one line per validation problem, or the text of the failure.
func errorText(err error) string {
	var problems object.Problems
	if errors.As(err, &problems) {
		return problems.Error() + "\n"
	}
	return "ferryctl: " + strings.TrimSpace(failure.From(err).Error()) + "\n"
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return failure.Wrap(failure.Internal, failure.NotRun, "result cannot be written", err)
	}
	return nil
}
