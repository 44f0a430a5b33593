package httphosts_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/infra/httphosts"
	"trefoilferry.example/ferry/pkg/standin/faults"
	"trefoilferry.example/ferry/pkg/standin/hosts"
)

const lag = 200 * time.Millisecond

// Guards against a list that shows changes before the lag of the stand-in has passed, loses rows or keeps removed hosts.
func TestChangesLag(t *testing.T) {
	standin := hosts.New(lag)
	server := httptest.NewServer(standin)
	defer server.Close()
	client := httphosts.New(server.URL, nil)
	row := infra.Host{Name: "r1", Role: infra.RoleRunner, Address: "127.0.0.1:1", Region: "ege", FailureDomain: "ege-1"}
	leaving := row
	leaving.State = infra.HostLeaving
	row.State = infra.HostLive
	steps := []struct {
		change func()
		before []infra.Host
		after  []infra.Host
	}{
		{func() { standin.Put(row) }, nil, []infra.Host{row}},
		{func() { standin.Put(leaving) }, []infra.Host{row}, []infra.Host{leaving}},
		{func() { standin.Remove("r1") }, []infra.Host{leaving}, nil},
	}
	for i, step := range steps {
		step.change()
		expect(t, i, client, step.before)
		time.Sleep(lag + 20*time.Millisecond)
		expect(t, i, client, step.after)
	}
}

func expect(t *testing.T, step int, client infra.HostList, want []infra.Host) {
	t.Helper()
	got, err := client.Hosts(context.Background())
	if err != nil || len(got) != len(want) || len(want) == 1 && got[0] != want[0] {
		t.Fatalf("step %d: host list %+v, error %v; want %+v", step, got, err, want)
	}
}

// Guards against a failed or malformed response that passes as an empty list, which would look as if all hosts had been
// removed.
func TestFaults(t *testing.T) {
	standin := hosts.New(0)
	server := httptest.NewServer(standin)
	defer server.Close()
	cut := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`[{"name":"r1"},`))
	}))
	defer cut.Close()
	null := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`null`))
	}))
	defer null.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	tests := map[string]struct {
		url    string
		faults faults.Switches
	}{
		"down":    {server.URL, faults.Switches{Down: true}},
		"refused": {server.URL, faults.Switches{Refuse: true}},
		"cut":     {cut.URL, faults.Switches{}},
		"null":    {null.URL, faults.Switches{}},
		"gone":    {gone.URL, faults.Switches{}},
		"absent":  {server.URL + "/elsewhere", faults.Switches{}},
	}
	for name, test := range tests {
		standin.Faults.Set(test.faults)
		list, err := httphosts.New(test.url, nil).Hosts(context.Background())
		if !failure.HasCode(err, failure.HostListUnavailable) || list != nil {
			t.Errorf("%s: host list %v, error %v; want no list and code %s", name, list, err, failure.HostListUnavailable)
		}
	}
}
