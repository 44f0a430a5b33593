package failure

import (
	"errors"
	"io"
	"net/http"
	"testing"
)

// Guards against a failure that loses its cause or its code when it is wrapped by other errors.
func TestWrapKeepsCauseAndCode(t *testing.T) {
	err := errors.Join(io.EOF, Wrap(ConnectionLost, Unknown, "stream broke", io.ErrUnexpectedEOF))
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal("cause is lost")
	}
	if !HasCode(err, ConnectionLost) {
		t.Fatal("code is lost")
	}
	if From(err).Outcome != Unknown {
		t.Fatal("outcome is lost")
	}
}

// Guards against an unknown outcome name that is read as not_run and so permits a second run.
func TestParseOutcomeDefaultsToUnknown(t *testing.T) {
	tests := map[string]Outcome{"not_run": NotRun, "ran": Ran, "unknown": Unknown, "": Unknown, "NOT_RUN": Unknown}
	for name, want := range tests {
		if got := ParseOutcome(name); got != want {
			t.Errorf("ParseOutcome(%q) = %q, want %q", name, got, want)
		}
	}
}

// Guards against a plain error that reaches callers as a success or as not run.
func TestFromPlainError(t *testing.T) {
	f := From(io.EOF)
	if f.Outcome != Unknown || f.Code.Status() != http.StatusInternalServerError {
		t.Fatalf("got %v with status %d", f, f.Code.Status())
	}
}
