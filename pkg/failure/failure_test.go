package failure

import (
	"errors"
	"io"
	"net/http"
	"testing"
)

// Guards against a failure that loses its cause, code or outcome when other errors wrap it.
func TestWrapKeepsCauseAndCode(t *testing.T) {
	err := errors.Join(io.EOF, Wrap(ConnectionLost, Unknown, "stream broke", io.ErrUnexpectedEOF))
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("errors.Is(%v, io.ErrUnexpectedEOF) = false, want true", err)
	}
	if !HasCode(err, ConnectionLost) {
		t.Fatalf("HasCode(%v, %s) = false, want true", err, ConnectionLost)
	}
	if From(err).Outcome != Unknown {
		t.Fatalf("outcome of %v: %s, want %s", err, From(err).Outcome, Unknown)
	}
}

// Guards against an unrecognized outcome name that is parsed as not_run, which would allow the request to run twice.
func TestParseOutcomeDefaultsToUnknown(t *testing.T) {
	tests := map[string]Outcome{"not_run": NotRun, "ran": Ran, "unknown": Unknown, "": Unknown, "NOT_RUN": Unknown}
	for name, want := range tests {
		if got := ParseOutcome(name); got != want {
			t.Errorf("ParseOutcome(%q) = %q, want %q", name, got, want)
		}
	}
}

// Guards against an untyped error that is reported to callers as a success or as not run.
func TestFromPlainError(t *testing.T) {
	f := From(io.EOF)
	if f.Outcome != Unknown || f.Code.Status() != http.StatusInternalServerError {
		t.Fatalf("From(io.EOF): outcome %s and status %d, want %s and %d", f.Outcome, f.Code.Status(), Unknown, http.StatusInternalServerError)
	}
}
