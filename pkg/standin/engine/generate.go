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
	// maxBodyBytes bounds one request.
	maxBodyBytes = 32 << 20
	// naturalLength is the length of answers without max_tokens.
	naturalLength = 32
	// longestAnswer bounds the buffer of a job.
	longestAnswer = 1 << 17
)

// generateFields are the fields of a request that the engine reads.
type generateFields struct {
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

func (s *Server) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, failure.BodyTooLarge, "body is incomplete or too large")
		return
	}
	var fields generateFields
	prompt, err := engine.PromptText(chat, body)
	if err != nil || json.Unmarshal(body, &fields) != nil {
		refuse(w, http.StatusBadRequest, failure.BadRequest, "body is no valid request")
		return
	}
	j := s.newJob(r.Context(), r.Header.Get(headerRequestID), fields, prompt)
	j.chat = chat
	if err := s.submit(j); err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Code, err.Message)
		return
	}
	out := newWriter(s, w, j)
	if fields.Stream {
		out.stream()
		return
	}
	out.whole()
}

// newJob returns the job of a request. The length counts resumed tokens, so that a resumed request has the
// max_tokens of the first one. The resume text decides where the answer goes on.
func (s *Server) newJob(ctx context.Context, id string, f generateFields, prompt string) *job {
	total, finish := naturalLength, "stop"
	if limit := max(f.MaxTokens, f.MaxNewTokens); limit > 0 {
		total, finish = min(limit, longestAnswer), "length"
	}
	from := min(answer.Tokens(f.ResumeText), total)
	s.checkResume(f, prompt, from)
	return &job{
		ctx: ctx, id: id, model: f.Model, adapter: f.Adapter, priority: f.Priority, prompt: prompt,
		prefixes: engine.PrefixHashes(f.Model, f.Adapter, prompt),
		prefill:  engine.PromptTokens(prompt) + from,
		next:     from, total: total, finish: finish,
		tokens: make(chan int, total-from), cut: make(chan struct{}),
	}
}

// checkResume counts resume texts that are not the beginning of the answer, or whose token count is wrong.
func (s *Server) checkResume(f generateFields, prompt string, from int) {
	same := strings.TrimSuffix(f.ResumeText, " ") == strings.TrimSuffix(answer.Text(f.Model, f.Adapter, prompt, 0, from), " ")
	if !same || f.ResumeTokens != 0 && f.ResumeTokens != from {
		s.count(func(c *Counters) { c.ResumeMismatches++ })
	}
}
