package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/frame"
	"trefoilferry.example/ferry/pkg/queue"
)

// chatPath is the path of chat completions; every other path is a plain completion.
const chatPath = "/chat/completions"

// generate runs one generation request: admission, adapter, engine call, relay of the stream.
func (s *ExecServer) generate(ctx context.Context, c *call) error {
	if err := checkModel(c); err != nil {
		return err
	}
	slot, err := s.Admission.Admit(ctx, s.queueRequest(c))
	if err != nil {
		return err
	}
	defer slot.Release()
	s.Metrics.queueWait(s.Clock.Now().Sub(c.arrived))
	release, err := s.Adapters.Acquire(ctx, attemptKey(c), c.request.GetTarget(), c.request.GetAdapter())
	if err != nil {
		return err
	}
	defer release()
	stream, err := s.Engine.Generate(ctx, generateRequest(c))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	return s.relay(c, slot, stream)
}

// checkModel refuses a request before it is queued if the model, its version or the adapter is not available here.
func checkModel(c *call) error {
	request := c.request
	model, ok := c.view.Models[request.GetTarget()]
	if !ok {
		return failure.New(failure.NotLoaded, failure.NotRun, "model "+request.GetTarget()+" is not loaded on this runner")
	}
	if want := request.GetModelVersion(); want != "" && want != model.Version {
		return failure.New(failure.NotLoaded, failure.NotRun, "model version "+model.Version+" is loaded on this runner, want "+want)
	}
	if request.GetAdapter() == "" {
		return nil
	}
	adapter, ok := c.view.Config.Adapter(request.GetAdapter())
	if !ok || adapter.Model != request.GetTarget() {
		return failure.New(failure.NotFound, failure.NotRun, "adapter "+request.GetAdapter()+" is not published for model "+request.GetTarget())
	}
	return nil
}

// relay forwards the chunks of the engine's stream as data frames until its end.
func (s *ExecServer) relay(c *call, slot *Slot, stream engine.Stream) error {
	if err := s.accept(c, http.StatusOK, nil); err != nil {
		return err
	}
	first := true
	var last engine.Chunk
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return c.out.WriteEnd(summary(last))
		}
		if err != nil {
			return withStartedOutcome(err)
		}
		if first {
			first = false
			slot.FirstToken()
			s.Metrics.firstToken(s.Clock.Now().Sub(c.arrived))
		}
		last = chunk
		if chunk.Text == "" && chunk.Tokens == 0 {
			continue
		}
		if err := c.out.WriteData([]byte(chunk.Text), chunk.Tokens); err != nil {
			return err
		}
	}
}

// withStartedOutcome changes outcome NotRun to Unknown for a failure after the backend server has accepted the request.
func withStartedOutcome(err error) error {
	f := failure.From(err)
	if f.Outcome != failure.NotRun {
		return f
	}
	return failure.Wrap(f.Code, failure.Unknown, "request failed after the backend server had started it", err)
}

func summary(last engine.Chunk) frame.Summary {
	return frame.Summary{
		FinishReason:     last.FinishReason,
		PromptTokens:     last.PromptTokens,
		CompletionTokens: last.CompletionTokens,
	}
}

func generateRequest(c *call) engine.GenerateRequest {
	path, _, _ := strings.Cut(c.request.GetPath(), "?")
	return engine.GenerateRequest{
		RequestID:    c.request.GetRequestId(),
		Model:        c.request.GetTarget(),
		Adapter:      c.request.GetAdapter(),
		Chat:         strings.HasSuffix(path, chatPath),
		Body:         c.body,
		Priority:     c.request.GetPriority(),
		ResumeText:   c.request.GetResumeText(),
		ResumeTokens: c.request.GetResumeTokens(),
	}
}

// attemptKey identifies an attempt in the admission queue. The request ID alone is not unique, because two attempts of
// one request may reach the same agent.
func attemptKey(c *call) string { return c.request.GetRequestId() + "/" + c.request.GetAttemptId() }

func (s *ExecServer) queueRequest(c *call) queue.Request {
	request := c.request
	blocks := promptBlocks(c)
	s.Chains.Record(request.GetTarget(), request.GetPrefixHash(), blocks)
	out := queue.Request{
		ID:           attemptKey(c),
		Workspace:    request.GetWorkspace(),
		Model:        request.GetTarget(),
		Adapter:      request.GetAdapter(),
		Priority:     request.GetPriority(),
		Arrived:      c.arrived,
		PromptTokens: request.GetPromptTokens() + request.GetResumeTokens(),
		CachedTokens: s.Prefixes.CachedTokens(request.GetTarget(), blocks),
		Blocks:       blocks,
		AdapterWait:  adapterWait(c.view, request.GetTarget(), request.GetAdapter()),
	}
	if request.GetFirstTokenMillis() > 0 {
		out.FirstTokenBy = c.arrived.Add(time.Duration(request.GetFirstTokenMillis()) * time.Millisecond)
	}
	if request.GetDeadlineMillis() > 0 {
		out.Deadline = c.arrived.Add(time.Duration(request.GetDeadlineMillis()) * time.Millisecond)
	}
	return out
}

// promptBlocks returns the block hashes of the prompt; nil for a body without a prompt, which the engine refuses.
func promptBlocks(c *call) []uint64 {
	prompt, err := engine.PromptText(generateRequest(c).Chat, c.body)
	if err != nil {
		return nil
	}
	return engine.PrefixHashes(c.request.GetTarget(), c.request.GetAdapter(), prompt)
}

// adapterLoadTime is the expected time to load an adapter within the in-flight limit, including the round trip of the
// order.
const adapterLoadTime = 15 * time.Millisecond

func adapterWait(v *View, model, adapter string) time.Duration {
	if adapter == "" || v.Adapters[AdapterKey{Model: model, Adapter: adapter}] {
		return 0
	}
	return adapterLoadTime
}
