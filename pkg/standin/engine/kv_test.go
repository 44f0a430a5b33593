package engine_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"trefoilferry.example/ferry/pkg/engine"
	standin "trefoilferry.example/ferry/pkg/standin/engine"
)

// exchangeKV posts a body to an engine and decodes the answer.
func exchangeKV(t *testing.T, s *standin.Server, path string, kv standin.KV) (int, standin.KV) {
	t.Helper()
	body, err := json.Marshal(kv)
	if err != nil {
		t.Fatal(err)
	}
	answer := httptest.NewRecorder()
	s.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body))))
	var out standin.KV
	if err := json.Unmarshal(answer.Body.Bytes(), &out); err != nil {
		t.Fatal(err)
	}
	return answer.Code, out
}

// Guards against an export of prefixes that are not cached, and an import that is lost or reaches an absent model.
func TestExportAndImport(t *testing.T) {
	from, client := start(t, standin.Config{CacheBlocks: 8})
	to, _ := start(t, standin.Config{CacheBlocks: 8})
	load(t, from, "m")
	prompt := strings.Repeat("x", 2*engine.BlockTokens*engine.BytesPerToken)
	asked := standin.KV{Model: "m", Prompt: prompt + prompt}
	if _, none := exchangeKV(t, from, "/kv/export", asked); len(none.Prefixes) != 0 {
		t.Fatalf("got %v before the prompt ran", none.Prefixes)
	}
	if _, _, err := collect(client, request("r1", prompt)); err != nil {
		t.Fatal(err)
	}
	_, exported := exchangeKV(t, from, "/kv/export", asked)
	if len(exported.Prefixes) != 2 || exported.Prefixes[1] != engine.PrefixHashes("m", "", prompt)[1] {
		t.Fatalf("got %v", exported.Prefixes)
	}
	if status, _ := exchangeKV(t, to, "/kv/import", exported); status != http.StatusServiceUnavailable {
		t.Fatalf("import without the model got status %d", status)
	}
	load(t, to, "m")
	if status, _ := exchangeKV(t, to, "/kv/import", exported); status != http.StatusOK {
		t.Fatalf("import got status %d", status)
	}
	if _, again := exchangeKV(t, to, "/kv/export", asked); len(again.Prefixes) != 2 {
		t.Fatalf("got %v after the import", again.Prefixes)
	}
}
