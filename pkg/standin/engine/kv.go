package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

// KVPrefixes is the body of POST /kv/export and /kv/import. An export request names a Prompt; its response and an
// import request list the hashes of cached prefixes of one prompt, shortest first.
type KVPrefixes struct {
	Model    string   `json:"model"`
	Adapter  string   `json:"adapter,omitempty"`
	Prompt   string   `json:"prompt,omitempty"`
	Prefixes []uint64 `json:"prefixes,omitempty"`
}

// serveExport responds with the cached leading prefixes of a prompt.
func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	var kv KVPrefixes
	if err := json.NewDecoder(r.Body).Decode(&kv); err != nil {
		writeError(w, http.StatusBadRequest, failure.BadRequest, "cannot decode the export request: "+err.Error())
		return
	}
	prefixes := engine.PrefixHashes(kv.Model, kv.Adapter, kv.Prompt)
	s.mu.Lock()
	kv.Prefixes = prefixes[:s.cache.lookup(prefixes)]
	s.mu.Unlock()
	kv.Prompt = ""
	serve.WriteJSON(w, http.StatusOK, kv)
}

// serveImport adds exported prefixes to the cache. It fails if the model is not loaded.
func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv KVPrefixes
	if err := json.NewDecoder(r.Body).Decode(&kv); err != nil {
		writeError(w, http.StatusBadRequest, failure.BadRequest, "cannot decode the import request: "+err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.memory.newest(kv.Model) == nil {
		writeError(w, http.StatusServiceUnavailable, failure.NotLoaded, "model is not loaded")
		return
	}
	s.cache.store(time.Now(), kv.Model, kv.Prefixes, s.Faults.Get().DropCacheEvents)
	serve.WriteJSON(w, http.StatusOK, struct{}{})
}
