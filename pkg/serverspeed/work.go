package serverspeed

// Work is what a server had to do until the first event of a request.
type Work struct {
	// Tokens is the number of prompt tokens, including those of prompts before it.
	Tokens int
	// Running is the number of requests in flight beside it.
	Running int
}
