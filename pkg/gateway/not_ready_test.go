package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
)

// awayConfig is a store that cannot be read.
type awayConfig struct{}

func (awayConfig) Next(context.Context, time.Duration) (*fleet.Config, error) {
	return nil, failure.New(failure.LogUnavailable, failure.NotRun, "away")
}

// patientCodec states a deadline of six seconds for every request.
type patientCodec struct{ Codec }

func (patientCodec) Meta(http.Header) (Meta, error) {
	return Meta{RequestID: "id", Patience: 6 * time.Second}, nil
}

// Load pattern: all daemons are killed while the store is away, and callers come back once. Guards against callers that
// are told to return before the store is back and are then refused for good (5.6% of the requests on trouble-3 of
// apdd-orders-grown), and against long waits at a daemon that merely starts.
func TestCallersReturnAfterTheStore(t *testing.T) {
	control := NewControl(eventlog.Discard(), NewPace(time.Second))
	f := &Forwarder{control: control, codec: patientCodec{}, log: eventlog.Discard()}
	told := func() time.Duration {
		_, fail := f.accept(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil), time.Now())
		if fail == nil || fail.Code != failure.NotReady || ownStatus(fail) != http.StatusServiceUnavailable {
			t.Fatalf("answer %v", fail)
		}
		return retryAfter(fail)
	}
	if got := told(); got != notReadyRetry {
		t.Errorf("%v at the start, want %v", got, notReadyRetry)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	control.followConfig(ctx, awayConfig{})
	if got := told(); got != 2*time.Second {
		t.Errorf("%v while the store is away, want a third of the caller's time", got)
	}
	if got := notReadyRetryAfter(0, true); got != maxNotReadyRetry {
		t.Errorf("%v without a deadline, want %v", got, maxNotReadyRetry)
	}
}
