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

// exchangeKV posts kv to an engine and returns the status and the decoded response.
func exchangeKV(t *testing.T, s *standin.Server, path string, kv standin.KVPrefixes) (int, standin.KVPrefixes) {
	t.Helper()
	body, err := json.Marshal(kv)
	if err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body))))
	var out standin.KVPrefixes
	if err := json.Unmarshal(recorder.Body.Bytes(), &out); err != nil {
		t.Fatal(err)
	}
	return recorder.Code, out
}

// Guards against an export of prefixes that are not cached, and against an import that is lost or accepted for a model
// that is not loaded.
func TestExportAndImport(t *testing.T) {
	from, client := start(t, standin.Config{CacheBlocks: 8})
	to, _ := start(t, standin.Config{CacheBlocks: 8})
	load(t, from, "m")
	prompt := strings.Repeat("x", 2*engine.BlockTokens*engine.BytesPerToken)
	asked := standin.KVPrefixes{Model: "m", Prompt: prompt + prompt}
	if _, none := exchangeKV(t, from, "/kv/export", asked); len(none.Prefixes) != 0 {
		t.Fatalf("exported prefixes before the prompt was processed: %v, want none", none.Prefixes)
	}
	if _, _, err := collect(client, request("r1", prompt)); err != nil {
		t.Fatal(err)
	}
	_, exported := exchangeKV(t, from, "/kv/export", asked)
	if len(exported.Prefixes) != 2 || exported.Prefixes[1] != engine.PrefixHashes("m", "", prompt)[1] {
		t.Fatalf("exported prefixes: %v, want the two blocks of the prompt", exported.Prefixes)
	}
	if status, _ := exchangeKV(t, to, "/kv/import", exported); status != http.StatusServiceUnavailable {
		t.Fatalf("status of an import without the model: %d, want %d", status, http.StatusServiceUnavailable)
	}
	load(t, to, "m")
	if status, _ := exchangeKV(t, to, "/kv/import", exported); status != http.StatusOK {
		t.Fatalf("status of the import: %d, want %d", status, http.StatusOK)
	}
	if _, again := exchangeKV(t, to, "/kv/export", asked); len(again.Prefixes) != 2 {
		t.Fatalf("exported prefixes after the import: %v, want 2", again.Prefixes)
	}
}
