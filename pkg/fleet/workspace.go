package fleet

import "math"

// Workspace is a group of callers with common keys, a common priority and a common quota. The users' platform calls it a
// tenant.
type Workspace struct {
	Name string
	// Keys are the digests of the keys with which callers show that they belong to the workspace.
	Keys []KeyDigest
	// Priority ranks the requests of the workspace, 0 first, in place of the priority of their route; nil leaves that.
	Priority *int
	Quota    Quota
}

// Quota limits what the callers of a workspace may ask for from all daemons together: a token bucket that holds Burst units
// and gains Rate units a second.
type Quota struct {
	// Rate is in units per second; 0 means no limit.
	Rate  float64
	Burst float64
	// Unit is what Rate and Burst count.
	Unit QuotaUnit
	// PlainTokens is what a request that states no tokens counts, if Unit is UnitTokens.
	PlainTokens int
}

// QuotaUnit is what a quota counts.
type QuotaUnit string

// Units of quotas.
const (
	UnitRequests QuotaUnit = "requests"
	// UnitTokens counts the prompt tokens and the output tokens that a request may take at most.
	UnitTokens QuotaUnit = "tokens"
)

// Limited reports whether the quota limits anything.
func (q *Quota) Limited() bool { return q.Rate > 0 }

// Units returns what a request counts that states so many tokens, prompt and output together; 0 for none stated.
func (q *Quota) Units(tokens int) float64 {
	switch {
	case q.Unit != UnitTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(max(q.PlainTokens, 1))
	}
}

// workspaceErrors returns why the workspaces cannot be in force together.
func workspaceErrors(list []Workspace) []string {
	var out []string
	names := map[string]bool{}
	holder := map[KeyDigest]string{}
	for i := range list {
		w := &list[i]
		if w.Name == "" {
			out = append(out, "a workspace has no name")
		}
		if names[w.Name] {
			out = append(out, "two workspaces have the name "+w.Name)
		}
		names[w.Name] = true
		for _, key := range w.Keys {
			if other, ok := holder[key]; ok && other != w.Name {
				out = append(out, "workspaces "+other+" and "+w.Name+" have a key in common")
			}
			holder[key] = w.Name
		}
		if !finite(w.Quota.Rate) || !finite(w.Quota.Burst) {
			out = append(out, "workspace "+w.Name+" has a quota that is negative or no number")
		}
	}
	return out
}

// finite reports whether a number is one from 0 up.
func finite(n float64) bool { return n >= 0 && !math.IsInf(n, 0) }
