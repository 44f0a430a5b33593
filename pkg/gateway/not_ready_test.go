package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/bytebudget"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/verdict"
)

// unavailableConfig is a ConfigSource whose reads fail.
type unavailableConfig struct{}

func (unavailableConfig) Next(context.Context, time.Duration) (*fleet.Config, error) {
	return nil, failure.New(failure.LogUnavailable, failure.NotRun, "away")
}

// deadlineCodec is a Codec that returns a timeout of six seconds for every request.
type deadlineCodec struct{ Codec }

func (deadlineCodec) DecodeRequest(http.Header) (RequestMeta, error) {
	return RequestMeta{RequestID: "id", Timeout: 6 * time.Second}, nil
}

// Load pattern: all daemons are killed while the store is unavailable, and callers retry once. Guards against a
// Retry-After that ends before the store is back, so that the retry is refused too (5.6% of the requests on trouble-3
// of apdd-orders-grown), and against a long Retry-After from a daemon that has only just started.
func TestRetryAfterOutlastsStoreOutage(t *testing.T) {
	control := NewControl(eventlog.Discard(), NewPollTiming(time.Second))
	f := &Forwarder{control: control, codec: deadlineCodec{}, log: eventlog.Discard()}
	retryAfterOfRequest := func() time.Duration {
		_, fail := f.accept(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil), time.Now(), bytebudget.New(1<<20).Share())
		if fail == nil || fail.Code != failure.NotReady || verdict.CallerStatus(fail.Code, fail.Outcome) != http.StatusServiceUnavailable {
			t.Fatalf("failure without a configuration: %v, want not_ready with status 503", fail)
		}
		return retryAfter(fail)
	}
	if got := retryAfterOfRequest(); got != startupRetryAfter {
		t.Errorf("Retry-After at the start: %v, want %v", got, startupRetryAfter)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	control.followConfig(ctx, unavailableConfig{})
	if got := retryAfterOfRequest(); got != 2*time.Second {
		t.Errorf("Retry-After while the store is unavailable: %v, want 2s, a third of the caller's timeout", got)
	}
	if got := notReadyRetryAfter(0, true); got != outageRetryAfter {
		t.Errorf("Retry-After without a timeout: %v, want %v", got, outageRetryAfter)
	}
}
