package gateway

import (
	"context"
	"strings"
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/exchange"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/quarantine"
)

const (
	// crashCollectTime is the time in which the connections of a server that ends break: one after the other, by their
	// readers.
	crashCollectTime = 40 * time.Millisecond
	// unframedEndTime is the time from the end of one connection after which a server that has ended has closed the others
	// and listens no more.
	unframedEndTime = 10 * time.Millisecond
	// crashCheckTimeout bounds the connection that shows whether a server still listens.
	crashCheckTimeout = 250 * time.Millisecond
	// survivedTime is how long a runner must go on after the first event of a stream for the prompt to be sound.
	survivedTime = 200 * time.Millisecond
)

// connectionChecker finds out whether a process listens at an address.
type connectionChecker interface {
	Check(ctx context.Context, address string) exchange.Listening
}

// crashWatch tells servers that ended from connections that broke, and collects the requests that were in progress. It is
// safe for concurrent use.
type crashWatch struct {
	checker connectionChecker
	board   *quarantine.Board
	log     *eventlog.Logger
	metrics *Metrics

	mu sync.Mutex
	// broken holds the attempts that broke within crashCollectTime, by server.
	broken map[serverIncarnation]*brokenServer
}

type serverIncarnation struct {
	id          string
	startMillis int64
}

// brokenServer collects the attempts that broke at one server.
type brokenServer struct {
	at       time.Time
	attempts int
	suspects []quarantine.Suspect
}

func newCrashWatch(checker connectionChecker, board *quarantine.Board, log *eventlog.Logger, metrics *Metrics) *crashWatch {
	return &crashWatch{checker: checker, board: board, log: log, metrics: metrics, broken: map[serverIncarnation]*brokenServer{}}
}

// recordBroken records that the connection of an attempt broke before the response was complete. suspect is nil if the
// runner had survived the prompt of the request.
func (w *crashWatch) recordBroken(server *fleet.Server, suspect *quarantine.Suspect, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := serverIncarnation{id: server.ID, startMillis: server.StartMillis}
	b, ok := w.broken[key]
	if !ok {
		b = &brokenServer{at: now}
		w.broken[key] = b
		address := server.Address
		time.AfterFunc(crashCollectTime, func() { w.check(key, address) })
	}
	b.attempts++
	if suspect != nil && len(b.suspects) < quarantine.MaxRequests {
		b.suspects = append(b.suspects, *suspect)
	}
}

// afterUnframedEnd finds out whether a server lives that has ended a connection, and with it a response whose end nothing else
// states.
func (w *crashWatch) afterUnframedEnd(ctx context.Context, address string) exchange.Listening {
	ctx, cancel := context.WithTimeout(ctx, unframedEndTime+crashCheckTimeout)
	defer cancel()
	select {
	case <-time.After(unframedEndTime):
		return w.checker.Check(ctx, address)
	case <-ctx.Done():
		return exchange.ListensUnknown
	}
}

// check finds out whether the server ended, and reports the crash if it did.
func (w *crashWatch) check(key serverIncarnation, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	ended := w.checker.Check(ctx, address) == exchange.ListensNot
	w.mu.Lock()
	b := w.broken[key]
	delete(w.broken, key)
	w.mu.Unlock()
	if !ended {
		w.log.Log(eventlog.ConnectionsBroke, "server", key.id, "attempts", b.attempts)
		return
	}
	w.metrics.recordCrash(len(b.suspects))
	w.log.Log(eventlog.ServerCrashed, "server", key.id, "born", key.startMillis, "attempts", b.attempts, "suspects", describeSuspects(b.suspects))
	w.board.AddCrash(&quarantine.Crash{Server: key.id, StartMillis: key.startMillis, At: b.at, Requests: b.suspects})
}

// describeSuspects lists requests as ID:PART+PART, with an asterisk after the id if the response had begun.
func describeSuspects(suspects []quarantine.Suspect) string {
	out := make([]string, 0, len(suspects))
	for i := range suspects {
		mark := ""
		if suspects[i].Begun {
			mark = "*"
		}
		out = append(out, suspects[i].RequestID+mark+":"+strings.Join(suspects[i].Parts, "+"))
	}
	return strings.Join(out, ",")
}
