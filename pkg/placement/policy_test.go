package placement

import (
	"testing"
	"time"
)

// Guards against baseline policies that do more or less than their names say, and against a misspelt policy that is
// accepted.
func TestPolicies(t *testing.T) {
	c := newCluster(2, 2, 10, model("b", "1", 10, 1))
	c.markReady(c.claim(c.names[1], "b", "1", c.fencing[c.names[1]], floorKind, 1), c.names[1], c.fencing[c.names[1]])
	for policy, want := range map[string]int{PolicyPlanned: 0, PolicyStatic: 0, PolicyOnDemand: 1} {
		plan, err := NewPlanner(policy)
		if err != nil {
			t.Fatal(err)
		}
		in := c.input(c.names[0], c.Snapshot())
		in.Demands = []Demand{{Model: "b", UnmetPerSecond: 0.01, At: c.now}}
		if got := plan(in); len(got.Claims) != want || len(got.Releases) != 0 {
			t.Errorf("policy %s: plan %+v, want %d claims and no release", policy, got, want)
		}
		in.Demands[0].At = c.now.Add(-time.Minute)
		if got := plan(in); len(got.Claims) != 0 {
			t.Errorf("policy %s: plan for an outdated hint %+v, want no claim", policy, got)
		}
	}
	if _, err := NewPlanner("lru"); err == nil {
		t.Error("policy lru was accepted, want an error")
	}
}

// Guards against evictions in another order than least recently used, and against evicting floor copies.
func TestOnDemandEvictsLeastRecentlyUsed(t *testing.T) {
	c := newCluster(3, 3, 20, model("a", "1", 10, 1), model("b", "1", 10, 1), model("c", "1", 10, 1))
	self, other, third := c.names[0], c.names[1], c.names[2]
	c.markReady(c.claim(third, "c", "1", c.fencing[third], floorKind, 1), third, c.fencing[third])
	for _, name := range []string{"a", "b"} {
		c.markReady(c.claim(other, name, "1", c.fencing[other], floorKind, 1), other, c.fencing[other])
	}
	claims := map[string]uint64{}
	for _, name := range []string{"a", "b"} {
		claims[name] = c.claim(self, name, "1", c.fencing[self], surplusKind, 1)
		c.markReady(claims[name], self, c.fencing[self])
	}
	in := c.input(self, c.Snapshot())
	in.Demands = []Demand{{Model: "c", UnmetPerSecond: 1, At: c.now}}
	in.Usage = map[ModelKey]Usage{{"a", "1"}: {LastUsed: c.now}, {"b", "1"}: {LastUsed: c.now.Add(-time.Second), RatePerSecond: 9}}
	plan, _ := NewPlanner(PolicyOnDemand)
	if got := plan(in); len(got.Releases) != 1 || got.Releases[0].Claim != claims["b"] {
		t.Errorf("plan %+v, want one release, of model b, claim %d", got, claims["b"])
	}
	in.Self, in.FreeBytes = other, 0
	for _, wish := range plan(in).Releases {
		if wish.Keep < 1 {
			t.Errorf("release %+v, want one that keeps at least 1 copy", wish)
		}
	}
}
