package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/answer"
	standin "trefoilferry.example/ferry/pkg/standin/engine"
	"trefoilferry.example/ferry/pkg/standin/faults"
)

const wantTokens = 12

// Guards against leaked goroutines of streams, batches and clients.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// start returns a running engine and a client of it.
func start(t *testing.T, config standin.Config) (*standin.Server, *engine.Client) {
	t.Helper()
	if config.Scale == 0 {
		config.Scale = 50
	}
	server := standin.New(config)
	listener := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		listener.Close()
	})
	return server, engine.NewClient(listener.URL, nil)
}

func load(t *testing.T, s *standin.Server, model string) {
	t.Helper()
	order := engine.Order{ID: "load-" + model, Kind: engine.LoadModel, Model: model, Version: "1", Bytes: 10, Fencing: 1}
	if err := s.Execute(order); err != nil {
		t.Fatal(err)
	}
}

func request(id, prompt string) engine.GenerateRequest {
	body, _ := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": wantTokens})
	return engine.GenerateRequest{RequestID: id, Model: "m", Body: body}
}

// collect reads a stream until it ends or fails, and returns its text and last chunk.
func collect(c *engine.Client, req engine.GenerateRequest) (string, engine.Chunk, error) {
	stream, err := c.Generate(context.Background(), req)
	if err != nil {
		return "", engine.Chunk{}, err
	}
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	var last engine.Chunk
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), last, nil
		}
		if err != nil {
			return text.String(), last, err
		}
		text.WriteString(chunk.Text)
		last = chunk
	}
}

// Guards against broken, foreign or unfinished streams that the client reports as complete, and against wrong outcomes.
func TestGenerateFaults(t *testing.T) {
	tests := map[string]struct {
		faults  faults.Switches
		code    failure.Code
		outcome failure.Outcome
		tokens  int
	}{
		"down":             {faults.Switches{Down: true}, failure.ConnectionLost, failure.Unknown, 0},
		"refused":          {faults.Switches{Refuse: true}, failure.Overloaded, failure.NotRun, 0},
		"response lost":    {faults.Switches{LoseAnswerAfterEffect: 1}, failure.ConnectionLost, failure.Unknown, 0},
		"broken":           {faults.Switches{BreakStreamAfterTokens: 4}, failure.Truncated, failure.Unknown, 4},
		"no end marker":    {faults.Switches{OmitDone: 1}, failure.Truncated, failure.Unknown, wantTokens},
		"foreign response": {faults.Switches{WrongRequestID: 1}, failure.FrameMismatch, failure.Unknown, 0},
		"foreign chunk":    {faults.Switches{WrongChunkID: 1}, failure.FrameMismatch, failure.Unknown, 1},
		"broken at end":    {faults.Switches{BreakStreamAfterTokens: wantTokens}, failure.Truncated, failure.Unknown, wantTokens},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, client := start(t, standin.Config{})
			load(t, server, "m")
			server.Faults.Set(test.faults)
			text, _, err := collect(client, request("r1", "hello"))
			got := failure.From(err)
			if err == nil || got.Code != test.code || got.Outcome != test.outcome {
				t.Fatalf("error of the stream: %v (%v), want %v (%v)", err, got.Outcome, test.code, test.outcome)
			}
			if text != answer.Text("m", "", "hello", 0, test.tokens) {
				t.Fatalf("text before the error: %q, want the first %d tokens", text, test.tokens)
			}
		})
	}
}

// Guards against a refused request that is reported as possibly run, and against one that is reported as not run
// although the engine responded to it.
func TestGenerateRefusals(t *testing.T) {
	server, client := start(t, standin.Config{})
	load(t, server, "m")
	notLoaded := request("r1", "hello")
	notLoaded.Model = "absent"
	invalid := request("r2", "hello")
	invalid.Body = []byte(`{"messages":[]}`)
	notObject := request("r3", "hello")
	notObject.Body = []byte(`[]`)
	unreachable := engine.NewClient("http://127.0.0.1:1", nil)
	tests := map[string]struct {
		client  *engine.Client
		req     engine.GenerateRequest
		code    failure.Code
		outcome failure.Outcome
	}{
		"not loaded":     {client, notLoaded, failure.NotLoaded, failure.NotRun},
		"engine's 400":   {client, invalid, failure.BadRequest, failure.Ran},
		"no JSON object": {client, notObject, failure.BadRequest, failure.NotRun},
		"port closed":    {unreachable, request("r4", "hello"), failure.ConnectFailed, failure.NotRun},
	}
	for name, test := range tests {
		_, _, err := collect(test.client, test.req)
		got := failure.From(err)
		if err == nil || got.Code != test.code || got.Outcome != test.outcome {
			t.Errorf("%s: error %v (%v), want %v (%v)", name, err, got.Outcome, test.code, test.outcome)
		}
	}
	_, _, err := collect(client, invalid)
	var status *engine.StatusError
	if !errors.As(err, &status) || status.Status != http.StatusBadRequest {
		t.Errorf("error for the engine's 400: %v, want a StatusError with status 400", err)
	}
}

// Guards against a resumed response that differs from an unbroken one, at every token where a stream can break.
func TestResumeEqualsUnbrokenResponse(t *testing.T) {
	server, client := start(t, standin.Config{})
	load(t, server, "m")
	for _, chat := range []bool{false, true} {
		for breakAfter := 1; breakAfter <= wantTokens; breakAfter++ {
			req := request(fmt.Sprintf("r-%v-%d", chat, breakAfter), "tell me")
			prompt := "tell me"
			if chat {
				req.Chat, prompt = true, "user: tell me\n"
				req.Body = []byte(`{"messages":[{"role":"user","content":"tell me"}],"max_tokens":12}`)
			}
			server.Faults.Set(faults.Switches{BreakStreamAfterTokens: breakAfter, BreakStreams: 1})
			first, _, err := collect(client, req)
			if !failure.HasCode(err, failure.Truncated) {
				t.Fatalf("break after token %d: error %v, want code %v", breakAfter, err, failure.Truncated)
			}
			req.ResumeText, req.ResumeTokens = first, uint32(breakAfter)
			rest, last, err := collect(client, req)
			if err != nil || first+rest != answer.Text("m", "", prompt, 0, wantTokens) {
				t.Fatalf("break after token %d: texts %q and %q, error %v, want the text of an unbroken stream", breakAfter, first, rest, err)
			}
			if last.FinishReason != "length" || last.CompletionTokens != wantTokens {
				t.Fatalf("break after token %d: last chunk %+v, want finish reason length and %d tokens", breakAfter, last, wantTokens)
			}
		}
	}
	if n := server.Counters().ResumeMismatches; n != 0 {
		t.Fatalf("resume texts that differ from the response: %d, want 0", n)
	}
}

// Guards against an engine that continues to generate after the client has closed the stream.
func TestStreamCloseCancelsGeneration(t *testing.T) {
	server, client := start(t, standin.Config{Scale: 1})
	load(t, server, "m")
	stream, err := client.Generate(context.Background(), request("r1", "hello"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Next(); err != nil {
		t.Fatal(err)
	}
	if err := stream.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Next(); failure.From(err).Outcome != failure.Unknown {
		t.Fatalf("error of Next after Close: %v, want outcome %v", err, failure.Unknown)
	}
	eventually(t, func() bool { return server.Counters().Cancelled == 1 && server.Counters().Running == 0 })
}

// Guards against memory use beyond the size of the accelerator, and against orders of a superseded agent taking effect.
func TestOrders(t *testing.T) {
	load := func(model string, bytes, fencing uint64) engine.Order {
		return engine.Order{ID: model, Kind: engine.LoadModel, Model: model, Version: "1", Bytes: bytes, Fencing: fencing}
	}
	adapter := engine.Order{ID: "a", Kind: engine.LoadAdapter, Model: "absent", Adapter: "a", Bytes: 1, Fencing: 9}
	tests := map[string]struct {
		honour  bool
		faults  faults.Switches
		order   engine.Order
		code    failure.Code
		outcome failure.Outcome
	}{
		"fits":            {true, faults.Switches{}, load("b", 40, 5), "", ""},
		"too large":       {true, faults.Switches{}, load("b", 41, 5), failure.MemoryExhausted, failure.NotRun},
		"loaded already":  {true, faults.Switches{}, load("a", 60, 5), "", ""},
		"old fencing":     {true, faults.Switches{}, load("b", 1, 4), failure.OrderFenced, failure.NotRun},
		"fencing ignored": {false, faults.Switches{}, load("b", 1, 4), "", ""},
		"model missing":   {true, faults.Switches{}, adapter, failure.NotLoaded, failure.NotRun},
		"dropped":         {true, faults.Switches{DropOrder: 1}, load("b", 1, 5), failure.ConnectionLost, failure.Unknown},
		"response lost":   {true, faults.Switches{LoseAnswerAfterEffect: 1}, load("b", 1, 5), failure.ConnectionLost, failure.Unknown},
		"refused":         {true, faults.Switches{Refuse: true}, load("b", 1, 5), failure.OrderFailed, failure.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, client := start(t, standin.Config{MemoryBytes: 100, HonourFencing: test.honour})
			if err := server.Execute(load("a", 60, 5)); err != nil {
				t.Fatal(err)
			}
			server.Faults.Set(test.faults)
			err := client.Order(context.Background(), test.order)
			if test.code == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if got := failure.From(err); err == nil || got.Code != test.code || got.Outcome != test.outcome {
				t.Fatalf("error of the order: %v (%v), want %v (%v)", err, got.Outcome, test.code, test.outcome)
			}
			if c := server.Counters(); c.UsedBytes > 100 || c.Overdraws > 1 {
				t.Fatalf("counters: %+v, want at most 100 bytes used and 1 overdraw", c)
			}
		})
	}
}

// Guards against an order whose response was lost being reported as not run, and against an order that is delayed
// beyond the client's deadline not taking effect.
func TestOrderTakesEffectWithoutResponse(t *testing.T) {
	server, client := start(t, standin.Config{})
	server.Faults.Set(faults.Switches{DelayOrderMillis: 50})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	err := client.Order(ctx, engine.Order{ID: "o", Kind: engine.LoadModel, Model: "m", Version: "1", Bytes: 1})
	if got := failure.From(err); got.Code != failure.DeadlineExceeded || got.Outcome != failure.Unknown {
		t.Fatalf("error of the delayed order: %v (%v), want %v (%v)", err, got.Outcome, failure.DeadlineExceeded, failure.Unknown)
	}
	eventually(t, func() bool { return server.Counters().Loads == 1 })
	report, err := client.Report(context.Background())
	if err != nil || len(report.Models) != 1 || report.Models[0].OrderID != "o" {
		t.Fatalf("report after the load: %+v, error %v, want one model loaded by order o", report, err)
	}
}

// Guards against reports and cache events that are visible before their lag, and against dropped events that leave no
// gap in the sequence numbers.
func TestReportAndCacheEventLag(t *testing.T) {
	const lag = 300 * time.Millisecond
	server, client := start(t, standin.Config{ReportLag: lag, CacheEventLag: lag, CacheEventGap: 2, CacheBlocks: 8})
	load(t, server, "m")
	prompt := strings.Repeat("x", 4*engine.BlockTokens*engine.BytesPerToken)
	if _, _, err := collect(client, request("r1", prompt)); err != nil {
		t.Fatal(err)
	}
	events, err := client.CacheEvents(context.Background(), 1)
	report, reportErr := client.Report(context.Background())
	if err != nil || reportErr != nil || len(events) != 0 || len(report.Models) != 0 {
		t.Fatalf("before the lag: events %v (error %v), report %+v (error %v), want no events and no models", events, err, report, reportErr)
	}
	eventually(t, func() bool {
		events, _ = client.CacheEvents(context.Background(), 1)
		report, _ = client.Report(context.Background())
		return len(events) == 2 && len(report.Models) == 1
	})
	want := engine.PrefixHashes("m", "", prompt)
	if events[0].Seq != 1 || events[1].Seq != 3 || events[0].PrefixHash != want[0] || events[1].PrefixHash != want[2] {
		t.Fatalf("cache events: %+v, want sequences 1 and 3 with prefixes %v", events, want)
	}
}

// eventually waits up to 5 s until ok returns true.
func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not reached in 5 s")
		}
	}
}

// Guards against empty or truncated reports being accepted, which would make an agent believe that its engine has no
// models loaded.
func TestReportFaults(t *testing.T) {
	for body, code := range map[string]failure.Code{
		`{}`: failure.EngineFailed, `null`: failure.EngineFailed, `{"instance":"a"`: failure.ConnectionLost, `<`: failure.ConnectionLost,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, body)
		}))
		report, err := engine.NewClient(server.URL, nil).Report(context.Background())
		if !failure.HasCode(err, code) || report.Instance != "" {
			t.Errorf("report for body %s: %+v, error %v, want code %v and no instance", body, report, err, code)
		}
		server.Close()
	}
}
