package gateway

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// prefixLink is one shared part of a prompt after all parts before it.
type prefixLink struct {
	// hash covers model, adapter and all parts up to this one: a runner reuses a part only after the same parts.
	hash   uint64
	tokens int
}

// prefixChain returns the shared parts of a prompt; the last part belongs to the request alone.
func prefixChain(m *Meta) []prefixLink {
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

// prefixKey identifies the shared parts for the choice of a common runner.
func prefixKey(chain []prefixLink) string {
	return strconv.FormatUint(chain[len(chain)-1].hash, 16)
}
