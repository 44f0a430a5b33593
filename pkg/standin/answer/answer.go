// Package answer generates the text of the stand-in engine's responses.
//
// The text depends only on model, adapter, prompt and token index, so that tests can check that a response is
// complete, belongs to its request and, after a resume, equals the response of an unbroken stream.
package answer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the token at index, counted from 0. A token ends with a space and contains no other space.
func Token(model, adapter, prompt string, index int) string {
	return token(seed(model, adapter, prompt), index)
}

// Text returns the concatenated tokens of the half-open range [from, to).
func Text(model, adapter, prompt string, from, to int) string {
	s := seed(model, adapter, prompt)
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(token(s, i))
	}
	return b.String()
}

// CountTokens returns the number of complete tokens in text.
func CountTokens(text string) int {
	return strings.Count(text, " ")
}

func seed(model, adapter, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt)
}

func token(seed uint64, index int) string {
	name := "w" + strconv.Itoa(index)
	hash := xxhash.Sum64String(strconv.FormatUint(seed, 16) + name)
	return name + "." + strconv.FormatUint(hash&0xffff, 16) + " "
}
