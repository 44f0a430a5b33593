package settings

import (
	"strings"
	"testing"
)

// Guards against a page that loses its prose or another daemon's tables when one is rewritten.
func TestUpdatePage(t *testing.T) {
	page := "intro\n<!-- a begin -->\nold\n<!-- a end -->\n<!-- b begin -->\nkept\n<!-- b end -->\n"
	got, err := UpdatePage(page, "a", &sample{})
	if err != nil {
		t.Fatal(err)
	}
	row := "| `poll_interval` | duration | `250ms` | 10ms to 10s | Time between reads. |"
	if !strings.HasPrefix(got, "intro\n") || !strings.Contains(got, row) || !strings.Contains(got, "kept") || strings.Contains(got, "old") {
		t.Fatal(got)
	}
	if again, _ := UpdatePage(got, "a", &sample{}); again != got {
		t.Fatal("a second update changes the page")
	}
	if _, err := UpdatePage(page, "c", &sample{}); err == nil {
		t.Fatal("missing marks are not reported")
	}
}
