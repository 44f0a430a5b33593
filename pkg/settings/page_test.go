package settings

import (
	"strings"
	"testing"
)

// Guards against an update that removes prose or another daemon's tables from the page.
func TestUpdatePage(t *testing.T) {
	page := "intro\n<!-- a begin -->\nold\n<!-- a end -->\n<!-- b begin -->\nkept\n<!-- b end -->\n"
	got, err := UpdatePage(page, "a", &sample{})
	if err != nil {
		t.Fatal(err)
	}
	row := "| `poll_interval` | duration | `250ms` | 10ms to 10s | Time between reads. |"
	if !strings.HasPrefix(got, "intro\n") || !strings.Contains(got, row) || !strings.Contains(got, "kept") || strings.Contains(got, "old") {
		t.Fatalf("updated page is\n%s\nwant the introduction, the row %q and the text of b kept, and the text of a replaced", got, row)
	}
	if again, _ := UpdatePage(got, "a", &sample{}); again != got {
		t.Fatalf("page after a second update is\n%s\nwant no change from\n%s", again, got)
	}
	if _, err := UpdatePage(page, "c", &sample{}); err == nil {
		t.Fatal("UpdatePage of a page without markers for daemon c returned no error")
	}
}
