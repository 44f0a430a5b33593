package engine

// GenerateRequest describes one generation.
type GenerateRequest struct {
	RequestID string
	Model     string
	// Adapter is empty for the base model.
	Adapter string
	// Chat is true for /v1/chat/completions and false for /v1/completions.
	Chat bool
	// Body is the caller's JSON body. The client sets model, adapter, stream, stream_options and the fields below in it.
	Body []byte
	// Priority orders requests at the engine; requests with a higher value are served first.
	Priority int32
	// ResumeText is text that was already generated; the engine continues after it.
	ResumeText string
	// ResumeTokens is the number of tokens in ResumeText.
	ResumeTokens uint32
}

// Chunk is a part of the generated text.
type Chunk struct {
	Text   string
	Tokens uint32
	// FinishReason is set on the last chunk: stop or length.
	FinishReason string
	// PromptTokens and CompletionTokens are set on the last chunk. CompletionTokens includes the tokens of ResumeText.
	PromptTokens     uint32
	CompletionTokens uint32
}

// OrderKind is the operation that an order requests.
type OrderKind string

const (
	// LoadModel loads a model version.
	LoadModel OrderKind = "load_model"
	// UnloadModel unloads a model.
	UnloadModel OrderKind = "unload_model"
	// LoadAdapter loads an adapter of a model that is already loaded.
	LoadAdapter OrderKind = "load_adapter"
	// UnloadAdapter unloads an adapter.
	UnloadAdapter OrderKind = "unload_adapter"
	// Fence only raises the highest fencing token that the engine has seen.
	Fence OrderKind = "fence"
)

// Order is a request to an engine to load or unload a model or an adapter, or to raise the fencing token.
type Order struct {
	// ID is unique per order; the load report names the order that loaded each model.
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	// Bytes is the accelerator memory that the model or adapter takes.
	Bytes uint64 `json:"bytes,omitempty"`
	// Fencing is the fencing token of the agent incarnation that sends the order.
	Fencing uint64 `json:"fencing"`
}

// LoadReport is the state of an engine: its memory, its loaded models and its running and waiting requests.
type LoadReport struct {
	// Instance identifies the engine process.
	Instance string `json:"instance"`
	// Fencing is the highest fencing token seen; 0 if the engine does not enforce fencing.
	Fencing uint64 `json:"fencing"`
	// HonoursFencing reports whether the engine refuses orders with a lower fencing token than the highest one seen.
	HonoursFencing bool          `json:"honours_fencing"`
	MemoryBytes    uint64        `json:"memory_bytes"`
	UsedBytes      uint64        `json:"used_bytes"`
	Models         []LoadedModel `json:"models"`
	Running        uint32        `json:"running"`
	Waiting        uint32        `json:"waiting"`
	// PrefillTokensPerSecond is the prefill rate of the engine, DecodeTokensPerSecond the decode rate of one running
	// request at the current batch size.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	DecodeTokensPerSecond  float64 `json:"decode_tokens_per_second"`
	// MaxRunning is the maximum batch size.
	MaxRunning uint32 `json:"max_running"`
}

// LoadedModel is a model that is loaded in an engine.
type LoadedModel struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   uint64 `json:"bytes"`
	// OrderID identifies the order that loaded the model.
	OrderID  string   `json:"order_id"`
	Adapters []string `json:"adapters"`
}

// CacheEvent reports that a prompt prefix was added to or evicted from the prefix cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Model string `json:"model"`
	// PrefixHash is the prefix hash, see PrefixHashes.
	PrefixHash uint64 `json:"prefix"`
	// Tokens is the length of the prefix.
	Tokens uint32 `json:"tokens"`
	// Stored is true if the prefix was added and false if it was evicted.
	Stored bool `json:"stored"`
}
