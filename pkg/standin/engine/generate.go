package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/answer"
)

const (
	headerRequestID = "X-Request-Id"
	// maxBodyBytes is the largest request body accepted.
	maxBodyBytes = 32 << 20
	// defaultCompletionTokens is the length of a response if the request has no max_tokens.
	defaultCompletionTokens = 32
	// maxCompletionTokens limits max_tokens, and with it the buffer of a job.
	maxCompletionTokens = 1 << 17
)

// requestFields are the fields of a request body that the engine uses, apart from the prompt.
type requestFields struct {
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Stream       bool   `json:"stream"`
	MaxTokens    int    `json:"max_tokens"`
	MaxNewTokens int    `json:"max_completion_tokens"`
	Priority     int32  `json:"priority"`
	ResumeText   string `json:"resume_text"`
	ResumeTokens int    `json:"resume_tokens"`
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	s.generate(w, r, true)
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	s.generate(w, r, false)
}

// generate submits the job of a request and sends the response.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, failure.BodyTooLarge, "cannot read the request body: "+err.Error())
		return
	}
	var fields requestFields
	prompt, err := engine.PromptText(chat, body)
	if err != nil || json.Unmarshal(body, &fields) != nil {
		writeError(w, http.StatusBadRequest, failure.BadRequest, "request body is not valid JSON or has an invalid field")
		return
	}
	j := s.newJob(r.Context(), r.Header.Get(headerRequestID), fields, prompt)
	j.chat = chat
	if err := s.submit(j); err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Code, err.Message)
		return
	}
	out := newResponseWriter(s, w, j)
	if fields.Stream {
		out.writeStream()
		return
	}
	out.writeFull()
}

// newJob returns the job of a request. The number of tokens in the resume text determines where the response continues.
// The total length includes those tokens, so that a resumed request can repeat the max_tokens of the original request.
func (s *Server) newJob(ctx context.Context, id string, f requestFields, prompt string) *job {
	total, finish := defaultCompletionTokens, "stop"
	if limit := max(f.MaxTokens, f.MaxNewTokens); limit > 0 {
		total, finish = min(limit, maxCompletionTokens), "length"
	}
	from := min(answer.CountTokens(f.ResumeText), total)
	s.checkResume(f, prompt, from)
	return &job{
		ctx: ctx, id: id, model: f.Model, adapter: f.Adapter, priority: f.Priority, prompt: prompt,
		prefixes:    engine.PrefixHashes(f.Model, f.Adapter, prompt),
		prefillLeft: engine.PromptTokens(prompt) + from,
		nextToken:   from, totalTokens: total, finishReason: finish,
		tokens: make(chan int, total-from), aborted: make(chan struct{}),
	}
}

// checkResume counts a resume text that is not the beginning of the response or has a wrong token count.
func (s *Server) checkResume(f requestFields, prompt string, from int) {
	same := strings.TrimSuffix(f.ResumeText, " ") == strings.TrimSuffix(answer.Text(f.Model, f.Adapter, prompt, 0, from), " ")
	if !same || f.ResumeTokens != 0 && f.ResumeTokens != from {
		s.updateCounters(func(c *Counters) { c.ResumeMismatches++ })
	}
}
