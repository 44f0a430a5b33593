package keyring

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

const bound = 5 * time.Second

// Guards against a daemon that is cut off from the store and the lease holder and goes on accepting a key that was taken
// away, and against one that refuses the callers of a daemon that hears from the store.
func TestKeysAreAcceptedWhileTheConfigurationIsYoung(t *testing.T) {
	for _, c := range []struct {
		name         string
		single, held bool
		age, waited  time.Duration
		limit        time.Duration
		want         Decision
	}{
		{"young", true, true, 2 * time.Second, 0, LimitFor(bound), Accept},
		{"at 0.6 of the bound callers are still owed a response", true, true, 3 * time.Second, 0, LimitFor(bound), Accept},
		{"too old for a known key", true, true, 4900 * time.Millisecond, 0, LimitFor(bound), TooOld},
		{"too old for an unknown key", true, false, 6 * time.Second, 0, LimitFor(bound), TooOld},
		{"old without a bound for revocations", true, true, time.Hour, 0, 0, Accept},
		{"unknown key, older configuration", true, false, time.Second, 0, LimitFor(bound), LookAgain},
		{"unknown key, configuration read since", true, false, 100 * time.Millisecond, 150 * time.Millisecond, LimitFor(bound), Refuse},
		{"unknown key after the second look", true, false, time.Second, maxSecondLook, LimitFor(bound), Refuse},
		{"no single key is not worth a second look", false, false, time.Second, 0, LimitFor(bound), Refuse},
	} {
		got := Decide(c.single, c.held, Knowledge{Age: c.age, Limit: c.limit, Waited: c.waited})
		if got != c.want {
			t.Errorf("%s: decision %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against a key that is accepted later than the bound after the configuration that took it away was acknowledged,
// whatever the moment of the last successful read before the daemon was cut off.
func TestNoKeyOutlivesTheBound(t *testing.T) {
	for read := time.Duration(0); read < bound; read += 37 * time.Millisecond {
		for revoked := read + 1; revoked < read+bound; revoked += 41 * time.Millisecond {
			// The daemon is cut off after its read, so the age at an arrival is the time since the read was sent.
			arrival := revoked + bound
			k := Knowledge{Age: arrival - read, Limit: LimitFor(bound)}
			if got := Decide(true, true, k); got == Accept {
				t.Fatalf("key revoked at %s accepted at %s by a configuration read at %s", revoked, arrival, read)
			}
		}
	}
}

// Guards against a key that moves to another workspace and stays with the first one, and against an index of keys for
// configurations in which callers need none.
func TestRingFollowsTheConfiguration(t *testing.T) {
	key, other := fleet.DigestKey("one"), fleet.DigestKey("two")
	r := New(&fleet.Config{Workspaces: []fleet.Workspace{{Name: "a", Keys: []fleet.KeyDigest{key}}, {Name: "b"}}})
	if w := r.Workspace(key); w == nil || w.Name != "a" {
		t.Errorf("workspace of the key: %v, want a", w)
	}
	if w := r.Workspace(other); w != nil {
		t.Errorf("unknown key belongs to %s", w.Name)
	}
	if New(&fleet.Config{}) != nil {
		t.Error("a configuration without workspaces has an index of keys")
	}
}
