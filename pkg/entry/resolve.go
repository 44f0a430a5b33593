package entry

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
)

const (
	// prefixBytes is the leading part of a prompt that decides which runner's prefix cache is preferred.
	prefixBytes = 1024
	// bytesPerToken is the estimate for the length of a prompt in tokens.
	bytesPerToken = 4
)

// resolveGeneration finds model, adapter and workspace of a generation in the configuration.
func (s *Server) resolveGeneration(r *http.Request, id string, parsed *openaiRequest, prompt string, body []byte) (*Request, *failure.Failure) {
	config := s.snapshots.Load().Config
	model, adapter, f := findModel(config, parsed.Model)
	if f != nil {
		return nil, f
	}
	workspace, priority, f := findWorkspace(config, r)
	if f != nil {
		return nil, f
	}
	limit, f := tokenLimit(parsed, model)
	if f != nil {
		return nil, f
	}
	now := s.clock.Now()
	return &Request{
		ID:           id,
		Kind:         ferrypb.RequestKind_REQUEST_KIND_GENERATE,
		Target:       model.Name,
		Adapter:      adapter,
		Workspace:    workspace,
		Priority:     model.Priority + priority,
		Received:     now,
		Deadline:     now.Add(s.settings.Limits.RequestTimeout),
		FirstToken:   model.FirstToken,
		Version:      model.Version,
		Method:       r.Method,
		Path:         r.URL.Path,
		Body:         body,
		Idempotent:   true,
		Stream:       parsed.Stream,
		MaxTokens:    limit,
		PrefixHash:   prefixHash(model.Name, adapter, prompt),
		PromptTokens: uint32((len(prompt) + bytesPerToken - 1) / bytesPerToken),
	}, nil
}

// findModel returns the model of that name, or the base model and the name of an adapter.
func findModel(config ConfigView, name string) (*object.Model, string, *failure.Failure) {
	if model, ok := config.Model(name); ok {
		return model, "", nil
	}
	if adapter, ok := config.Adapter(name); ok {
		if model, ok := config.Model(adapter.Model); ok {
			return model, adapter.Name, nil
		}
	}
	return nil, "", failure.New(failure.NotFound, failure.NotRun, "no such model")
}

// findWorkspace authenticates the workspace. Requests without one are served at the model's own priority.
func findWorkspace(config ConfigView, r *http.Request) (string, int32, *failure.Failure) {
	name := r.Header.Get(headerWorkspace)
	if name == "" {
		return "", 0, nil
	}
	workspace, ok := config.Workspace(name)
	if !ok {
		return "", 0, failure.New(failure.Unauthorized, failure.NotRun, "no such workspace")
	}
	return workspace.Name, workspace.Priority, nil
}

// tokenLimit returns the request's own limit, or the model's if it has none.
func tokenLimit(parsed *openaiRequest, model *object.Model) (uint32, *failure.Failure) {
	limit, f := parsed.maxTokens()
	if f != nil {
		return 0, f
	}
	if limit == 0 {
		return model.MaxTokens, nil
	}
	if model.MaxTokens > 0 && limit > model.MaxTokens {
		return 0, badRequest("max_tokens is above the limit of the model")
	}
	return limit, nil
}

// prefixHash hashes model, adapter and the first prefixBytes of the prompt. Prompts with at least one block of the
// engines' prefix cache get the hash that cache events name, so that agents can tell whether the prefix is cached.
func prefixHash(model, adapter, prompt string) uint64 {
	leading := prompt[:min(len(prompt), prefixBytes)]
	if blocks := engine.PrefixHashes(model, adapter, leading); len(blocks) > 0 {
		return blocks[len(blocks)-1]
	}
	return xxhash.Sum64String(model + "\x00" + adapter + "\x00" + leading)
}
