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

// foreignID stands in answers that a fault switch gives the id of another request.
const foreignID = "00000000-foreign"

// foreignText is the text of a chunk of another request, so that a delivered one shows in the answer.
const foreignText = "foreign "

// writer sends the answer of one job.
type writer struct {
	server *Server
	w      http.ResponseWriter
	job    *job
	// breakAfter, stallAfter and wrongChunk are the faults of this answer.
	breakAfter int
	stallAfter int
	wrongChunk bool
	omitDone   bool
}

func newWriter(s *Server, w http.ResponseWriter, j *job) *writer {
	take := s.Faults.Take
	out := &writer{server: s, w: w, job: j, breakAfter: s.Faults.TakeBreak(), stallAfter: s.Faults.Get().StallStreamAfterTokens}
	out.wrongChunk = take(func(f *faults.Switches) *int { return &f.WrongChunkID })
	out.omitDone = take(func(f *faults.Switches) *int { return &f.OmitDone })
	id := j.id
	if take(func(f *faults.Switches) *int { return &f.WrongRequestID }) {
		id = foreignID
	}
	w.Header().Set(headerRequestID, id)
	return out
}

// stream sends one event per token and the end marker.
func (o *writer) stream() {
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.WriteHeader(http.StatusOK)
	o.flush()
	sent := 0
	for {
		index, state := o.token()
		switch state {
		case jobDone:
			o.end()
			return
		case jobCut:
			faults.Hangup(o.w)
			return
		case jobGone:
			return
		}
		o.event(o.tokenEvent(index, sent))
		sent++
		if o.breakAfter > 0 && sent >= o.breakAfter {
			faults.Hangup(o.w)
			return
		}
		if o.stallAfter > 0 && sent >= o.stallAfter {
			<-o.job.ctx.Done()
			return
		}
	}
}

// jobState is why token returned.
type jobState int

const (
	jobToken jobState = iota
	jobDone
	jobCut
	jobGone
)

func (o *writer) token() (int, jobState) {
	select {
	case index, ok := <-o.job.tokens:
		if !ok {
			return 0, jobDone
		}
		return index, jobToken
	case <-o.job.cut:
		return 0, jobCut
	case <-o.job.ctx.Done():
		return 0, jobGone
	case <-o.server.stop:
		return 0, jobCut
	}
}

// whole sends the answer in one piece.
func (o *writer) whole() {
	var text strings.Builder
	for {
		index, state := o.token()
		switch state {
		case jobDone:
			o.completed()
			serve.JSON(o.w, http.StatusOK, o.wholeEvent(text.String()))
			return
		case jobCut:
			refuse(o.w, http.StatusInternalServerError, failure.EngineFailed, "model was unloaded")
			return
		case jobGone:
			return
		}
		text.WriteString(o.text(index))
	}
}

func (o *writer) end() {
	last := o.base()
	last.Choices = []engine.Choice{o.choice("", &o.job.finish)}
	last.Usage = o.usage()
	var none uint32
	last.Tokens = &none
	o.event(last)
	if o.omitDone {
		return
	}
	_, _ = o.w.Write([]byte("data: [DONE]\n\n"))
	o.completed()
}

func (o *writer) completed() {
	o.server.count(func(c *Counters) { c.Completed++ })
}

func (o *writer) event(e engine.StreamEvent) {
	data, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = o.w.Write([]byte("data: " + string(data) + "\n\n"))
	o.flush()
}

func (o *writer) flush() {
	_ = http.NewResponseController(o.w).Flush()
}

func (o *writer) text(index int) string {
	o.server.count(func(c *Counters) { c.Tokens++ })
	return answer.Token(o.job.model, o.job.adapter, o.job.prompt, index)
}

func (o *writer) tokenEvent(index, sent int) engine.StreamEvent {
	e := o.base()
	text := o.text(index)
	if o.wrongChunk && sent == 1 {
		e.ID = foreignID
		text = foreignText
	}
	e.Choices = []engine.Choice{o.choice(text, nil)}
	one := uint32(1)
	e.Tokens = &one
	return e
}

func (o *writer) wholeEvent(text string) engine.StreamEvent {
	e := o.base()
	choice := engine.Choice{FinishReason: &o.job.finish}
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

func (o *writer) base() engine.StreamEvent {
	if o.job.chat {
		return engine.StreamEvent{ID: "chatcmpl-" + o.job.id, Object: "chat.completion.chunk", Model: o.job.model}
	}
	return engine.StreamEvent{ID: "cmpl-" + o.job.id, Object: "text_completion", Model: o.job.model}
}

func (o *writer) choice(text string, finish *string) engine.Choice {
	if o.job.chat {
		return engine.Choice{Delta: &engine.Message{Content: text}, FinishReason: finish}
	}
	return engine.Choice{Text: text, FinishReason: finish}
}

func (o *writer) usage() *engine.Usage {
	prompt := uint32(engine.PromptTokens(o.job.prompt))
	completion := uint32(o.job.total)
	return &engine.Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}
