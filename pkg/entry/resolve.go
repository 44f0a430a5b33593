package entry

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
)

const (
	// prefixBytes is the length of the leading part of a prompt that is hashed to prefer runners with a cached prefix.
	prefixBytes = 1024
	// bytesPerToken is the assumed length of a token, from which the length of a prompt in tokens is estimated.
	bytesPerToken = 4
)

// resolveGeneration builds the request for a generation from the configuration of its model, adapter and workspace.
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
		ID:               id,
		Kind:             ferrypb.RequestKind_REQUEST_KIND_GENERATE,
		Target:           model.Name,
		Adapter:          adapter,
		Workspace:        workspace,
		Priority:         model.Priority + priority,
		ReceivedAt:       now,
		Deadline:         now.Add(s.settings.Limits.RequestTimeout),
		FirstTokenTarget: model.FirstTokenTarget,
		ModelVersion:     model.Version,
		Method:           r.Method,
		Path:             r.URL.Path,
		Body:             body,
		Idempotent:       true,
		Stream:           parsed.Stream,
		MaxTokens:        limit,
		PrefixHash:       prefixHash(model.Name, adapter, prompt),
		PromptTokens:     uint32((len(prompt) + bytesPerToken - 1) / bytesPerToken),
	}, nil
}

// findModel returns the model with the name or, if the name is an adapter's, its base model and the adapter.
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

// findWorkspace returns the workspace named in the header and its priority, which is added to the target's. Requests
// without a workspace get no additional priority; an unknown one fails with code Unauthorized.
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

// tokenLimit returns the limit on generated tokens: the request's or, without one, the model's. A limit above the model's
// fails with code BadRequest.
func tokenLimit(parsed *openaiRequest, model *object.Model) (uint32, *failure.Failure) {
	limit, f := parsed.maxTokens()
	if f != nil {
		return 0, f
	}
	if limit == 0 {
		return model.MaxTokens, nil
	}
	if model.MaxTokens > 0 && limit > model.MaxTokens {
		return 0, badRequest("max_tokens is above the limit of the model: got " + strconv.FormatUint(uint64(limit), 10) + ", limit " + strconv.FormatUint(uint64(model.MaxTokens), 10))
	}
	return limit, nil
}

// prefixHash hashes model, adapter and the first prefixBytes of the prompt. For prompts of at least one block of the
// engines' prefix cache, it returns the same hash as the engines' cache events, so that agents can check whether the
// prefix is cached.
func prefixHash(model, adapter, prompt string) uint64 {
	leading := prompt[:min(len(prompt), prefixBytes)]
	if blocks := engine.PrefixHashes(model, adapter, leading); len(blocks) > 0 {
		return blocks[len(blocks)-1]
	}
	return xxhash.Sum64String(model + "\x00" + adapter + "\x00" + leading)
}
