package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"trefoilferry.example/ferry/pkg/bytebudget"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/verdict"
)

// Load pattern: more callers than the host has memory for send long bodies at a time. Guards against bodies that fill the
// memory of the process together, against a refusal that leaves its caller in doubt, and against short bodies that are
// refused beside the long ones.
func TestBodiesOfRequestsShareABound(t *testing.T) {
	const limit, callers, length = 8 << 20, 400, 100 << 10
	budget, limits := bytebudget.New(limit), fleet.Limits{BodyBytes: 1 << 20}
	for name, chunked := range map[string]bool{"with a length": false, "in chunks": true} {
		refused, held := 0, 0
		var shares []*bytebudget.Share
		read := func(n int) ([]byte, *failure.Failure) {
			r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(strings.NewReader(strings.Repeat("b", n))))
			r.ContentLength = int64(n)
			if chunked {
				r.ContentLength = -1
			}
			share := budget.Share()
			shares = append(shares, share)
			return readBody(httptest.NewRecorder(), r, limits, share)
		}
		for range callers {
			body, fail := read(length)
			switch {
			case fail == nil && len(body) == length:
				held += len(body)
			case fail == nil || verdict.CallerStatus(fail.Code, fail.Outcome) != http.StatusServiceUnavailable:
				t.Fatalf("%s: body of %d bytes, %v, want it whole or refused with status 503", name, len(body), fail)
			default:
				refused++
				shares[len(shares)-1].Release()
			}
		}
		if held > limit || refused == 0 {
			t.Errorf("%s: %d bytes held and %d requests refused, want at most %d bytes", name, held, refused, limit)
		}
		if body, fail := read(2000); fail != nil || len(body) != 2000 {
			t.Errorf("%s: short body beside them: %d bytes, %v", name, len(body), fail)
		}
		for _, s := range shares {
			s.Release()
		}
		if _, fail := read(int(limits.BodyBytes) + 1); fail == nil || fail.Code != failure.BodyTooLarge {
			t.Errorf("%s: body beyond the limit of the configuration: %v, want code %s", name, fail, failure.BodyTooLarge)
		}
	}
}
