package bench

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// commentPrefix starts a comment in a fault schedule; the comment extends to the end of the line.
const commentPrefix = "#"

// ReadFaults reads a fault schedule file. It fails with code SettingsInvalid.
func ReadFaults(path string) ([]Fault, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(failure.SettingsInvalid, failure.NotRun, "cannot read fault schedule "+path, err)
	}
	return ParseFaults(string(data))
}

// ParseFaults returns the faults of a schedule in time order. It fails with code SettingsInvalid for a line with a syntax
// error.
func ParseFaults(text string) ([]Fault, error) {
	var out []Fault
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, commentPrefix)
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		fault, ok := parseFault(words)
		if !ok {
			message := fmt.Sprintf("fault schedule, line %d: syntax error: %s", i+1, strings.TrimSpace(line))
			return nil, failure.New(failure.SettingsInvalid, failure.NotRun, message)
		}
		out = append(out, fault)
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out, nil
}

// parseFault parses "at TIME ACTION".
func parseFault(words []string) (Fault, bool) {
	if len(words) < 3 || words[0] != "at" {
		return Fault{}, false
	}
	at, err := time.ParseDuration(words[1])
	if err != nil || at < 0 {
		return Fault{}, false
	}
	fault, ok := parseAction(words[2:])
	fault.At = at
	return fault, ok
}

func parseAction(words []string) (Fault, bool) {
	switch {
	case len(words) == 3 && isProcessFault(words[0]) && isProcessKind(words[1]):
		return Fault{Kind: FaultKind(words[0]), Process: ProcessKind(words[1]), Name: words[2]}, true
	case len(words) == 3 && words[0]+" "+words[1] == string(LoseDomain):
		return Fault{Kind: LoseDomain, Name: words[2]}, true
	case len(words) == 2 && words[0] == string(LeaveHost):
		return Fault{Kind: LeaveHost, Name: words[1]}, true
	case len(words) == 2 && words[0]+" "+words[1] == string(LogDown):
		return Fault{Kind: LogDown}, true
	case len(words) == 2 && words[0]+" "+words[1] == string(LogUp):
		return Fault{Kind: LogUp}, true
	}
	return Fault{}, false
}

func isProcessFault(word string) bool {
	return slices.Contains([]FaultKind{KillProcess, StartProcess, PauseProcess, ResumeProcess}, FaultKind(word))
}

func isProcessKind(word string) bool {
	return slices.Contains([]ProcessKind{AgentProcess, EngineProcess, ServiceProcess, EntryProcess}, ProcessKind(word))
}
