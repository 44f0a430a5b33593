package bench

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"trefoilferry.example/ferry/pkg/failure"
)

// streamEvent is one server-sent event of a generation.
type streamEvent struct {
	// Text is the generated text of the chunk; Finish is the finish reason, if any.
	Text   string
	Finish string
	// Done marks the end of the stream.
	Done bool
	// Failure is set for an error event.
	Failure *failure.Failure
}

// streamData is the JSON of chunks and of error events.
type streamData struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *errorDetail `json:"error"`
}

// errorDetail is the part of an error response that the tool reads.
type errorDetail struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

func (d *errorDetail) failure() *failure.Failure {
	return failure.New(failure.Code(d.Code), failure.ParseOutcome(d.Outcome), d.Message)
}

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// streamReader reads the events of a generation.
type streamReader struct {
	lines *bufio.Reader
}

func newStreamReader(r io.Reader) *streamReader {
	return &streamReader{lines: bufio.NewReader(r)}
}

// next returns the next event; io.EOF at the end of the stream.
func (s *streamReader) next() (streamEvent, error) {
	for {
		line, err := s.lines.ReadBytes('\n')
		if err != nil {
			return streamEvent{}, err
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		if ok {
			return parseEvent(data)
		}
	}
}

func parseEvent(data []byte) (streamEvent, error) {
	if bytes.Equal(data, doneMarker) {
		return streamEvent{Done: true}, nil
	}
	var parsed streamData
	if err := json.Unmarshal(data, &parsed); err != nil {
		return streamEvent{}, failure.Wrap(failure.FrameMismatch, failure.Unknown, "cannot decode stream event", err)
	}
	if parsed.Error != nil {
		return streamEvent{Failure: parsed.Error.failure()}, nil
	}
	event := streamEvent{}
	for _, c := range parsed.Choices {
		event.Text += c.Delta.Content
		event.Finish += c.FinishReason
	}
	return event, nil
}
