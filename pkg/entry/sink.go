package entry

import "trefoilferry.example/ferry/api/ferrypb"

// Sink receives the verified answer of a request, possibly from several attempts.
// Errors are failures with code ClientCancelled when the caller is gone.
type Sink interface {
	// Accepted starts the answer of an attempt.
	Accepted(a *ferrypb.Accepted) error
	// Data delivers or buffers a part of the answer.
	Data(payload []byte) error
	// Discard drops what is buffered because the request starts again. It is never called once Delivered is true.
	Discard()
	// Delivered reports whether the caller has received a part of the answer.
	Delivered() bool
	// End completes the answer.
	End(u Usage) error
}

// Usage describes a complete answer.
type Usage struct {
	FinishReason     string
	PromptTokens     uint32
	CompletionTokens uint32
}
