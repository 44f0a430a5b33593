package entry

import (
	"net/http"

	"trefoilferry.example/ferry/pkg/failure"
)

// generate serves chat completions and completions.
func (s *Server) generate(chat bool) operation {
	return func(w http.ResponseWriter, r *http.Request, id string) *failure.Failure {
		body, f := s.readBody(w, r)
		if f != nil {
			return f
		}
		parsed, prompt, f := parseOpenAI(body, chat)
		if f != nil {
			return f
		}
		request, f := s.resolveGeneration(r, id, parsed, prompt, body)
		if f != nil {
			return f
		}
		form := openaiForm{chat: chat, id: id, model: parsed.Model, created: s.clock.Now().Unix()}
		if !parsed.Stream {
			return s.dispatcher.Run(r.Context(), request, newWholeSink(w, form, s.settings.Limits.AnswerBytes))
		}
		sink := newStreamSink(w, form, parsed.StreamOptions.IncludeUsage)
		f = s.dispatcher.Run(r.Context(), request, sink)
		if f != nil && sink.Delivered() {
			sink.fail(f)
		}
		return f
	}
}
