package retry

import "time"

// maxDoublings keeps the shift of a pause in range; limits are reached long before.
const maxDoublings = 8

// Doubling returns a time that doubles with each failure in a row and stays at limit. It is first without a failure.
func Doubling(first, limit time.Duration, failures int) time.Duration {
	return min(first<<min(max(failures, 0), maxDoublings), limit)
}
