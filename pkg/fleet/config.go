package fleet

// Config is one version of the operators' configuration, checked as a whole.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Match returns the route with the longest path prefix among those of the host; nil without one.
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

// Problems lists what makes the configuration unusable as a whole; empty for a valid one.
func (c *Config) Problems() []string {
	var out []string
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.Targets) == 0 {
			out = append(out, "route "+r.Name+" names no service")
		}
		for _, t := range r.Targets {
			if _, ok := c.Services[t.Service]; !ok {
				out = append(out, "route "+r.Name+" names the unknown service "+t.Service)
			}
		}
	}
	return out
}
