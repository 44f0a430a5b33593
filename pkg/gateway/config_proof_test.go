package gateway

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
)

// proofConfig returns a configuration in which callers need a key.
func proofConfig(version int64) *fleet.Config {
	return &fleet.Config{Version: version, Workspaces: []fleet.Workspace{{Name: "a", Keys: []fleet.KeyDigest{fleet.DigestKey("one")}}}}
}

// proofControl returns a Control with version 5 in force, proven at 100 s of a clock that the test sets.
func proofControl(out *strings.Builder) (*Control, *atomic.Int64) {
	timing := NewPollTiming(4 * time.Second)
	timing.RevokeBound = 5 * time.Second
	c := NewControl(eventlog.NewLogger(out, eventlog.FormatText, log.InfoLevel, "d"), timing)
	clock := &atomic.Int64{}
	clock.Store(int64(100 * time.Second))
	c.uptime = func() time.Duration { return time.Duration(clock.Load()) }
	c.apply(controlEvent{config: proofConfig(5), configAt: time.Now(), configProvenAt: c.uptime()}, time.Now())
	return c, clock
}

// Guards against keys that are relied on for longer than they are known to be in force: by what an older or unreadable
// configuration of the lease holder proves, by a proof that is older than the present one, and by one without a time; and
// against a daemon that goes by its own proof only and refuses sound callers.
func TestConfigurationIsProvenByReadsOfItOrOfOlderOnes(t *testing.T) {
	const present = 100 * time.Second
	for _, c := range []struct {
		name        string
		event       controlEvent
		want        time.Duration
		wantVersion int64
	}{
		{"read without a change", controlEvent{configAt: time.Now(), configProvenAt: present + 1}, present + 1, 5},
		{"late news of an earlier read", controlEvent{configAt: time.Now(), configProvenAt: present - 1}, present, 5},
		{"read of a newer configuration", controlEvent{config: proofConfig(6), configAt: time.Now(), configProvenAt: present + 1}, present + 1, 6},
		{"read of a store that was restored", controlEvent{config: proofConfig(3), configAt: time.Now(), configProvenAt: present + 1}, present + 1, 5},
		{"holder with the same version", controlEvent{relay: &RelayUpdate{ConfigVersion: 5, ConfigProvenAt: present + 1}}, present + 1, 5},
		{"holder with an older version", controlEvent{relay: &RelayUpdate{ConfigVersion: 4, ConfigProvenAt: present + 1}}, present + 1, 5},
		{"holder that relays an older version", controlEvent{relay: &RelayUpdate{Config: proofConfig(4), ConfigVersion: 4, ConfigProvenAt: present + 1}}, present + 1, 5},
		{"holder that relays a newer version", controlEvent{relay: &RelayUpdate{Config: proofConfig(6), ConfigVersion: 6, ConfigProvenAt: present + 1}}, present + 1, 6},
		{"holder with a newer version that it cannot relay", controlEvent{relay: &RelayUpdate{ConfigVersion: 6, ConfigProvenAt: present + 1}}, present, 5},
		{"holder whose proof is older", controlEvent{relay: &RelayUpdate{ConfigVersion: 5, ConfigProvenAt: present - 1}}, present, 5},
		{"holder that knows no proof", controlEvent{relay: &RelayUpdate{ConfigVersion: 5, ConfigAt: time.Now()}}, present, 5},
		{"news of the servers", controlEvent{servers: &serverEvent{changes: ServerChanges{Full: true}, sentAt: time.Now()}}, present, 5},
	} {
		control, clock := proofControl(&strings.Builder{})
		clock.Store(int64(present + time.Minute))
		control.apply(c.event, time.Now())
		if v := control.View(); v.ConfigProvenAt != c.want || v.Config.Version != c.wantVersion {
			t.Errorf("%s: version %d proven at %v, want %d at %v", c.name, v.Config.Version, v.ConfigProvenAt, c.wantVersion, c.want)
		}
	}
}

// delayedConfig is a ConfigSource whose responses arrive late: the clock has advanced since the read was sent.
type delayedConfig struct {
	clock *atomic.Int64
	delay time.Duration
	reads atomic.Int32
}

func (s *delayedConfig) Next(ctx context.Context, _ time.Duration) (*fleet.Config, error) {
	if s.reads.Add(1) > 1 {
		<-ctx.Done()
		return nil, nil
	}
	s.clock.Add(int64(s.delay))
	return nil, nil
}

// Guards against a response that is delayed, or read only after the host was suspended, and passes for news of the moment
// when it is read.
func TestLateResponseProvesTheConfigurationAsOfItsRequest(t *testing.T) {
	control, clock := proofControl(&strings.Builder{})
	clock.Add(int64(time.Second))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go control.Run(ctx)
	go control.followConfig(ctx, &delayedConfig{clock: clock, delay: 6 * time.Second})
	end := time.Now().Add(2 * time.Second)
	for control.View().ConfigProvenAt != 101*time.Second {
		if time.Now().After(end) {
			t.Fatalf("configuration proven at %v, want 101 s, when the read was sent", control.View().ConfigProvenAt)
		}
		time.Sleep(time.Millisecond)
	}
	if !control.KeysTooOld() {
		t.Error("keys are accepted by a response to a read that was sent 6 s before")
	}
}

// Guards against a daemon whose host was suspended and that accepts keys by what it knew before, and against one that stops
// to accept keys, or accepts them again, without telling.
func TestKeysGetTooOldWhileTheHostIsSuspended(t *testing.T) {
	out := &strings.Builder{}
	control, clock := proofControl(out)
	tooOld := control.logKeyAge(false)
	if tooOld || control.KeysTooOld() {
		t.Fatal("keys that were confirmed now are too old")
	}
	clock.Add(int64(10 * time.Second))
	if !control.KeysTooOld() {
		t.Error("keys are accepted after 10 s of suspension")
	}
	for range 3 {
		tooOld = control.logKeyAge(tooOld)
	}
	control.apply(controlEvent{configAt: time.Now(), configProvenAt: control.uptime()}, time.Now())
	for range 3 {
		tooOld = control.logKeyAge(tooOld)
	}
	if tooOld || control.KeysTooOld() {
		t.Error("keys are refused after the configuration was confirmed")
	}
	if old, recent := strings.Count(out.String(), "F0151"), strings.Count(out.String(), "F0152"); old != 1 || recent != 1 {
		t.Errorf("lines of keys that became too old %d and recent %d, want one each:\n%s", old, recent, out)
	}
}
