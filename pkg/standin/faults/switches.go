// Package faults injects faults into the HTTP servers of the stand-ins.
package faults

// Switches selects the faults of a stand-in. A stand-in ignores the fields that do not apply to it.
// Counts are decremented with each use; 0 means off.
type Switches struct {
	// Down closes the connection of every request without a response.
	Down bool `json:"down"`
	// Refuse responds to every request with status 503 before it takes effect.
	Refuse bool `json:"refuse"`
	// DelayMillis delays every request before it takes effect.
	DelayMillis int `json:"delay_millis"`
	// LoseAnswerAfterEffect is the number of requests that take effect, but whose connection is closed without a
	// response.
	LoseAnswerAfterEffect int `json:"lose_answer_after_effect"`
	// TruncateAnswer is the number of service responses whose connection is closed in the middle of the body.
	TruncateAnswer int `json:"truncate_answer"`
	// DropOrder is the number of engine orders that are lost before they take effect.
	DropOrder int `json:"drop_order"`
	// DelayOrderMillis delays the effect of engine orders. The order takes effect even if its client has disconnected.
	DelayOrderMillis int `json:"delay_order_millis"`
	// BreakStreamAfterTokens closes the connection of a stream after this many tokens of its response.
	BreakStreamAfterTokens int `json:"break_stream_after_tokens"`
	// BreakStreams is the number of streams that BreakStreamAfterTokens breaks; 0 means all.
	BreakStreams int `json:"break_streams"`
	// StallStreamAfterTokens stops sending after this many tokens and keeps the stream open.
	StallStreamAfterTokens int `json:"stall_stream_after_tokens"`
	// OmitDone is the number of streams that end without the marker [DONE].
	OmitDone int `json:"omit_done"`
	// WrongRequestID is the number of responses whose header carries the id of another request.
	WrongRequestID int `json:"wrong_request_id"`
	// WrongChunkID is the number of streams with one chunk that belongs to another request.
	WrongChunkID int `json:"wrong_chunk_id"`
	// DropCacheEvents makes the engine lose all cache events while set.
	DropCacheEvents bool `json:"drop_cache_events"`
}
