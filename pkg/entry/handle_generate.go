package entry

import (
	"net/http"

	"trefoilferry.example/ferry/pkg/failure"
)

// generate returns the handler for chat completions, or for plain completions if chat is false.
func (s *Server) generate(chat bool) requestHandler {
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
		form := openaiEncoder{chat: chat, id: id, model: parsed.Model, created: s.clock.Now().Unix()}
		if !parsed.Stream {
			return s.dispatcher.Run(r.Context(), request, newBufferedSink(w, form, s.settings.Limits.AnswerBytes))
		}
		sink := newStreamSink(w, form, parsed.StreamOptions.IncludeUsage)
		f = s.dispatcher.Run(r.Context(), request, sink)
		if f != nil && sink.Delivered() {
			sink.endWithError(f)
		}
		return f
	}
}
