package bench

import "time"

// Arrival is one request of the load.
type Arrival struct {
	// ID is the request id, unique within a run.
	ID string
	// At is the time since the beginning of the load.
	At    time.Duration
	Class Class
	// Member is the addressed model or adapter; its name is the service's for calls.
	Member Member
	// Entry selects the entry host, modulo their number.
	Entry int
	// Dossier numbers the shared prefix of a dossier request.
	Dossier int
	// PromptTokens and AnswerTokens are the sizes of a generation.
	PromptTokens int
	AnswerTokens int
	// Nonce makes prompts and bodies unique.
	Nonce uint64
	// Key is the idempotency key of a call.
	Key string
}
