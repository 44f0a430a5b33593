package bench

import (
	"reflect"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Guards against a parser that misreads a schedule, or that does not parse the output of Fault.String to the same fault.
func TestParseFaults(t *testing.T) {
	text := "# two faults\nat 8s start agent runner-1 # again\n\nat 5s kill agent runner-1\nat 1m log down\nat 61s log up\n" +
		"at 2s leave runner-2\nat 3s lose domain ege\nat 4s pause engine runner-3\n"
	want := []Fault{
		{2 * time.Second, LeaveHost, "", "runner-2"},
		{3 * time.Second, LoseDomain, "", "ege"},
		{4 * time.Second, PauseProcess, EngineProcess, "runner-3"},
		{5 * time.Second, KillProcess, AgentProcess, "runner-1"},
		{8 * time.Second, StartProcess, AgentProcess, "runner-1"},
		{time.Minute, LogDown, "", ""},
		{61 * time.Second, LogUp, "", ""},
	}
	got, err := ParseFaults(text)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("ParseFaults(%q) = %v, %v, want %v", text, got, err, want)
	}
	for _, f := range want {
		if again, err := ParseFaults(f.String()); err != nil || again[0] != f {
			t.Errorf("ParseFaults(%q) = %v, %v, want the same fault", f, again, err)
		}
	}
}

// Guards against a parser that skips invalid lines, which would leave a fault out of a run.
func TestParseFaultsRejectsInvalidLines(t *testing.T) {
	for _, line := range []string{
		"5s kill agent a", "at kill agent a", "at 5 kill agent a", "at -1s log up", "at 5s kill", "at 5s kill host a",
		"at 5s kill agent", "at 5s kill agent a b", "at 5s log sideways", "at 5s lose a", "at 5s leave",
	} {
		if got, err := ParseFaults(line); !failure.HasCode(err, failure.SettingsInvalid) {
			t.Errorf("ParseFaults(%q) = %v, %v, want code %s", line, got, err, failure.SettingsInvalid)
		}
	}
}
