// Package faults holds the fault switches that all stand-ins share.
package faults

// Switches are the faults of a stand-in. Fields that a stand-in has no use for are ignored by it.
// Counts go down by one with each use; 0 means off.
type Switches struct {
	// Down closes every connection without an answer.
	Down bool `json:"down"`
	// Refuse answers 503 without any effect.
	Refuse bool `json:"refuse"`
	// DelayMillis delays every request before it takes effect.
	DelayMillis int `json:"delay_millis"`
	// LoseAnswerAfterEffect counts requests that take effect and whose connection is then closed without an answer.
	LoseAnswerAfterEffect int `json:"lose_answer_after_effect"`
	// TruncateAnswer counts answers of a service that are cut in half.
	TruncateAnswer int `json:"truncate_answer"`
	// DropOrder counts orders to an engine that are lost without an effect.
	DropOrder int `json:"drop_order"`
	// DelayOrderMillis makes orders take effect late, also after their sender has gone.
	DelayOrderMillis int `json:"delay_order_millis"`
	// BreakStreamAfterTokens closes a stream after this many tokens of this answer.
	BreakStreamAfterTokens int `json:"break_stream_after_tokens"`
	// BreakStreams counts the streams that BreakStreamAfterTokens breaks; 0 with the former set means all.
	BreakStreams int `json:"break_streams"`
	// StallStreamAfterTokens keeps a stream open without further tokens.
	StallStreamAfterTokens int `json:"stall_stream_after_tokens"`
	// OmitDone counts streams that end without the marker [DONE].
	OmitDone int `json:"omit_done"`
	// WrongRequestID counts answers that carry the id of another request in their header.
	WrongRequestID int `json:"wrong_request_id"`
	// WrongChunkID counts streams with one chunk of another request.
	WrongChunkID int `json:"wrong_chunk_id"`
	// DropCacheEvents drops every cache event while set.
	DropCacheEvents bool `json:"drop_cache_events"`
}
