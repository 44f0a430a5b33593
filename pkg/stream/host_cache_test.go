package stream

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilferry.example/ferry/pkg/infra"
)

// Guards against a reader whose list differs from its parent's after changes, however many versions it is behind.
func TestHostCacheFollowsItsParent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parent, child := &HostCache{}, &HostCache{}
		rows := map[string]infra.Host{}
		now := testNow()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			name := fmt.Sprintf("h%d", rapid.IntRange(0, 9).Draw(t, "host"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				rows[name] = infra.Host{Name: name, State: infra.HostLive}
			case 1:
				rows[name] = infra.Host{Name: name, State: infra.HostLeaving}
			case 2:
				delete(rows, name)
			}
			var list []infra.Host
			for _, h := range rows {
				list = append(list, h)
			}
			parent.Store(list, now)
			if !rapid.Bool().Draw(t, "read") {
				continue
			}
			child.apply(parent.updateSince(child.Hash(), now), now)
			if child.Hash() != parent.Hash() || child.Age(now) != 0 || len(child.Hosts()) != len(rows) {
				t.Fatalf("child has hosts %v, parent %v", child.Hosts(), parent.Hosts())
			}
		}
	})
}

// Guards against replacing the list by an older one, and against wrong decisions on when to read the platform's list.
func TestHostsDue(t *testing.T) {
	cache := &HostCache{}
	cache.Store(hosts(2)(), testNow())
	cache.Store(hosts(1)(), testNow().Add(-time.Second))
	if len(cache.Hosts()) != 2 {
		t.Fatal("an older list replaced a newer one")
	}
	tests := []struct {
		name          string
		root          bool
		sinceTry, age time.Duration
		want          bool
	}{
		{"root after the interval", true, time.Second, time.Second, true},
		{"root before it", true, 900 * time.Millisecond, time.Second, false},
		{"no list yet", false, time.Second, -1, true},
		{"fresh from the parent", false, time.Hour, 2 * time.Second, false},
		{"parents gone", false, time.Hour, hostsStaleAfter, true},
		{"parents and platform gone", false, time.Second, time.Hour, false},
	}
	for _, tt := range tests {
		if got := hostsReadDue(tt.root, tt.sinceTry, tt.age, time.Second); got != tt.want {
			t.Errorf("%s: read due %v, want %v", tt.name, got, tt.want)
		}
	}
}
