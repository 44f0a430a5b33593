package entry

import "trefoilferry.example/ferry/api/ferrypb"

// Sink receives the verified response to a request, which may come from several attempts. Its errors are failures; their
// code is ClientCancelled if the caller has closed the connection.
type Sink interface {
	// Accepted handles the start of an attempt's response.
	Accepted(a *ferrypb.Accepted) error
	// Data delivers or buffers a part of the response body.
	Data(payload []byte) error
	// Discard drops the buffered data, because the request starts from the beginning. It is never called once Delivered
	// returns true.
	Discard()
	// Delivered reports whether a part of the response was sent to the caller.
	Delivered() bool
	// End completes the response.
	End(u Usage) error
}

// Usage holds the finish reason and the token counts of a complete generation.
type Usage struct {
	FinishReason     string
	PromptTokens     uint32
	CompletionTokens uint32
}
