package fleet

import (
	"maps"
	"slices"
	"strconv"
)

// maxConfigVersion is the largest whole number that JSON carries exactly everywhere. Daemons ignore all versions below the
// one in force.
const maxConfigVersion = 1 << 53

// Config is one complete, validated version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Workspaces are the groups of callers; empty if callers need no key.
	Workspaces []Workspace `json:",omitempty"`
}

// Match returns the route of the virtual host with the longest path prefix of path, or nil if none matches.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.matches(host, path) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// ValidationErrors returns the errors that make the configuration as a whole unusable, such as routes without a
// service; it is empty for a valid configuration.
func (c *Config) ValidationErrors() []string {
	var out []string
	if c.Version < 0 || c.Version > maxConfigVersion {
		out = append(out, "the version is not from 0 to "+strconv.Itoa(maxConfigVersion))
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		out = append(out, serviceErrors(name, c.Services[name].Engine)...)
	}
	out = append(out, workspaceErrors(c.Workspaces)...)
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.Targets) == 0 {
			out = append(out, "route "+r.Name+" names no service")
		}
		out = append(out, r.weightErrors()...)
		for _, t := range r.Targets {
			if _, ok := c.Services[t.Service]; !ok {
				out = append(out, "route "+r.Name+" names the unknown service "+t.Service)
			}
		}
	}
	return out
}
