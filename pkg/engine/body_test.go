package engine

import (
	"encoding/json"
	"strings"
	"testing"

	"trefoilferry.example/ferry/pkg/failure"
)

// Guards against a caller that sets fields reserved for the client, such as the priority, and against lost caller fields.
func TestGenerateBody(t *testing.T) {
	tests := map[string]struct {
		req  GenerateRequest
		want string
	}{
		"plain": {
			GenerateRequest{Model: "m", Body: []byte(`{"prompt":"a","seed":7}`)},
			`{"model":"m","priority":0,"prompt":"a","seed":7,"stream":true,"stream_options":{"include_usage":true}}`,
		},
		"caller's fields replaced": {
			GenerateRequest{Model: "m", Priority: -1, Body: []byte(`{"model":"x","stream":false,"priority":9,"adapter":"y","resume_text":"z","resume_tokens":3}`)},
			`{"model":"m","priority":-1,"stream":true,"stream_options":{"include_usage":true}}`,
		},
		"resume": {
			GenerateRequest{Model: "m", Adapter: "a", ResumeText: "t ", ResumeTokens: 1, Body: []byte(`{}`)},
			`{"adapter":"a","model":"m","priority":0,"resume_text":"t ","resume_tokens":1,"stream":true,"stream_options":{"include_usage":true}}`,
		},
		"large numbers kept": {
			GenerateRequest{Model: "m", Body: []byte(`{"seed":9007199254740993}`)},
			`{"model":"m","priority":0,"seed":9007199254740993,"stream":true,"stream_options":{"include_usage":true}}`,
		},
	}
	for name, test := range tests {
		got, err := generateBody(test.req)
		if err != nil || string(got) != test.want {
			t.Errorf("%s: request body %s, error %v; want %s", name, got, err, test.want)
		}
	}
	for _, body := range []string{``, `null`, `[]`, `"x"`, `{`} {
		_, err := generateBody(GenerateRequest{Body: []byte(body)})
		if got := failure.From(err); got.Code != failure.BadRequest || got.Outcome != failure.NotRun {
			t.Errorf("body %q: error %v with outcome %s, want code %s with outcome %s", body, err, got.Outcome, failure.BadRequest, failure.NotRun)
		}
	}
}

// Guards against agents that extract another prompt text than the engines, which would make cache-hit predictions wrong.
func TestPromptText(t *testing.T) {
	tests := map[string]struct {
		chat bool
		body string
		want string
		bad  bool
	}{
		"string":      {false, `{"prompt":"a b"}`, "a b", false},
		"list":        {false, `{"prompt":["a","b"]}`, "ab", false},
		"tokens":      {false, `{"prompt":[1,2]}`, "", true},
		"missing":     {false, `{}`, "", true},
		"messages":    {true, `{"messages":[{"role":"system","content":"s"},{"role":"user","content":"u"}]}`, "system: s\nuser: u\n", false},
		"parts":       {true, `{"messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, "user: ab\n", false},
		"no messages": {true, `{"messages":[]}`, "", true},
		"no content":  {true, `{"messages":[{"role":"user"}]}`, "", true},
	}
	for name, test := range tests {
		got, err := PromptText(test.chat, []byte(test.body))
		if got != test.want || failure.HasCode(err, failure.BadRequest) != test.bad {
			t.Errorf("%s: prompt %q, error %v; want %q, bad request %v", name, got, err, test.want, test.bad)
		}
	}
}

// Guards against prefix hashes that are equal for different models or adapters, or that depend on the rest of the prompt.
func TestPrefixHashes(t *testing.T) {
	common := strings.Repeat("x", 2*blockBytes)
	base := PrefixHashes("m", "", common)
	longer := PrefixHashes("m", "", common+strings.Repeat("y", blockBytes+1))
	if len(base) != 2 || len(longer) != 3 || base[0] != longer[0] || base[1] != longer[1] || base[0] == base[1] {
		t.Fatalf("prefix hashes of 2 blocks %v and of 3 blocks with the same start %v; want 2 and 3 hashes, the first 2 shared", base, longer)
	}
	long := strings.Repeat("x", 9*blockBytes)
	if RoutingPrefixHash("m", "", long) != PrefixHashes("m", "", long)[routingPrefixBlocks-1] ||
		RoutingPrefixHash("m", "", common) != base[1] || RoutingPrefixHash("m", "", "short") != 0 {
		t.Fatalf("routing prefix hashes of 9 blocks, 2 blocks and less than one block: %x, %x, %x; want %x, %x, 0",
			RoutingPrefixHash("m", "", long), RoutingPrefixHash("m", "", common), RoutingPrefixHash("m", "", "short"),
			PrefixHashes("m", "", long)[routingPrefixBlocks-1], base[1])
	}
	for _, other := range [][]uint64{PrefixHashes("n", "", common), PrefixHashes("m", "a", common)} {
		if other[0] == base[0] {
			t.Fatalf("prefix hash of another model or adapter: %x, the same as that of model m without an adapter", other[0])
		}
	}
}

// Guards against stream events that are decoded to a wrong text, finish reason or token count.
func TestEventChunk(t *testing.T) {
	tests := map[string]Chunk{
		`{"choices":[{"text":"a","finish_reason":null}]}`:                                               {Text: "a", Tokens: 1},
		`{"choices":[{"delta":{"content":"ab"}}],"tokens":2}`:                                           {Text: "ab", Tokens: 2},
		`{"choices":[{"delta":{"role":"assistant","content":""}}]}`:                                     {},
		`{"choices":[{"delta":{},"finish_reason":"stop"}]}`:                                             {FinishReason: "stop"},
		`{"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":2,"total_tokens":3}}`:             {PromptTokens: 1, CompletionTokens: 2},
		`{"choices":[{"text":"","finish_reason":"length"}],"tokens":0,"usage":{"completion_tokens":4}}`: {FinishReason: "length", CompletionTokens: 4},
	}
	for data, want := range tests {
		var event StreamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			t.Fatal(err)
		}
		if got := event.chunk(); got != want {
			t.Errorf("chunk of event %s: %+v, want %+v", data, got, want)
		}
	}
}
