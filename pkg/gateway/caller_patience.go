package gateway

import "time"

const (
	// usualPatience is how long a caller may take nothing of its response before the response ends. It exceeds the seconds
	// after which servers cut off a response that nobody reads, for callers that pause and then read on.
	usualPatience = 10 * time.Second
	// shortPatience takes its place while messages hold more than half of the memory that is meant for them.
	shortPatience = 3 * time.Second
	// roomPatience is how long a stream without room waits for a caller that takes nothing. It ends the stream before its
	// server cuts it off, which would look like a fault of the server and cost another attempt.
	roomPatience = 2 * time.Second
)

// callerPatience returns how long a caller may take nothing of its response while messages hold used of limit bytes.
func callerPatience(used, limit int64) time.Duration {
	if used > limit/2 {
		return shortPatience
	}
	return usualPatience
}
