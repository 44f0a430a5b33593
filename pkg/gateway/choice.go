package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/serverspeed"
)

// choice is the server chosen for an attempt, with the figures that the choice rests on.
type choice struct {
	server fleet.Server
	// candidates is the number of servers that could have run the request.
	candidates int
	// predicted is the expected time to the first byte.
	predicted time.Duration
	// prefill is the number of prompt tokens that the server is expected to process, without the cached ones.
	prefill int
	// work is what the server has to do until the first event, its part that is known to this daemon.
	work serverspeed.Work
	// slowness is how slow the server was expected to be; 1 for servers that are not known to differ.
	slowness float64
	// far is set if the server is in another region.
	far bool
	// reportAge is the age of the server list that the choice used.
	reportAge time.Duration
	// limited is set, without a server, if the only servers that can run the request take no more requests now.
	limited bool
	// limitWait is how long the request will then wait for one of them.
	limitWait time.Duration
	// leaving and paused are set if a server that holds what the request needs was passed over for that reason.
	leaving bool
	paused  bool
	// pause is set, without a server, if all servers that can run the request pause or leave.
	pause *pausedServers
}
