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

// Scenario describes the system and the load of one measurement.
type Scenario struct {
	Role Role `json:"role"`
	Size Size `json:"size"`
	// Position is the position of the measured host in the relay tree.
	Position Position `json:"position"`
	// ChangesPerSecond is the rate of configuration changes.
	ChangesPerSecond float64 `json:"changes_per_second"`
	// RestartsPerSecond is the rate of restarts over all other agents.
	RestartsPerSecond float64 `json:"restarts_per_second"`
	// Children is the number of daemons that watch the measured daemon as their parent in the relay tree.
	Children int `json:"children"`
	// ProbesPerSecond is the rate of probes that the measured agent receives; 0 for an entry host.
	ProbesPerSecond float64 `json:"probes_per_second"`
	// Duration is the length of the measurement, without the warm-up.
	Duration time.Duration `json:"-"`
}

// workload generates the control traffic of a scenario that reaches the measured daemon.
type workload struct {
	scenario   Scenario
	population *population
	daemon     *daemon
	// meter counts the traffic of calls to the daemon.
	meter  *meter
	client *http.Client
}

func newWorkload(s Scenario, p *population, d *daemon) *workload {
	m := &meter{}
	dialer := &net.Dialer{}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, failure.Wrap(failure.ConnectFailed, failure.NotRun, "cannot connect to the measured daemon at "+address, err)
			}
			return &meteredConn{Conn: conn, meter: m}, nil
		},
	}
	return &workload{scenario: s, population: p, daemon: d, meter: m, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// start starts the traffic in the background; it continues until ctx ends.
func (w *workload) start(ctx context.Context) {
	n := 0
	runAtRate(ctx, w.scenario.ChangesPerSecond, func() {
		n++
		_ = w.population.publishObjects(ctx, w.population.adapter(n%w.scenario.Size.Adapters, 64+n%2))
	})
	runAtRate(ctx, w.scenario.RestartsPerSecond, func() {
		others := w.scenario.Size.Runners - 1
		_ = w.population.writeAgentRestart(ctx, (w.population.measured+1+rand.IntN(others))%w.scenario.Size.Runners)
	})
	agent := ferrypb.NewAgentProtobufClient("http://"+w.daemon.controlAddress, w.client)
	runAtRate(ctx, w.scenario.ProbesPerSecond, func() {
		_, _ = agent.Probe(ctx, &ferrypb.ProbeRequest{RequestId: "capacity", Target: modelName(0), PromptTokens: 500})
	})
	for range w.scenario.Children {
		go w.watchAsChild(ctx)
	}
}

// runAtRate calls f in the background at the given rate until ctx ends. It does nothing for a rate of 0 or less.
func runAtRate(ctx context.Context, perSecond float64, f func()) {
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

// watchAsChild watches the daemon like a child in the relay tree that has already caught up with the log. The first call
// starts past the end of each stream, so that it returns the end offsets but no records.
func (w *workload) watchAsChild(ctx context.Context) {
	peer := ferrypb.NewPeerProtobufClient("http://"+w.daemon.controlAddress, w.client)
	req := &ferrypb.WatchRequest{WaitMillis: uint32(stream.WatchWait.Milliseconds()), Hosts: true,
		Streams: []*ferrypb.StreamCursor{{Stream: configStream, From: math.MaxUint64}, {Stream: placementStream, From: math.MaxUint64}}}
	for ctx.Err() == nil {
		res, err := peer.Watch(ctx, req)
		if err != nil {
			time.Sleep(childRetryDelay)
			continue
		}
		for i, u := range res.Streams {
			req.Streams[i].From = u.Answer.Next
		}
		req.HostsHash = res.Hosts.Hash
	}
}

// childRetryDelay is the delay before a child retries a failed call.
const childRetryDelay = 250 * time.Millisecond
