package gateway

import "time"

const (
	// decodeTimePerToken is the accelerator time of one output token in a usual batch.
	decodeTimePerToken = 350 * time.Microsecond
	// sharedPrefillShare is the share of the shared prompt tokens that is usually not cached and has to be processed.
	sharedPrefillShare = 0.3
	// defaultOutputTokens is assumed for requests without an estimate.
	defaultOutputTokens = 100
)

// estimateWork returns the expected accelerator time of a request.
func estimateWork(m *RequestMeta) time.Duration {
	prefillTokens := m.PromptTokens
	if n := len(m.Prompt); n > 1 {
		shared := 0
		for _, part := range m.Prompt[:n-1] {
			shared += part.Tokens
		}
		prefillTokens = max(m.PromptTokens-shared, 0) + int(float64(shared)*sharedPrefillShare)
	}
	return prefillTime(prefillTokens) + time.Duration(expectedOutput(m))*decodeTimePerToken
}

// expectedOutput returns the expected number of output tokens of a request.
func expectedOutput(m *RequestMeta) int {
	output := m.ExpectedOutputTokens
	if output <= 0 {
		output = defaultOutputTokens
	}
	if m.MaxOutputTokens > 0 {
		output = min(output, m.MaxOutputTokens)
	}
	return output
}
