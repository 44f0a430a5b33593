package serverspeed

import (
	"math"
	"time"
)

const (
	// relayedChange is the least change of a statement, as a logarithm, that is passed on, and relayPeriod the longest time
	// between two that are, whatever they say. Most statements repeat the one before; passing on all of them would add two
	// fifths to what the lease holder sends at 100 daemons.
	relayedChange = 0.1
	relayPeriod   = 3 * time.Second
	// maxStatementAge is the age from which a statement is not passed on.
	maxStatementAge = 2 * time.Second
)

// Exchange passes the statements of servers on between daemons: each daemon hears of a server only once in seconds by its
// own requests, all together several times a second. It is not safe for concurrent use.
type Exchange struct {
	servers map[uint32]exchanged
}

// exchanged is the newest statement of a server that was passed on, and when it came.
type exchanged struct {
	slowness float64
	at       time.Time
	cameAt   time.Time
	// newestAt is the time of the newest statement, passed on or not.
	newestAt time.Time
}

// NewExchange returns an empty exchange.
func NewExchange() *Exchange { return &Exchange{servers: map[uint32]exchanged{}} }

// Record records that the server with an index stated its slowness at a time. It came now.
func (x *Exchange) Record(index uint32, slowness float64, at, now time.Time) {
	last, ok := x.servers[index]
	// The comparison is written so that NaN is invalid.
	if valid := slowness > 0; !valid || (ok && !at.After(last.newestAt)) || now.Sub(at) > maxStatementAge {
		return
	}
	if ok && math.Abs(math.Log(slowness/last.slowness)) < relayedChange && now.Sub(last.cameAt) < relayPeriod {
		last.newestAt = at
		x.servers[index] = last
		return
	}
	x.servers[index] = exchanged{slowness: slowness, at: at, cameAt: now, newestAt: at}
}

// News calls f for the statements that came after a time and are not too old.
func (x *Exchange) News(since, now time.Time, f func(index uint32, slowness float64, at time.Time)) {
	for index, e := range x.servers {
		if e.cameAt.After(since) && now.Sub(e.at) <= maxStatementAge {
			f(index, e.slowness, e.at)
		}
	}
}

// Forget removes what is known of an index, which another server may get.
func (x *Exchange) Forget(index uint32) { delete(x.servers, index) }
