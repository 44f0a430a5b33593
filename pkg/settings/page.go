package settings

import (
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
)

// UpdatePage returns the text of docs/settings.md with the reference of dst between the marks of the daemon.
// It fails with code Internal if the page has no such marks.
func UpdatePage(page, daemon string, dst any) (string, error) {
	begin := "<!-- " + daemon + " begin -->\n"
	end := "<!-- " + daemon + " end -->"
	before, rest, found := strings.Cut(page, begin)
	_, after, closed := strings.Cut(rest, end)
	if !found || !closed {
		return "", failure.New(failure.Internal, failure.NotRun, "page has no marks for "+daemon)
	}
	return before + begin + "\n" + Reference(dst) + end + after, nil
}
