package bench

import "time"

// Arrival is one scheduled request of the load.
type Arrival struct {
	// ID is the request ID, unique within a run.
	ID string
	// At is the scheduled send time, counted from the start of the load.
	At    time.Duration
	Class Class
	// Member is the model or adapter that the request addresses. For a service call only its name is set, to the name of
	// the service.
	Member Member
	// Entry selects the entry host: its index is Entry modulo the number of entry hosts.
	Entry int
	// Dossier is the number of the shared prompt prefix of a dossier request.
	Dossier int
	// PromptTokens and OutputTokens are the lengths of the prompt and the response of a generation.
	PromptTokens int
	OutputTokens int
	// Nonce makes prompts and bodies unique.
	Nonce uint64
	// Key is the idempotency key of a call.
	Key string
}
