package entry

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

func openaiClient(f *fixture) openai.Client {
	return openai.NewClient(option.WithBaseURL(f.url+"/v1/"), option.WithAPIKey("none"), option.WithMaxRetries(0))
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hi")}}
}

// Guards against responses that OpenAI's official client cannot read, both complete and streamed.
func TestOpenAIClientReadsAnswers(t *testing.T) {
	f := newFixture(t, nil, newFakeAgent(t, "a", 0, generateAll))
	client := openaiClient(f)
	want := strings.Join(generatedWords, "")
	whole, err := client.Chat.Completions.New(t.Context(), chatParams("m"))
	if err != nil || whole.Choices[0].Message.Content != want || whole.Choices[0].FinishReason != "stop" || whole.Usage.TotalTokens != 12 {
		t.Fatalf("chat completion: error %v, response %+v, want text %q, finish reason stop and 12 tokens", err, whole, want)
	}
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("m"))
	collected := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		if !collected.AddChunk(stream.Current()) {
			t.Fatalf("accumulator refuses chunk %+v", stream.Current())
		}
	}
	if stream.Err() != nil || collected.Choices[0].Message.Content != want || collected.Choices[0].FinishReason != "stop" {
		t.Fatalf("streamed chat completion: error %v, response %+v, want text %q and finish reason stop", stream.Err(), collected, want)
	}
	completion, err := client.Completions.New(t.Context(), openai.CompletionNewParams{Model: "m", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hi")}})
	if err != nil || completion.Choices[0].Text != want {
		t.Fatalf("completion: error %v, response %+v, want text %q", err, completion, want)
	}
	models, err := client.Models.List(t.Context())
	if err != nil || models.Object != "list" {
		t.Fatalf("list of models: error %v, response %+v, want object list", err, models)
	}
}

// Guards against failures that OpenAI's official client does not report as errors, before and after the first byte.
func TestOpenAIClientReportsErrors(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.Retry.MaxAttempts = 1 }, newFakeAgent(t, "a", 0, agentFaults["ends without an end frame"]))
	client := openaiClient(f)
	_, err := client.Chat.Completions.New(t.Context(), chatParams("x"))
	var e *openai.Error
	if !errors.As(err, &e) || e.StatusCode != 404 || e.Code != "not_found" {
		t.Fatalf("unknown model: error %v, want status 404 and code not_found", err)
	}
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("m"))
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Delta.Content
	}
	if stream.Err() == nil || text != "one two " {
		t.Fatalf("truncated stream: error %v after text %q, want an error after %q", stream.Err(), text, "one two ")
	}
}

// Guards against a generation that continues at the agent after the caller has cancelled the request.
func TestCancelReachesAgent(t *testing.T) {
	cancelled := make(chan struct{})
	a := newFakeAgent(t, "a", 0, func(_ *testing.T, c *execCall) {
		generatePart(c, 1)
		<-c.ctx.Done()
		close(cancelled)
	})
	f := newFixture(t, func(s *Settings) { s.Limits.FrameTimeout = time.Minute }, a)
	ctx, cancel := context.WithCancel(t.Context())
	client := openaiClient(f)
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams("m"))
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	cancel()
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("exec call was not cancelled within 5 s of the caller's cancellation")
	}
	if a.count() != 1 {
		t.Fatalf("attempts: %d, want 1", a.count())
	}
}
