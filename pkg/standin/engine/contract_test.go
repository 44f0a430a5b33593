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

const tokensWanted = 12

// Guards against goroutines of streams, batches and clients that outlive their use.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

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
	body, _ := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": tokensWanted})
	return engine.GenerateRequest{RequestID: id, Model: "m", Body: body}
}

// collect reads a stream to its end or failure.
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

// Guards against broken, foreign or unfinished streams that pass for whole answers, and against wrong outcomes.
func TestGenerateFaults(t *testing.T) {
	tests := map[string]struct {
		faults  faults.Switches
		code    failure.Code
		outcome failure.Outcome
		tokens  int
	}{
		"down":             {faults.Switches{Down: true}, failure.ConnectionLost, failure.Unknown, 0},
		"refused":          {faults.Switches{Refuse: true}, failure.Overloaded, failure.NotRun, 0},
		"answer lost":      {faults.Switches{LoseAnswerAfterEffect: 1}, failure.ConnectionLost, failure.Unknown, 0},
		"broken":           {faults.Switches{BreakStreamAfterTokens: 4}, failure.Truncated, failure.Unknown, 4},
		"no end marker":    {faults.Switches{OmitDone: 1}, failure.Truncated, failure.Unknown, tokensWanted},
		"foreign answer":   {faults.Switches{WrongRequestID: 1}, failure.FrameMismatch, failure.Unknown, 0},
		"foreign chunk":    {faults.Switches{WrongChunkID: 1}, failure.FrameMismatch, failure.Unknown, 1},
		"broken at a byte": {faults.Switches{BreakStreamAfterTokens: tokensWanted}, failure.Truncated, failure.Unknown, tokensWanted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, client := start(t, standin.Config{})
			load(t, server, "m")
			server.Faults.Set(test.faults)
			text, _, err := collect(client, request("r1", "hello"))
			got := failure.From(err)
			if err == nil || got.Code != test.code || got.Outcome != test.outcome {
				t.Fatalf("got %v (%v), want %v (%v)", err, got.Outcome, test.code, test.outcome)
			}
			if text != answer.Text("m", "", "hello", 0, test.tokens) {
				t.Fatalf("got text %q", text)
			}
		})
	}
}

// Guards against a refusal that is reported as possibly run, or as not run after the engine answered.
func TestGenerateRefusals(t *testing.T) {
	server, client := start(t, standin.Config{})
	load(t, server, "m")
	other := request("r1", "hello")
	other.Model = "absent"
	bad := request("r2", "hello")
	bad.Body = []byte(`{"messages":[]}`)
	list := request("r3", "hello")
	list.Body = []byte(`[]`)
	gone := engine.NewClient("http://127.0.0.1:1", nil)
	tests := map[string]struct {
		client  *engine.Client
		req     engine.GenerateRequest
		code    failure.Code
		outcome failure.Outcome
	}{
		"not loaded":     {client, other, failure.NotLoaded, failure.NotRun},
		"engine's 400":   {client, bad, failure.BadRequest, failure.Ran},
		"no object":      {client, list, failure.BadRequest, failure.NotRun},
		"nobody listens": {gone, request("r4", "hello"), failure.ConnectFailed, failure.NotRun},
	}
	for name, test := range tests {
		_, _, err := collect(test.client, test.req)
		got := failure.From(err)
		if err == nil || got.Code != test.code || got.Outcome != test.outcome {
			t.Errorf("%s: got %v (%v), want %v (%v)", name, err, got.Outcome, test.code, test.outcome)
		}
	}
	_, _, err := collect(client, bad)
	var status *engine.StatusError
	if !errors.As(err, &status) || status.Status != http.StatusBadRequest {
		t.Errorf("status of the engine is lost: %v", err)
	}
}

// Guards against a resumed answer that differs from an unbroken one, at every token where a stream can break.
func TestResumeEqualsWhole(t *testing.T) {
	server, client := start(t, standin.Config{})
	load(t, server, "m")
	for _, chat := range []bool{false, true} {
		for cut := 1; cut <= tokensWanted; cut++ {
			req := request(fmt.Sprintf("r-%v-%d", chat, cut), "tell me")
			prompt := "tell me"
			if chat {
				req.Chat, prompt = true, "user: tell me\n"
				req.Body = []byte(`{"messages":[{"role":"user","content":"tell me"}],"max_tokens":12}`)
			}
			server.Faults.Set(faults.Switches{BreakStreamAfterTokens: cut, BreakStreams: 1})
			first, _, err := collect(client, req)
			if !failure.HasCode(err, failure.Truncated) {
				t.Fatalf("cut %d: got %v", cut, err)
			}
			req.ResumeText, req.ResumeTokens = first, uint32(cut)
			rest, last, err := collect(client, req)
			if err != nil || first+rest != answer.Text("m", "", prompt, 0, tokensWanted) {
				t.Fatalf("cut %d: got %q and %q, %v", cut, first, rest, err)
			}
			if last.FinishReason != "length" || last.CompletionTokens != tokensWanted {
				t.Fatalf("cut %d: got last chunk %+v", cut, last)
			}
		}
	}
	if n := server.Counters().ResumeMismatches; n != 0 {
		t.Fatalf("%d resume texts differ from the answer", n)
	}
}

// Guards against work that goes on at the engine after its client has closed the stream.
func TestCloseCancels(t *testing.T) {
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
		t.Fatalf("got %v after close", err)
	}
	eventually(t, func() bool { return server.Counters().Cancelled == 1 && server.Counters().Running == 0 })
}

// Guards against memory beyond the accelerator's size and against orders of an earlier agent.
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
		"fits":             {true, faults.Switches{}, load("b", 40, 5), "", ""},
		"too large":        {true, faults.Switches{}, load("b", 41, 5), failure.MemoryExhausted, failure.NotRun},
		"loaded already":   {true, faults.Switches{}, load("a", 60, 5), "", ""},
		"old fencing":      {true, faults.Switches{}, load("b", 1, 4), failure.OrderFenced, failure.NotRun},
		"fencing ignored":  {false, faults.Switches{}, load("b", 1, 4), "", ""},
		"model missing":    {true, faults.Switches{}, adapter, failure.NotLoaded, failure.NotRun},
		"dropped":          {true, faults.Switches{DropOrder: 1}, load("b", 1, 5), failure.ConnectionLost, failure.Unknown},
		"answer lost":      {true, faults.Switches{LoseAnswerAfterEffect: 1}, load("b", 1, 5), failure.ConnectionLost, failure.Unknown},
		"engine overloads": {true, faults.Switches{Refuse: true}, load("b", 1, 5), failure.OrderFailed, failure.NotRun},
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
				t.Fatalf("got %v (%v), want %v (%v)", err, got.Outcome, test.code, test.outcome)
			}
			if c := server.Counters(); c.UsedBytes > 100 || c.Overdraws > 1 {
				t.Fatalf("got %+v", c)
			}
		})
	}
}

// Guards against a lost order answer that is taken for an order without an effect, and a late order that is lost.
func TestOrderTakesEffectWithoutAnswer(t *testing.T) {
	server, client := start(t, standin.Config{})
	server.Faults.Set(faults.Switches{DelayOrderMillis: 50})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	err := client.Order(ctx, engine.Order{ID: "o", Kind: engine.LoadModel, Model: "m", Version: "1", Bytes: 1})
	if got := failure.From(err); got.Code != failure.DeadlineExpired || got.Outcome != failure.Unknown {
		t.Fatalf("got %v", err)
	}
	eventually(t, func() bool { return server.Counters().Loads == 1 })
	report, err := client.Report(context.Background())
	if err != nil || len(report.Models) != 1 || report.Models[0].OrderID != "o" {
		t.Fatalf("got %+v, %v", report, err)
	}
}

// Guards against reports and cache events that are visible before their lag, and against gaps that go unnumbered.
func TestLagAndGaps(t *testing.T) {
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
		t.Fatalf("got %v and %+v before the lag", events, report)
	}
	eventually(t, func() bool {
		events, _ = client.CacheEvents(context.Background(), 1)
		report, _ = client.Report(context.Background())
		return len(events) == 2 && len(report.Models) == 1
	})
	want := engine.PrefixHashes("m", "", prompt)
	if events[0].Seq != 1 || events[1].Seq != 3 || events[0].Prefix != want[0] || events[1].Prefix != want[2] {
		t.Fatalf("got %+v", events)
	}
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not reached in 5 s")
		}
	}
}

// Guards against reports that are empty or cut, which would make an agent believe that its engine holds nothing.
func TestReportFaults(t *testing.T) {
	for body, code := range map[string]failure.Code{
		`{}`: failure.EngineFailed, `null`: failure.EngineFailed, `{"instance":"a"`: failure.ConnectionLost, `<`: failure.ConnectionLost,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, body)
		}))
		report, err := engine.NewClient(server.URL, nil).Report(context.Background())
		if !failure.HasCode(err, code) || report.Instance != "" {
			t.Errorf("%s: got %+v, %v", body, report, err)
		}
		server.Close()
	}
}
