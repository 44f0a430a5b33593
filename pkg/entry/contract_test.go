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

// Guards against answers that the official client cannot read, whole or streamed.
func TestOpenAIClientReadsAnswers(t *testing.T) {
	f := newFixture(t, nil, newFakeAgent(t, "a", 0, tellStory))
	client := openaiClient(f)
	want := strings.Join(story, "")
	whole, err := client.Chat.Completions.New(t.Context(), chatParams("m"))
	if err != nil || whole.Choices[0].Message.Content != want || whole.Choices[0].FinishReason != "stop" || whole.Usage.TotalTokens != 12 {
		t.Fatalf("%v %+v", err, whole)
	}
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("m"))
	collected := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		if !collected.AddChunk(stream.Current()) {
			t.Fatal("chunk does not fit")
		}
	}
	if stream.Err() != nil || collected.Choices[0].Message.Content != want || collected.Choices[0].FinishReason != "stop" {
		t.Fatalf("%v %+v", stream.Err(), collected)
	}
	completion, err := client.Completions.New(t.Context(), openai.CompletionNewParams{Model: "m", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hi")}})
	if err != nil || completion.Choices[0].Text != want {
		t.Fatalf("%v %+v", err, completion)
	}
	models, err := client.Models.List(t.Context())
	if err != nil || models.Object != "list" {
		t.Fatalf("%v %+v", err, models)
	}
}

// Guards against errors that the official client does not see, before and after the first byte.
func TestOpenAIClientSeesErrors(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.Retry.MaxAttempts = 1 }, newFakeAgent(t, "a", 0, faults["truncates silently"]))
	client := openaiClient(f)
	_, err := client.Chat.Completions.New(t.Context(), chatParams("x"))
	var e *openai.Error
	if !errors.As(err, &e) || e.StatusCode != 404 || e.Code != "not_found" {
		t.Fatalf("unknown model: %v", err)
	}
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("m"))
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Delta.Content
	}
	if stream.Err() == nil || text != "one two " {
		t.Fatalf("truncated stream: %v %q", stream.Err(), text)
	}
}

// Guards against work that goes on at the agent after the caller has left.
func TestCancelReachesAgent(t *testing.T) {
	cancelled := make(chan struct{})
	a := newFakeAgent(t, "a", 0, func(_ *testing.T, c *execCall) {
		tellPart(c, 1)
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
		t.Fatal("the agent was not told")
	}
	if a.count() != 1 {
		t.Fatalf("%d attempts", a.count())
	}
}
