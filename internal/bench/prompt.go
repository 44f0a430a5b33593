package bench

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/pkg/engine"
)

const (
	// questionTokens is the length of the unique question after a dossier.
	questionTokens = 100
	// greetingTokens is the length of the text that all short prompts of a member share.
	greetingTokens = 64
)

// dossierTokens returns the length of a dossier's prompt, the same for every request about it.
func dossierTokens(member string, dossier int, length Span) int {
	return length.pick(textStream(dossierName(member, dossier)))
}

func dossierName(member string, dossier int) string {
	return member + "/" + strconv.Itoa(dossier)
}

func textStream(name string) *rand.Rand {
	return rand.New(rand.NewPCG(xxhash.Sum64String(name), 0))
}

// Prompt returns the text of a generation request: a prefix that other requests share, then a unique part.
func Prompt(a *Arrival) string {
	shared, name := greetingTokens, a.Member.Name
	if a.Class == Dossier {
		shared, name = a.PromptTokens-questionTokens, dossierName(a.Member.Name, a.Dossier)
	}
	var b strings.Builder
	b.Grow(a.PromptTokens * engine.BytesPerToken)
	writeWords(&b, textStream(name), shared*engine.BytesPerToken)
	writeWords(&b, rand.New(rand.NewPCG(a.Nonce, 1)), a.PromptTokens*engine.BytesPerToken)
	return b.String()
}

// writeWords appends words until the text has the given length in bytes.
func writeWords(b *strings.Builder, rng *rand.Rand, length int) {
	for b.Len() < length {
		word := strconv.FormatUint(rng.Uint64(), 36) + " "
		b.WriteString(word[:min(len(word), length-b.Len())])
	}
}
