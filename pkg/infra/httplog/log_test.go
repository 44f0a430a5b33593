package httplog_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/infra/httplog"
	"trefoilferry.example/ferry/pkg/infra/memlog"
	"trefoilferry.example/ferry/pkg/standin/faults"
	"trefoilferry.example/ferry/pkg/standin/log"
)

var background = context.Background()

// Guards against an HTTP client that behaves differently from the in-memory log, with which the folds are tested.
func TestContract(t *testing.T) {
	server := httptest.NewServer(log.New(log.Config{}))
	defer server.Close()
	logs := map[string]infra.Log{"memory": memlog.New(), "http": httplog.New(server.URL+"/", nil)}
	for name, l := range logs {
		t.Run(name, func(t *testing.T) {
			for i, data := range []string{"a", "", "c"} {
				offset, err := l.Append(background, "keys.S", []byte(data))
				if err != nil || offset != uint64(i+1) {
					t.Fatalf("append %d: offset %d, error %v; want offset %d", i+1, offset, err, i+1)
				}
			}
			tests := []struct {
				stream string
				from   uint64
				limit  int
				want   string
				next   uint64
			}{
				{"keys.S", 1, 10, "ac", 4}, {"keys.S", 2, 1, "", 4}, {"keys.S", 3, 1, "c", 4},
				{"keys.S", 4, 10, "", 4}, {"keys.S", 9, 10, "", 4}, {"other", 1, 10, "", 1},
			}
			for _, test := range tests {
				batch, err := l.Read(background, test.stream, test.from, test.limit)
				got := ""
				for i, r := range batch.Records {
					got += string(r.Data)
					if r.Offset != test.from+uint64(i) {
						t.Errorf("read %+v: record %d has offset %d, want %d", test, i, r.Offset, test.from+uint64(i))
					}
				}
				if err != nil || got != test.want || batch.NextOffset != test.next || batch.OldestOffset != 1 {
					t.Errorf("read %+v: data %q, batch %+v, error %v; want data %q, next %d, oldest 1", test, got, batch, err, test.want, test.next)
				}
			}
			batch, err := l.Read(background, "keys.S", 0, 10)
			if !failure.HasCode(err, failure.OffsetExpired) || batch.NextOffset != 4 || batch.OldestOffset != 1 {
				t.Errorf("read from offset 0: batch %+v, error %v; want next 4, oldest 1 and code %s", batch, err, failure.OffsetExpired)
			}
		})
	}
}

// Guards against an append that may have stored the record but is reported with outcome not_run.
func TestAppendFaults(t *testing.T) {
	tests := map[string]struct {
		faults  faults.Switches
		outcome failure.Outcome
		effects int
	}{
		"response lost": {faults.Switches{LoseAnswerAfterEffect: 1}, failure.Unknown, 1},
		"down":          {faults.Switches{Down: true}, failure.Unknown, 0},
		"refused":       {faults.Switches{Refuse: true}, failure.Unknown, 0},
		"slow":          {faults.Switches{DelayMillis: 2000}, failure.Unknown, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			standin := log.New(log.Config{})
			server := httptest.NewServer(standin)
			defer server.Close()
			client := httplog.New(server.URL, nil)
			standin.Faults.Set(test.faults)
			ctx, cancel := context.WithTimeout(background, 300*time.Millisecond)
			defer cancel()
			_, err := client.Append(ctx, "config", []byte("x"))
			if got := failure.From(err); err == nil || got.Code != failure.LogUnavailable || got.Outcome != test.outcome {
				t.Fatalf("append: error %v with outcome %s, want code %s with outcome %s", err, got.Outcome, failure.LogUnavailable, test.outcome)
			}
			standin.Faults.Set(faults.Switches{})
			batch, err := client.Read(background, "config", 1, 10)
			if err != nil || len(batch.Records) != test.effects {
				t.Fatalf("records after the append: %+v, error %v; want %d records", batch, err, test.effects)
			}
		})
	}
}

// Guards against outcome unknown for a refused connection, which would prevent a safe retry.
func TestConnectionRefused(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	client := httplog.New(server.URL, nil)
	_, err := client.Append(background, "config", nil)
	if got := failure.From(err); got.Code != failure.LogUnavailable || got.Outcome != failure.NotRun {
		t.Fatalf("append: error %v with outcome %s, want code %s with outcome %s", err, got.Outcome, failure.LogUnavailable, failure.NotRun)
	}
	_, err = client.Read(background, "config", 1, 1)
	if !failure.HasCode(err, failure.LogUnavailable) {
		t.Fatalf("read: error %v, want code %s", err, failure.LogUnavailable)
	}
}

// Guards against readers that silently skip records which expired by count or by age.
func TestRetention(t *testing.T) {
	tests := map[string]struct {
		config log.Config
		wait   time.Duration
		oldest uint64
	}{
		"by count": {log.Config{MaxRecords: 2}, 0, 4},
		"by age":   {log.Config{MaxAge: 20 * time.Millisecond}, 60 * time.Millisecond, 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(log.New(test.config))
			defer server.Close()
			client := httplog.New(server.URL, nil)
			for range 5 {
				if _, err := client.Append(background, "config", []byte("x")); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(test.wait)
			batch, err := client.Read(background, "config", test.oldest-1, 10)
			if !failure.HasCode(err, failure.OffsetExpired) || batch.OldestOffset != test.oldest || batch.NextOffset != 6 {
				t.Fatalf("read of an expired offset: batch %+v, error %v; want oldest %d, next 6 and code %s", batch, err, test.oldest, failure.OffsetExpired)
			}
			batch, err = client.Read(background, "config", test.oldest, 10)
			if err != nil || len(batch.Records) != int(6-test.oldest) {
				t.Fatalf("read from the oldest offset: batch %+v, error %v; want %d records", batch, err, 6-test.oldest)
			}
		})
	}
}

// Guards against truncated responses and responses with a gap, which would corrupt a fold.
func TestDamagedResponses(t *testing.T) {
	responses := map[string]string{
		"cut":         `{"next":3,"oldest":1,"records":[{"offset":1,"data":"YQ=="}`,
		"gap":         `{"next":4,"oldest":1,"records":[{"offset":1,"data":"YQ=="},{"offset":3,"data":"YQ=="}]}`,
		"wrong start": `{"next":4,"oldest":1,"records":[{"offset":2,"data":"YQ=="}]}`,
		"beyond end":  `{"next":1,"oldest":1,"records":[{"offset":1,"data":"YQ=="}]}`,
		"no bounds":   `{}`,
		"null":        `null`,
		"not JSON":    `<html>`,
	}
	for name, response := range responses {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(response))
		}))
		client := httplog.New(server.URL, nil)
		if batch, err := client.Read(background, "config", 1, 10); !failure.HasCode(err, failure.LogUnavailable) || len(batch.Records) != 0 {
			t.Errorf("%s: read returned batch %+v, error %v; want no records and code %s", name, batch, err, failure.LogUnavailable)
		}
		if _, err := client.Append(background, "config", nil); failure.From(err).Outcome != failure.Unknown {
			t.Errorf("%s: append returned error %v with outcome %s, want outcome %s", name, err, failure.From(err).Outcome, failure.Unknown)
		}
		server.Close()
	}
}
