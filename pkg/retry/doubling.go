package retry

import "time"

// maxDoublings keeps the shift from overflowing; limits are reached with fewer doublings.
const maxDoublings = 8

// DoublingDelay returns a backoff or timeout that doubles with each consecutive failure, up to limit. Without failures
// it returns first.
func DoublingDelay(first, limit time.Duration, failures int) time.Duration {
	return min(first<<min(max(failures, 0), maxDoublings), limit)
}
