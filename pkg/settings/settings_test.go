package settings

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

type listen struct {
	Callers string        `key:"callers" required:"true" doc:"Address for callers."`
	Poll    time.Duration `key:"poll_interval" default:"250ms" min:"10ms" max:"10s" doc:"Time between reads."`
	Body    Bytes         `key:"max_body" default:"8MiB" doc:"Largest body."`
	Peers   []string      `key:"peers" doc:"Addresses of peers."`
	Share   float64       `key:"share" default:"0.1" max:"1"`
	Slots   int           `key:"slots" default:"4" min:"1"`
}

type sample struct {
	Listen listen `section:"listen" doc:"Addresses."`
	Log    struct {
		Level string `key:"level" default:"info"`
		JSON  bool   `key:"json" default:"false"`
	} `section:"log"`
	crossCheck string
}

func (s *sample) Check() []Problem {
	if s.crossCheck == "" {
		return nil
	}
	return []Problem{{Section: "listen", Key: "slots", Message: s.crossCheck}}
}

// Guards against settings errors that are reported one per restart: all must be reported at once, each with its line.
func TestLoadReportsAllProblems(t *testing.T) {
	text := "[listen]\npoll_interval = 1ms\nslots = many\npeer = a\n[lgo]\nlevel = debug\n[log]\njson = yes\n"
	err := Parse("a.ini", []byte(text), &sample{})
	if !failure.HasCode(err, failure.SettingsInvalid) {
		t.Fatalf("Parse of invalid settings: error %v, want code %s", err, failure.SettingsInvalid)
	}
	var problems Problems
	if !errors.As(err, &problems) {
		t.Fatalf("error %v wraps no Problems", err)
	}
	want := []string{
		"a.ini:3: [listen] slots: \"many\" is not a whole number",
		"a.ini:4: [listen] peer: unknown key; did you mean peers?",
		"a.ini:5: [lgo]: unknown section; did you mean log?",
		"a.ini:8: [log] json: \"yes\" is not true or false",
		"a.ini: [listen] callers: required key is missing or empty",
		"a.ini:2: [listen] poll_interval: 1ms is below the minimum 10ms",
	}
	if got := problems.Error(); got != strings.Join(want, "\n") {
		t.Fatalf("problems are\n%s\nwant\n%s", got, strings.Join(want, "\n"))
	}
}

// Guards against malformed or duplicate lines that the parser silently drops or merges.
func TestLoadRefusesLinesWithoutEffect(t *testing.T) {
	cases := map[string]string{
		"stray = 1\n[listen]\ncallers = a":       "before the first section",
		"[listen]\ncallers = a\nnonsense":        "neither a section nor",
		"[listen]\ncallers = a\ncallers = b":     "key is repeated",
		"[listen]\ncallers = a\n[log]\n[listen]": "section is repeated",
		"[listen\ncallers = a":                   "needs a name",
	}
	for text, want := range cases {
		if err := Parse("a.ini", []byte(text), &sample{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Parse(%q): error %v, want one with %q", text, err, want)
		}
	}
}

// Guards against printed settings that have other values when they are loaded again.
func TestPrintRoundTrip(t *testing.T) {
	in := &sample{}
	text := "[listen]\ncallers = \"127.0.0.1:1;x\"\nmax_body = 1.5GiB\npeers = a, b\n[log]\njson = true\n"
	if err := Parse("a.ini", []byte(text), in); err != nil {
		t.Fatal(err)
	}
	if in.Listen.Body != 3<<29 || in.Listen.Poll != 250*time.Millisecond || len(in.Listen.Peers) != 2 || !in.Log.JSON {
		t.Fatalf("settings are %+v, want a body of 1.5GiB, the default poll interval of 250ms, 2 peers and JSON", in)
	}
	var first, second bytes.Buffer
	if err := Print(&first, in); err != nil {
		t.Fatal(err)
	}
	out := &sample{}
	if err := Parse("b.ini", first.Bytes(), out); err != nil {
		t.Fatal(err)
	}
	if err := Print(&second, out); err != nil {
		t.Fatal(err)
	}
	if first.String() != second.String() {
		t.Fatalf("settings printed after loading them again:\n%s\nwant\n%s", second.String(), first.String())
	}
}

// Guards against rules over several keys that are not checked or whose problems lack the line.
func TestCheckIsCalled(t *testing.T) {
	err := Parse("a.ini", []byte("[listen]\ncallers = a\nslots = 2\n"), &sample{crossCheck: "too few"})
	if err == nil || !strings.Contains(err.Error(), "a.ini:3: [listen] slots: too few") {
		t.Fatalf("Parse with a failing Check: error %v, want one with %q", err, "a.ini:3: [listen] slots: too few")
	}
}

// Guards against sizes that overflow or are parsed to another number.
func TestParseBytes(t *testing.T) {
	for text, want := range map[string]Bytes{"16GiB": 16 << 30, "1.5KiB": 1536, "7": 7, "7B": 7, "0": 0} {
		if got, err := ParseBytes(text); err != nil || got != want {
			t.Errorf("ParseBytes(%q) = %d, %v, want %d", text, got, err, want)
		}
	}
	for _, text := range []string{"", "GiB", "-1GiB", "16GB", "99999999TiB", "1e30", "NaN", "x"} {
		if got, err := ParseBytes(text); err == nil {
			t.Errorf("ParseBytes(%q) = %d, want an error", text, got)
		}
	}
}
