package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"trefoilferry.example/ferry/pkg/standin/answer"
)

// result is the response to one request as its caller saw it.
type result struct {
	status       int
	outcome      string
	code         string
	requestID    string
	header       http.Header
	text         string
	finishReason string
	// done is set once a stream's [DONE] marker or a complete non-streaming response has arrived.
	done      bool
	streamErr string
	err       error
}

// callerClient has no timeout; the context of each request limits its duration.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatChunk has the fields of non-streaming responses and of stream chunks.
type chatChunk struct {
	Choices []struct {
		Delta        chatMessage `json:"delta"`
		Message      chatMessage `json:"message"`
		FinishReason string      `json:"finish_reason"`
	} `json:"choices"`
	Error struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// uniquePrompt returns a prompt that no other request uses.
func uniquePrompt() string { return "survey dossier " + uuid.NewString() }

// chat sends one chat request and reads the response to its end. If onText is not nil, it is called after each chunk of a
// stream with the text received so far.
func chat(ctx context.Context, baseURL, model, prompt string, tokens int, stream bool, onText func(total string)) result {
	body, err := json.Marshal(chatBody{Model: model, Stream: stream, MaxTokens: tokens, Messages: []chatMessage{{Role: "user", Content: prompt}}})
	if err != nil {
		return result{err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := callerClient.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	res := newResult(resp)
	if !stream || resp.StatusCode != http.StatusOK {
		return res.readBody(resp.Body)
	}
	return res.readStream(resp.Body, onText)
}

func newResult(resp *http.Response) result {
	return result{
		status: resp.StatusCode, header: resp.Header,
		outcome: resp.Header.Get("X-Ferry-Outcome"), requestID: resp.Header.Get("X-Request-Id"),
	}
}

func (r result) readBody(body io.Reader) result {
	data, err := io.ReadAll(body)
	if err != nil {
		r.err = err
		return r
	}
	var chunk chatChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		r.err = err
		return r
	}
	r.code = chunk.Error.Code
	if len(chunk.Choices) == 1 {
		r.text = chunk.Choices[0].Message.Content
		r.finishReason = chunk.Choices[0].FinishReason
		r.done = true
	}
	return r
}

func (r result) readStream(body io.Reader, onText func(string)) result {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.done = true
			continue
		}
		var chunk chatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			r.err = err
			return r
		}
		r = r.addChunk(chunk)
		if onText != nil {
			onText(r.text)
		}
	}
	r.err = scanner.Err()
	return r
}

func (r result) addChunk(chunk chatChunk) result {
	if chunk.Error.Code != "" {
		r.streamErr = chunk.Error.Code
		r.outcome = chunk.Error.Outcome
	}
	for _, choice := range chunk.Choices {
		r.text += choice.Delta.Content
		if choice.FinishReason != "" {
			r.finishReason = choice.FinishReason
		}
	}
	return r
}

// String describes a result and gives the length of its text instead of the text.
func (r result) String() string {
	return fmt.Sprintf("status %d code %s outcome %s stream error %q done %v finish %q err %v, %d bytes",
		r.status, r.code, r.outcome, r.streamErr, r.done, r.finishReason, r.err, len(r.text))
}

// intact reports whether the response ended without an error and is complete, with exactly the text that the engine
// stand-in generates for this request.
func (r result) intact(model, adapter, prompt string, tokens int) bool {
	return r.err == nil && r.done && r.finishReason != "" && r.text == expectedText(model, adapter, prompt, tokens)
}

// call sends one service request.
func call(ctx context.Context, method, url, key, body string) result {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	return doCall(req, key)
}

// doCall sends a service request, with an idempotency key unless key is empty.
func doCall(req *http.Request, key string) result {
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		// Without GetBody, net/http does not resend a request that has an idempotency key.
		req.GetBody = nil
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	res := newResult(resp)
	data, err := io.ReadAll(resp.Body)
	res.text, res.err = string(data), err
	var chunk chatChunk
	if json.Unmarshal(data, &chunk) == nil {
		res.code = chunk.Error.Code
	}
	return res
}

// withTimeout returns a context for one request that ends after d.
func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// expectedText is the text that the engine stand-in generates for one user message.
func expectedText(model, adapter, prompt string, tokens int) string {
	return answer.Text(model, adapter, "user: "+prompt+"\n", 0, tokens)
}
