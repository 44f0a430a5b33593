package gateway

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// prefixLink is one shared part of a prompt, identified together with all parts before it.
type prefixLink struct {
	// hash covers the model, the adapter and all parts up to this one, because a runner can reuse the cached part only
	// after the same preceding parts.
	hash   uint64
	tokens int
}

// prefixChain returns all parts of a prompt but the last, which is not shared with other requests.
func prefixChain(m *RequestMeta) []prefixLink {
	if len(m.Prompt) < 2 {
		return nil
	}
	digest := xxhash.New()
	// Writing to a hash cannot fail.
	_, _ = digest.WriteString(m.Model + "/" + m.Adapter)
	chain := make([]prefixLink, 0, len(m.Prompt)-1)
	for _, part := range m.Prompt[:len(m.Prompt)-1] {
		_, _ = digest.WriteString("\x00" + part.ID)
		chain = append(chain, prefixLink{hash: digest.Sum64(), tokens: part.Tokens})
	}
	return chain
}

// prefixKey returns the rendezvous key of the shared parts. chain must not be empty.
func prefixKey(chain []prefixLink) string {
	return strconv.FormatUint(chain[len(chain)-1].hash, 16)
}
