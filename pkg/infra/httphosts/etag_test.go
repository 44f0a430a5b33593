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

// Guards against a list that is sent whole although nothing changed, and against one that is kept although it changed.
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
				t.Fatalf("got %v, %v", list, err)
			}
		}
	}
	if statuses[http.StatusOK] != 2 || statuses[http.StatusNotModified] != 4 {
		t.Fatalf("answers %v", statuses)
	}
}
