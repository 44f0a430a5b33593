// Package answer defines the text that the stand-in engine generates.
//
// The text depends on model, adapter, prompt and token index only, so that tests can tell whether an answer is
// whole, belongs to its caller, and equals an unbroken one after a resume.
package answer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the token with an index, counted from 0. Tokens end with a space and contain no other one.
func Token(model, adapter, prompt string, index int) string {
	return token(seed(model, adapter, prompt), index)
}

// Text returns the tokens from index from up to, but without, index to.
func Text(model, adapter, prompt string, from, to int) string {
	s := seed(model, adapter, prompt)
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(token(s, i))
	}
	return b.String()
}

// Tokens returns the number of whole tokens in text.
func Tokens(text string) int {
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
