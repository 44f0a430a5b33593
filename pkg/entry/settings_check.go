package entry

import (
	"github.com/charmbracelet/log"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/routing"
	"trefoilferry.example/ferry/pkg/settings"
)

// Check implements settings.Checker.
func (s *Settings) Check() []settings.Problem {
	var out []settings.Problem
	if _, err := routing.NewPolicy(s.Routing.Policy, routing.Costs{}); err != nil {
		out = append(out, settings.Problem{Section: "routing", Key: "policy", Message: "must be probe, random or round_robin"})
	}
	if _, err := log.ParseLevel(s.Log.Level); err != nil {
		out = append(out, settings.Problem{Section: "log", Key: "level", Message: "must be debug, info, warn or error"})
	}
	format := eventlog.Format(s.Log.Format)
	if format != eventlog.FormatText && format != eventlog.FormatJSON {
		out = append(out, settings.Problem{Section: "log", Key: "format", Message: "must be text or json"})
	}
	return out
}
