package capacity

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/stream"
)

// Scenario is what happens while a daemon is measured.
type Scenario struct {
	Role Role `json:"role"`
	Size Size `json:"size"`
	// Position is the place of the measured host in the relay tree.
	Position Position `json:"position"`
	// Changes is the number of configuration changes a second.
	Changes float64 `json:"changes_per_second"`
	// Restarts is the number of agent starts a second.
	Restarts float64 `json:"restarts_per_second"`
	// Children is the number of daemons that watch the measured one.
	Children int `json:"children"`
	// Probes is the number of probes a second that an agent gets.
	Probes float64 `json:"probes_per_second"`
	// Duration of the measurement.
	Duration time.Duration `json:"-"`
}

// activity is the traffic that a scenario directs at the daemon.
type activity struct {
	scenario   Scenario
	population *population
	daemon     *daemon
	meter      *meter
	client     *http.Client
}

func newActivity(s Scenario, p *population, d *daemon) *activity {
	m := &meter{}
	dialer := &net.Dialer{}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, failure.Wrap(failure.ConnectFailed, failure.NotRun, "daemon not reached", err)
			}
			return &meteredConn{Conn: conn, meter: m}, nil
		},
	}
	return &activity{scenario: s, population: p, daemon: d, meter: m, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// start runs everything until ctx ends.
func (a *activity) start(ctx context.Context) {
	n := 0
	every(ctx, a.scenario.Changes, func() {
		n++
		_ = a.population.submit(ctx, a.population.adapter(n%a.scenario.Size.Adapters, 64+n%2))
	})
	every(ctx, a.scenario.Restarts, func() {
		others := a.scenario.Size.Runners - 1
		_ = a.population.restart(ctx, (a.population.self+1+rand.IntN(others))%a.scenario.Size.Runners)
	})
	agent := ferrypb.NewAgentProtobufClient("http://"+a.daemon.control, a.client)
	every(ctx, a.scenario.Probes, func() {
		_, _ = agent.Probe(ctx, &ferrypb.ProbeRequest{RequestId: "capacity", Target: modelName(0), PromptTokens: 500})
	})
	for range a.scenario.Children {
		go a.child(ctx)
	}
}

// every calls f at a rate until ctx ends; a rate of 0 never calls it.
func every(ctx context.Context, perSecond float64, f func()) {
	if perSecond <= 0 {
		return
	}
	limiter := rate.NewLimiter(rate.Limit(perSecond), 1)
	go func() {
		for limiter.Wait(ctx) == nil {
			f()
		}
	}()
}

// child watches the daemon as another daemon in the relay tree does, which has caught up with the log before. The first
// call asks for nothing but the ends of the streams.
func (a *activity) child(ctx context.Context) {
	peer := ferrypb.NewPeerProtobufClient("http://"+a.daemon.control, a.client)
	req := &ferrypb.WatchRequest{WaitMillis: uint32(stream.WatchWait.Milliseconds()), Hosts: true,
		Streams: []*ferrypb.StreamCursor{{Stream: configStream, From: math.MaxUint64}, {Stream: placementStream, From: math.MaxUint64}}}
	for ctx.Err() == nil {
		res, err := peer.Watch(ctx, req)
		if err != nil {
			time.Sleep(childPause)
			continue
		}
		for i, u := range res.Streams {
			req.Streams[i].From = u.Answer.Next
		}
		req.HostsHash = res.Hosts.Hash
	}
}

// childPause is the pause of a child after a failed call.
const childPause = 250 * time.Millisecond
