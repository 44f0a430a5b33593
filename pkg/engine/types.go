package engine

// GenerateRequest is one generation.
type GenerateRequest struct {
	RequestID string
	Model     string
	// Adapter is empty for the base model.
	Adapter string
	// Chat is true for /v1/chat/completions and false for /v1/completions.
	Chat bool
	// Body is the caller's JSON body; the client sets model, stream and the fields below in it.
	Body []byte
	// Priority is higher for requests to be served first.
	Priority int32
	// ResumeText continues an answer after text that was already generated.
	ResumeText string
	// ResumeTokens is the number of tokens in ResumeText.
	ResumeTokens uint32
}

// Chunk is a piece of generated text.
type Chunk struct {
	Text   string
	Tokens uint32
	// FinishReason is set on the last chunk: stop or length.
	FinishReason string
	// PromptTokens and CompletionTokens are set on the last chunk. CompletionTokens counts resumed tokens too.
	PromptTokens     uint32
	CompletionTokens uint32
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

const (
	// LoadModel loads a model version.
	LoadModel OrderKind = "load_model"
	// UnloadModel frees a model.
	UnloadModel OrderKind = "unload_model"
	// LoadAdapter loads an adapter of a loaded model.
	LoadAdapter OrderKind = "load_adapter"
	// UnloadAdapter frees an adapter.
	UnloadAdapter OrderKind = "unload_adapter"
	// Fence only raises the fencing number that the engine has seen.
	Fence OrderKind = "fence"
)

// Order asks an engine to change what it has loaded.
type Order struct {
	// ID is unique per order; the report names the order that loaded each object.
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	// Bytes is the accelerator memory of the object.
	Bytes uint64 `json:"bytes,omitempty"`
	// Fencing is the fencing number of the ordering agent incarnation.
	Fencing uint64 `json:"fencing"`
}

// Report is the load report of an engine.
type Report struct {
	// Instance identifies the engine process.
	Instance string `json:"instance"`
	// Fencing is the highest fencing number seen; 0 when the engine ignores fencing.
	Fencing uint64 `json:"fencing"`
	// HonoursFencing is true when the engine refuses orders with an old fencing number.
	HonoursFencing bool          `json:"honours_fencing"`
	MemoryBytes    uint64        `json:"memory_bytes"`
	UsedBytes      uint64        `json:"used_bytes"`
	Models         []LoadedModel `json:"models"`
	Running        uint32        `json:"running"`
	Waiting        uint32        `json:"waiting"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are the engine's rates; decode is per running request at the current batch.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	DecodeTokensPerSecond  float64 `json:"decode_tokens_per_second"`
	// MaxRunning is the largest batch.
	MaxRunning uint32 `json:"max_running"`
}

// LoadedModel is one model in the memory of an engine.
type LoadedModel struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   uint64 `json:"bytes"`
	// OrderID is the order that loaded it.
	OrderID  string   `json:"order_id"`
	Adapters []string `json:"adapters"`
}

// CacheEvent tells that a prompt prefix entered or left the prefix cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Model string `json:"model"`
	// Prefix is the hash of the leading part of the prompt.
	Prefix uint64 `json:"prefix"`
	Tokens uint32 `json:"tokens"`
	Stored bool   `json:"stored"`
}
