package engine

import (
	"encoding/json"
	"net/http"
	"strings"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/answer"
	"trefoilferry.example/ferry/pkg/standin/faults"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

// foreignID is the id that fault switches put into a response or chunk in place of the request's own id.
const foreignID = "00000000-foreign"

// foreignText is the text of a chunk with foreignID, so that a check of the response shows whether it was delivered.
const foreignText = "foreign "

// responseWriter sends the response of one job.
type responseWriter struct {
	server *Server
	w      http.ResponseWriter
	job    *job
	// breakAfterTokens, stallAfterTokens, wrongChunk and omitDone are the faults of this response.
	breakAfterTokens int
	stallAfterTokens int
	wrongChunk       bool
	omitDone         bool
}

// newResponseWriter sets the request id header and consumes the fault switches that apply to this response.
func newResponseWriter(s *Server, w http.ResponseWriter, j *job) *responseWriter {
	take := s.Faults.Take
	out := &responseWriter{server: s, w: w, job: j, breakAfterTokens: s.Faults.TakeStreamBreak(), stallAfterTokens: s.Faults.Get().StallStreamAfterTokens}
	out.wrongChunk = take(func(f *faults.Switches) *int { return &f.WrongChunkID })
	out.omitDone = take(func(f *faults.Switches) *int { return &f.OmitDone })
	id := j.id
	if take(func(f *faults.Switches) *int { return &f.WrongRequestID }) {
		id = foreignID
	}
	w.Header().Set(headerRequestID, id)
	return out
}

// writeStream sends the response as a stream: one event per token, a last event with the usage, and the end marker.
func (o *responseWriter) writeStream() {
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.WriteHeader(http.StatusOK)
	o.flush()
	sent := 0
	for {
		index, state := o.nextToken()
		switch state {
		case generationDone:
			o.writeEnd()
			return
		case generationAborted:
			faults.CloseConn(o.w)
			return
		case clientGone:
			return
		}
		o.writeEvent(o.tokenEvent(index, sent))
		sent++
		if o.breakAfterTokens > 0 && sent >= o.breakAfterTokens {
			faults.CloseConn(o.w)
			return
		}
		if o.stallAfterTokens > 0 && sent >= o.stallAfterTokens {
			<-o.job.ctx.Done()
			return
		}
	}
}

// tokenState is the result of nextToken.
type tokenState int

const (
	tokenReady tokenState = iota
	generationDone
	generationAborted
	clientGone
)

// nextToken waits for the next token and returns its index.
func (o *responseWriter) nextToken() (int, tokenState) {
	select {
	case index, ok := <-o.job.tokens:
		if !ok {
			return 0, generationDone
		}
		return index, tokenReady
	case <-o.job.aborted:
		return 0, generationAborted
	case <-o.job.ctx.Done():
		return 0, clientGone
	case <-o.server.stop:
		return 0, generationAborted
	}
}

// writeFull sends the response as one JSON object after the last token.
func (o *responseWriter) writeFull() {
	var text strings.Builder
	for {
		index, state := o.nextToken()
		switch state {
		case generationDone:
			o.countCompleted()
			serve.WriteJSON(o.w, http.StatusOK, o.fullResponse(text.String()))
			return
		case generationAborted:
			writeError(o.w, http.StatusInternalServerError, failure.EngineFailed, "request aborted: model was unloaded or engine stopped")
			return
		case clientGone:
			return
		}
		text.WriteString(o.tokenText(index))
	}
}

// writeEnd sends the last event, with finish reason and usage, and the end marker.
func (o *responseWriter) writeEnd() {
	last := o.baseEvent()
	last.Choices = []engine.Choice{o.choice("", &o.job.finishReason)}
	last.Usage = o.usage()
	var zero uint32
	last.Tokens = &zero
	o.writeEvent(last)
	if o.omitDone {
		return
	}
	_, _ = o.w.Write([]byte("data: [DONE]\n\n"))
	o.countCompleted()
}

func (o *responseWriter) countCompleted() {
	o.server.updateCounters(func(c *Counters) { c.Completed++ })
}

func (o *responseWriter) writeEvent(e engine.StreamEvent) {
	data, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = o.w.Write([]byte("data: " + string(data) + "\n\n"))
	o.flush()
}

func (o *responseWriter) flush() {
	_ = http.NewResponseController(o.w).Flush()
}

// tokenText returns the text of a token and counts it.
func (o *responseWriter) tokenText(index int) string {
	o.server.updateCounters(func(c *Counters) { c.Tokens++ })
	return answer.Token(o.job.model, o.job.adapter, o.job.prompt, index)
}

// tokenEvent returns the event of a token; sent is the number of events before it.
func (o *responseWriter) tokenEvent(index, sent int) engine.StreamEvent {
	e := o.baseEvent()
	text := o.tokenText(index)
	if o.wrongChunk && sent == 1 {
		e.ID = foreignID
		text = foreignText
	}
	e.Choices = []engine.Choice{o.choice(text, nil)}
	one := uint32(1)
	e.Tokens = &one
	return e
}

func (o *responseWriter) fullResponse(text string) engine.StreamEvent {
	e := o.baseEvent()
	choice := engine.Choice{FinishReason: &o.job.finishReason}
	if o.job.chat {
		e.Object = "chat.completion"
		choice.Message = &engine.Message{Role: "assistant", Content: text}
	} else {
		choice.Text = text
	}
	e.Choices = []engine.Choice{choice}
	e.Usage = o.usage()
	return e
}

// baseEvent returns a stream event with id, object and model.
func (o *responseWriter) baseEvent() engine.StreamEvent {
	if o.job.chat {
		return engine.StreamEvent{ID: "chatcmpl-" + o.job.id, Object: "chat.completion.chunk", Model: o.job.model}
	}
	return engine.StreamEvent{ID: "cmpl-" + o.job.id, Object: "text_completion", Model: o.job.model}
}

func (o *responseWriter) choice(text string, finish *string) engine.Choice {
	if o.job.chat {
		return engine.Choice{Delta: &engine.Message{Content: text}, FinishReason: finish}
	}
	return engine.Choice{Text: text, FinishReason: finish}
}

func (o *responseWriter) usage() *engine.Usage {
	prompt := uint32(engine.PromptTokens(o.job.prompt))
	completion := uint32(o.job.totalTokens)
	return &engine.Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}
