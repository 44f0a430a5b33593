package bench

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/pkg/engine"
)

const (
	// questionTokens is the length in tokens of the unique question that follows the text of a dossier.
	questionTokens = 100
	// sharedPrefixTokens is the length in tokens of the prefix that all short prompts of a member share.
	sharedPrefixTokens = 64
)

// dossierTokens returns the prompt length of a dossier in tokens. It is the same for all requests about the dossier.
func dossierTokens(member string, dossier int, length IntRange) int {
	return length.pick(textStream(dossierName(member, dossier)))
}

func dossierName(member string, dossier int) string {
	return member + "/" + strconv.Itoa(dossier)
}

// textStream returns the random source of the text with the given name.
func textStream(name string) *rand.Rand {
	return rand.New(rand.NewPCG(xxhash.Sum64String(name), 0))
}

// Prompt returns the prompt of a generation request: a prefix that it shares with other requests, then a unique part.
func Prompt(a *Arrival) string {
	shared, name := sharedPrefixTokens, a.Member.Name
	if a.Class == Dossier {
		shared, name = a.PromptTokens-questionTokens, dossierName(a.Member.Name, a.Dossier)
	}
	var b strings.Builder
	b.Grow(a.PromptTokens * engine.BytesPerToken)
	writeWords(&b, textStream(name), shared*engine.BytesPerToken)
	writeWords(&b, rand.New(rand.NewPCG(a.Nonce, 1)), a.PromptTokens*engine.BytesPerToken)
	return b.String()
}

// writeWords appends random words until b has a total length of length bytes.
func writeWords(b *strings.Builder, rng *rand.Rand, length int) {
	for b.Len() < length {
		word := strconv.FormatUint(rng.Uint64(), 36) + " "
		b.WriteString(word[:min(len(word), length-b.Len())])
	}
}
