package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
)

// hangingServers is a ServerSource whose first reads hang until they time out, as over a dead connection.
type hangingServers struct{ hangs atomic.Int32 }

func (s *hangingServers) Next(ctx context.Context) (ServerChanges, error) {
	if s.hangs.Add(-1) >= 0 {
		<-ctx.Done()
		return ServerChanges{}, failure.New(failure.LogUnavailable, failure.Unknown, "no answer")
	}
	return ServerChanges{Full: true, Changes: []ServerChange{{ID: "new", Server: fleet.Server{ID: "new", Service: "s", StartMillis: 1}}}}, nil
}

func (s *hangingServers) Restart() {}

// hangingConfig is a ConfigSource whose first reads hang. Later reads return after the full wait, as if nothing had
// changed before.
type hangingConfig struct{ hangs atomic.Int32 }

func (s *hangingConfig) Next(ctx context.Context, wait time.Duration) (*fleet.Config, error) {
	if s.hangs.Add(-1) >= 0 {
		<-ctx.Done()
		return nil, failure.New(failure.LogUnavailable, failure.Unknown, "no answer")
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	return &fleet.Config{Version: 2}, nil
}

// Guards against changes that are applied too late when the lease holder is lost and this daemon's own connection to
// the store hangs as well: the age of relayed state, the timeout of the hanging read and a second read must fit into
// the bound (on hunt-b7a3-7 of apdd-orders-grown a request reached a server 4,135 ms after its drain, bound 4,000 ms).
func TestChangesArriveInTimeAfterLossOfTheHolder(t *testing.T) {
	const bound = 2500 * time.Millisecond
	for _, silent := range []int32{0, 1} {
		ctx, cancel := context.WithCancel(context.Background())
		control := NewControl(eventlog.Discard(), NewPollTiming(bound))
		servers, config := &hangingServers{}, &hangingConfig{}
		servers.hangs.Store(silent)
		config.hangs.Store(silent)
		// The last relay: everything was current at this moment. The change comes right after it.
		lastRelay := time.Now()
		control.apply(controlEvent{config: &fleet.Config{Version: 1}, configAt: lastRelay}, lastRelay)
		control.apply(controlEvent{servers: &serverEvent{changes: ServerChanges{Full: true}, sentAt: lastRelay}}, lastRelay)
		control.SetRelayActive(true)
		done := make(chan struct{})
		go func() { control.Follow(ctx, config, servers); close(done) }()
		for time.Since(lastRelay) < 2*bound {
			if view := control.View(); view.Config.Version == 2 && len(view.Servers) == 1 {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if took := time.Since(lastRelay); took > bound {
			t.Errorf("change applied after %v with %d hanging reads, want at most %v", took, silent, bound)
		}
		cancel()
		<-done
	}
}

// countingServers is a ServerSource without changes that counts its reads.
type countingServers struct{ reads atomic.Int32 }

func (s *countingServers) Next(context.Context) (ServerChanges, error) {
	s.reads.Add(1)
	return ServerChanges{}, nil
}

func (*countingServers) Restart() {}

// Load pattern: runners crash under load and return without models. Guards against returned runners that stay unused
// for a whole polling interval, and against polling at the fast rate all the time.
func TestServerListIsPolledFasterWhileServersReturn(t *testing.T) {
	const bound = 2 * time.Second
	reads := func(fastFor time.Duration) int32 {
		control, source := NewControl(eventlog.Discard(), NewPollTiming(bound)), &countingServers{}
		control.PollServersFastUntil(time.Now().Add(fastFor))
		ctx, cancel := context.WithTimeout(t.Context(), bound)
		defer cancel()
		go control.Run(ctx)
		control.followServers(ctx, source)
		return source.reads.Load()
	}
	usual, fast := reads(0), reads(bound)
	if usual > 6 || fast < 3*usual-2 {
		t.Errorf("reads of the server list: %d usually, %d while servers return, want at most 6 and at least %d", usual, fast, 3*usual-2)
	}
}

// Load pattern: the store is unavailable for 14 s and every call is billed (2,517 calls on trouble-3 of
// apdd-orders-grown, four times those of a usual day). Guards against daemons that keep calling it at a high rate
// although they can serve, and against long backoffs of daemons that cannot serve.
func TestFailedReadsBackOff(t *testing.T) {
	const outage = 14 * time.Second
	calls := func(ready bool) int {
		d, n := dependencyState{log: eventlog.Discard()}, 0
		for passed := time.Duration(0); passed < outage; passed += d.backoff(ready) {
			d.record(failure.New(failure.LogUnavailable, failure.NotRun, "away"))
			n++
		}
		return n
	}
	if n := calls(true); n > 8 {
		t.Errorf("calls of a daemon that can serve: %d, want at most 8", n)
	}
	if n := calls(false); n < int(outage/maxUnreadyBackoff) {
		t.Errorf("calls of a daemon that cannot serve: %d, want at least %d", n, int(outage/maxUnreadyBackoff))
	}
}

// Guards against a change that is applied too late because a read that the store has served, with content that cannot be
// used, counts as one more failure of an outage: the next read then came only after the longest delay, or timed out late.
func TestServedReadDoesNotLengthenTheBackoff(t *testing.T) {
	d := dependencyState{log: eventlog.Discard()}
	for range 8 {
		d.record(failure.New(failure.LogUnavailable, failure.NotRun, "away"))
	}
	if delay := d.backoff(true); delay != maxReadBackoff {
		t.Fatalf("delay after 8 failures: %v, want %v", delay, maxReadBackoff)
	}
	d.record(failure.New(failure.RecordInvalid, failure.Ran, "a record of another writer"))
	if delay := d.backoff(true); delay != minReadBackoff || d.failures != 0 || d.unavailable {
		t.Errorf("after a read that was served: delay %v, %d failures, unavailable %v, want %v, none and available", delay, d.failures, d.unavailable, minReadBackoff)
	}
	d.record(failure.New(failure.LogUnavailable, failure.Unknown, "no answer"))
	if delay := d.backoff(true); delay != minReadBackoff || !d.unavailable {
		t.Errorf("after a failure: delay %v, unavailable %v, want %v and unavailable", delay, d.unavailable, minReadBackoff)
	}
}

// Guards against a change that is applied too late after an outage in which reads hang: the read that was sent just before
// its end took its whole timeout, and the longest delay followed.
func TestHangingReadCountsTowardsTheDelayAfterIt(t *testing.T) {
	d := dependencyState{log: eventlog.Discard()}
	timing := NewPollTiming(2500 * time.Millisecond)
	away := failure.New(failure.LogUnavailable, failure.Unknown, "no answer")
	for range 10 {
		took := timing.readTimeout(d.failures)
		d.record(away)
		if between := took + d.retryDelay(away, true, took); between > maxReadBackoff {
			t.Errorf("time between two reads after %d failures: %v, want at most %v", d.failures, between, maxReadBackoff)
		}
	}
	if delay := d.retryDelay(away, true, maxReadTimeout+maxReadBackoff); delay < minReadBackoff {
		t.Errorf("delay after a read that took longer than the delay: %v, want at least %v", delay, minReadBackoff)
	}
}

// changingConfig is a ConfigSource with version 1 at the first read and version 2 in the middle of the first long poll.
// It sends the wait of each read after that to waits.
type changingConfig struct {
	version int64
	waits   chan time.Duration
}

func (s *changingConfig) Next(ctx context.Context, wait time.Duration) (*fleet.Config, error) {
	switch {
	case s.version == 0, s.version == 1 && wait > 0:
		sleep(ctx, wait/2)
		s.version++
		return &fleet.Config{Version: s.version}, nil
	case s.version == 2:
		s.waits <- wait
	}
	sleep(ctx, wait)
	return nil, nil
}

// Load pattern: configurations change some times a minute at 103 daemons. Guards against a holder that relays a new
// version as old as the long poll that brought it: it became too old during the next long poll, and every daemon read
// the store twice for each change (170 to 208 calls on fresh-e923 of apdd-orders-large).
func TestNewConfigurationIsConfirmedAtOnce(t *testing.T) {
	timing := NewPollTiming(5 * time.Second)
	control, source := NewControl(eventlog.Discard(), timing), &changingConfig{waits: make(chan time.Duration, 8)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go control.Run(ctx)
	go control.followConfig(ctx, source)
	for wait := range source.waits {
		if wait == 0 {
			continue
		}
		time.Sleep(wait * 9 / 10)
		if age := time.Since(control.View().ConfigAt); age > timing.ConfigWait {
			t.Errorf("age of the configuration during the long poll after a change: %v, want at most %v", age, timing.ConfigWait)
		}
		return
	}
}

// restartedServers is a ServerSource that counts its restarts.
type restartedServers struct {
	hangingServers
	restarts atomic.Int32
}

func (s *restartedServers) Restart() { s.restarts.Add(1) }

// Guards against a daemon whose own read is the newest news of the servers and counts as relayed: a restore of the store
// right after it would then pass for one that the lease holder has applied, and servers that the restored store lacks
// would be removed at once.
func TestOwnReadDoesNotCountAsRelayed(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	control := NewControl(eventlog.Discard(), NewPollTiming(2500*time.Millisecond))
	control.SetRelayActive(true)
	servers := &restartedServers{}
	done := make(chan struct{})
	go func() { control.Follow(ctx, &hangingConfig{}, servers); close(done) }()
	time.Sleep(3 * relayCheckInterval)
	if n := servers.restarts.Load(); !control.View().ServersKnown || n != 0 {
		t.Errorf("restarts after the daemon's own read: %d, servers known %v, want none and known", n, control.View().ServersKnown)
	}
	control.ApplyRelayUpdate(ctx, &RelayUpdate{ServersAt: time.Now()})
	time.Sleep(3 * relayCheckInterval)
	if n := servers.restarts.Load(); n == 0 {
		t.Error("no restart after the list was relayed, want one")
	}
	cancel()
	<-done
}
