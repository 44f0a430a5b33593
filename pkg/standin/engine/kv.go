package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

// KV is the body of an export and an import: the cached prefixes of one prompt, shortest first.
type KV struct {
	Model    string   `json:"model"`
	Adapter  string   `json:"adapter,omitempty"`
	Prompt   string   `json:"prompt,omitempty"`
	Prefixes []uint64 `json:"prefixes,omitempty"`
}

// serveExport answers with the cached part of a prompt.
func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	var kv KV
	if err := json.NewDecoder(r.Body).Decode(&kv); err != nil {
		refuse(w, http.StatusBadRequest, failure.BadRequest, "export does not decode")
		return
	}
	prefixes := engine.PrefixHashes(kv.Model, kv.Adapter, kv.Prompt)
	s.mu.Lock()
	kv.Prefixes = prefixes[:s.cache.hit(prefixes)]
	s.mu.Unlock()
	kv.Prompt = ""
	serve.JSON(w, http.StatusOK, kv)
}

// serveImport adds exported prefixes to the cache.
func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv KV
	if err := json.NewDecoder(r.Body).Decode(&kv); err != nil {
		refuse(w, http.StatusBadRequest, failure.BadRequest, "import does not decode")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.memory.newest(kv.Model) == nil {
		refuse(w, http.StatusServiceUnavailable, failure.NotLoaded, "model is not loaded")
		return
	}
	s.cache.store(time.Now(), kv.Model, kv.Prefixes, s.Faults.Get().DropCacheEvents)
	serve.JSON(w, http.StatusOK, struct{}{})
}
