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

// silentThenServers stays silent for its first reads, as over a connection that went dead, and then answers.
type silentThenServers struct{ silent atomic.Int32 }

func (s *silentThenServers) Next(ctx context.Context) (ServerChanges, error) {
	if s.silent.Add(-1) >= 0 {
		<-ctx.Done()
		return ServerChanges{}, failure.New(failure.LogUnavailable, failure.Unknown, "no answer")
	}
	return ServerChanges{Full: true, Changes: []ServerChange{{ID: "new", Server: fleet.Server{ID: "new", Service: "s", BornMillis: 1}}}}, nil
}

func (s *silentThenServers) Restart() {}

// silentThenConfig stays silent for its first reads. A read that may wait is answered late, as nothing changes meanwhile.
type silentThenConfig struct{ silent atomic.Int32 }

func (s *silentThenConfig) Next(ctx context.Context, wait time.Duration) (*fleet.Config, error) {
	if s.silent.Add(-1) >= 0 {
		<-ctx.Done()
		return nil, failure.New(failure.LogUnavailable, failure.Unknown, "no answer")
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	return &fleet.Config{Version: 2}, nil
}

// Guards against a bound that is passed because the holder is lost and the daemon's own connection to the store is
// silent as well: the age of relayed state, the time until the read is given up and the second read must fit
// (a request reached a server 4,135 ms after its drain on hunt-b7a3-7 of apdd-orders-grown, bound 4,000 ms).
func TestChangesArriveInTimeAfterLossOfTheHolder(t *testing.T) {
	const bound = 2500 * time.Millisecond
	for _, silent := range []int32{0, 1} {
		ctx, cancel := context.WithCancel(context.Background())
		control := NewControl(eventlog.Discard(), NewPace(bound))
		servers, config := &silentThenServers{}, &silentThenConfig{}
		servers.silent.Store(silent)
		config.silent.Store(silent)
		// The holder's last word: everything was current at this moment. The change comes right after it.
		lastWord := time.Now()
		control.apply(controlEvent{config: &fleet.Config{Version: 1}, confirmed: lastWord}, lastWord)
		control.apply(controlEvent{servers: &serverEvent{changes: ServerChanges{Full: true}, sentAt: lastWord}}, lastWord)
		control.SetFollowing(true)
		done := make(chan struct{})
		go func() { control.Follow(ctx, config, servers); close(done) }()
		for time.Since(lastWord) < 2*bound {
			if view := control.View(); view.Config.Version == 2 && len(view.Servers) == 1 {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if took := time.Since(lastWord); took > bound {
			t.Errorf("%d silent reads: in force after %v, bound %v", silent, took, bound)
		}
		cancel()
		<-done
	}
}

// countedServers counts reads of an unchanged list.
type countedServers struct{ reads atomic.Int32 }

func (s *countedServers) Next(context.Context) (ServerChanges, error) {
	s.reads.Add(1)
	return ServerChanges{}, nil
}

func (*countedServers) Restart() {}

// Load pattern: runners crash under load and return empty. Guards against returned runners that stay unused for a whole
// period of the list, and against a list that is read so often without a reason.
func TestListIsReadMoreOftenWhileServersReturn(t *testing.T) {
	const bound = 2 * time.Second
	reads := func(hurry time.Duration) int32 {
		control, source := NewControl(eventlog.Discard(), NewPace(bound)), &countedServers{}
		control.Hurry(time.Now().Add(hurry))
		ctx, cancel := context.WithTimeout(t.Context(), bound)
		defer cancel()
		go control.Run(ctx)
		control.followServers(ctx, source)
		return source.reads.Load()
	}
	usual, hurried := reads(0), reads(bound)
	if usual > 6 || hurried < 3*usual-2 {
		t.Errorf("%d reads usually, %d while servers return", usual, hurried)
	}
}

// Load pattern: the store is away for 14 s and every call is billed (2,517 calls on trouble-3 of apdd-orders-grown, four
// times a usual day). Guards against daemons that go on calling it at a high rate although they can serve, and against
// daemons that cannot serve and wait long.
func TestFailedReadsBackOff(t *testing.T) {
	const outage = 14 * time.Second
	calls := func(ready bool) int {
		d, n := dependencyLog{log: eventlog.Discard()}, 0
		for passed := time.Duration(0); passed < outage; passed += d.backoff(ready) {
			d.note(failure.New(failure.LogUnavailable, failure.NotRun, "away"))
			n++
		}
		return n
	}
	if n := calls(true); n > 8 {
		t.Errorf("%d calls of a daemon that serves", n)
	}
	if n := calls(false); n < int(outage/unreadyLimit) {
		t.Errorf("%d calls of a daemon that cannot serve", n)
	}
}
