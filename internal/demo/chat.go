package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"trefoilferry.example/ferry/pkg/failure"
)

// chatTokens is the max_tokens value of the requests.
const chatTokens = 24

// streamChat streams one chat completion through the entry host with the given index, using the official OpenAI client
// library, and returns the request ID.
func (d *Demo) streamChat(ctx context.Context, entry int, model string) (string, error) {
	var header http.Header
	client := openai.NewClient(
		option.WithBaseURL(d.cluster.Entries[entry].URL+"/v1/"),
		option.WithAPIKey("demo"),
		option.WithMaxRetries(0),
		option.WithMiddleware(func(r *http.Request, next option.MiddlewareNext) (*http.Response, error) {
			resp, err := next(r)
			if err == nil {
				header = resp.Header
			}
			return resp, err
		}),
	)
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model:     model,
		MaxTokens: openai.Int(chatTokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which glazing fits a north-facing school roof?")},
	})
	var text strings.Builder
	finish := ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
			finish = max(finish, choice.FinishReason)
		}
	}
	if err := stream.Err(); err != nil {
		return "", failure.Wrap(failure.Internal, failure.Unknown, "chat with "+model+" failed", err)
	}
	requestID := header.Get("X-Request-Id")
	d.printf("request %s finished with %q: %s\n", requestID, finish, text.String())
	if text.Len() == 0 || finish == "" {
		return "", failure.New(failure.Truncated, failure.Ran, fmt.Sprintf("response of %s is incomplete: %d bytes of text, finish reason %q", model, text.Len(), finish))
	}
	return requestID, nil
}
