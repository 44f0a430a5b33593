package settings

import (
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
)

// UpdatePage returns page, the text of docs/settings.md, with the reference of dst between the markers of the daemon.
// It fails with code Internal if the page has no such markers.
func UpdatePage(page, daemon string, dst any) (string, error) {
	begin := "<!-- " + daemon + " begin -->\n"
	end := "<!-- " + daemon + " end -->"
	before, rest, found := strings.Cut(page, begin)
	_, after, closed := strings.Cut(rest, end)
	if !found || !closed {
		return "", failure.New(failure.Internal, failure.NotRun, "settings page has no begin and end markers for "+daemon)
	}
	return before + begin + "\n" + ReferenceMarkdown(dst) + end + after, nil
}
