package eventlog

import (
	"cmp"
	"slices"

	"github.com/charmbracelet/log"
)

var catalog []Event

func register(id int, level log.Level, message, meaning string) Event {
	e := Event{ID: id, Level: level, Message: message, Meaning: meaning}
	catalog = append(catalog, e)
	return e
}

// Catalog returns all events, sorted by number.
func Catalog() []Event {
	return slices.SortedFunc(slices.Values(catalog), func(a, b Event) int {
		return cmp.Compare(a.ID, b.ID)
	})
}
