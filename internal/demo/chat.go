package demo

import (
	"context"
	"net/http"
	"strings"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"trefoilferry.example/ferry/pkg/failure"
)

// chatTokens is the length of the answers in tokens.
const chatTokens = 24

// chat streams one answer through an entry host with the official client library and returns its request ID.
func (d *Demo) chat(ctx context.Context, entry int, model string) (string, error) {
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
		return "", failure.Wrap(failure.Internal, failure.Unknown, "chat failed", err)
	}
	requestID := header.Get("X-Request-Id")
	d.printf("request %s finished with %q: %s\n", requestID, finish, text.String())
	if text.Len() == 0 || finish == "" {
		return "", failure.New(failure.Truncated, failure.Ran, "the answer is not whole")
	}
	return requestID, nil
}
