package settings_test

import (
	"flag"
	"os"
	"testing"

	"trefoilferry.example/ferry/pkg/agent"
	"trefoilferry.example/ferry/pkg/entry"
	"trefoilferry.example/ferry/pkg/settings"
)

const settingsPage = "../../docs/settings.md"

var update = flag.Bool("update", false, "rewrite docs/settings.md from the struct tags")

// Guards against a settings page whose keys, defaults or ranges differ from those of the daemons.
func TestSettingsPageMatchesDaemons(t *testing.T) {
	daemons := map[string]any{
		"ferry-entry": &entry.Settings{},
		"ferry-agent": &agent.Settings{},
	}
	data, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for name, dst := range daemons {
		if page, err = settings.UpdatePage(page, name, dst); err != nil {
			t.Fatal(err)
		}
	}
	if *update {
		if err := os.WriteFile(settingsPage, []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if page != string(data) {
		t.Fatal("docs/settings.md differs from the struct tags; run: go test ./pkg/settings -update")
	}
}
