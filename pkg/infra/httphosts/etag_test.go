package httphosts_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/infra/httphosts"
	"trefoilferry.example/ferry/pkg/standin/hosts"
)

// Guards against a full response for an unchanged list, and against a cached list that is used although the list changed.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	standin := hosts.New(0)
	statuses := map[int]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		standin.ServeHTTP(recorder, r)
		statuses[recorder.Code]++
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	client := httphosts.New(server.URL, nil)
	for _, state := range []infra.HostState{infra.HostLive, infra.HostLeaving} {
		row := infra.Host{Name: "r1", State: state}
		standin.Put(row)
		for range 3 {
			list, err := client.Hosts(context.Background())
			if err != nil || len(list) != 1 || list[0] != row {
				t.Fatalf("host list %v, error %v; want only %v", list, err, row)
			}
		}
	}
	if statuses[http.StatusOK] != 2 || statuses[http.StatusNotModified] != 4 {
		t.Fatalf("responses by status: %v, want 2 with status 200 and 4 with status 304", statuses)
	}
}
