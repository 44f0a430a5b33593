package capacity

import (
	"context"
	"net"
	"net/http"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/infra/httplog"
	"trefoilferry.example/ferry/pkg/placement"
	"trefoilferry.example/ferry/pkg/standin/engine"
	"trefoilferry.example/ferry/pkg/standin/hosts"
	standinlog "trefoilferry.example/ferry/pkg/standin/log"
	"trefoilferry.example/ferry/pkg/stream"
)

// environment holds everything outside the measured daemon: log, host list, engine and the server for all other hosts.
type environment struct {
	logURL string
	// unmeteredLogURL is a URL of the same log whose traffic is not counted.
	unmeteredLogURL string
	hostsURL        string
	engineURL       string
	// peerAddress is the address of the server that responds for all other hosts.
	peerAddress string
	// logMeter, hostsMeter and peerMeter count the measured daemon's traffic with the log, the host list and other
	// daemons.
	logMeter   *meter
	hostsMeter *meter
	peerMeter  *meter

	hosts     *hosts.Server
	listeners []net.Listener
	followers []*stream.Follower
	cancel    context.CancelFunc
}

func newEnvironment() (*environment, error) {
	e := &environment{logMeter: &meter{}, hostsMeter: &meter{}, peerMeter: &meter{}, hosts: hosts.New(0)}
	var err error
	log := standinlog.New(standinlog.Config{})
	if e.logURL, err = e.serve(log, e.logMeter); err != nil {
		return nil, err
	}
	if e.unmeteredLogURL, err = e.serve(log, &meter{}); err != nil {
		return nil, err
	}
	if e.hostsURL, err = e.serve(e.hosts, e.hostsMeter); err != nil {
		return nil, err
	}
	config := engine.DefaultConfig()
	config.MemoryBytes = runnerMemory
	if e.engineURL, err = e.serve(engine.New(config), &meter{}); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	return e, e.servePeers(ctx)
}

// serve starts a server on loopback whose traffic m counts, and returns its URL.
func (e *environment) serve(handler http.Handler, m *meter) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", failure.Wrap(failure.Internal, failure.NotRun, "cannot listen on loopback", err)
	}
	e.listeners = append(e.listeners, l)
	go func() { _ = http.Serve(&meteredListener{Listener: l, meter: m}, handler) }()
	return "http://" + l.Addr().String(), nil
}

// servePeers starts the server that responds for all other hosts. It follows the log and reads the host list until ctx
// ends.
func (e *environment) servePeers(ctx context.Context) error {
	log := httplog.New(e.unmeteredLogURL, &http.Client{Timeout: callTimeout})
	relay := stream.NewRelay(stream.RelayConfig{ForceRoot: true, Clock: systemClock{}})
	p := &peers{streams: map[string]*stream.Follower{}, watchServer: relay.Server()}
	for name, fold := range map[string]stream.Fold{configStream: configlog.NewFold(), placementStream: placement.NewFold()} {
		f := stream.NewFollower(stream.FollowerConfig{Stream: name, Fold: fold, Log: log, Changes: relay.Changes})
		relay.AddStream(name, f)
		p.streams[name] = f
		e.followers = append(e.followers, f)
		go pollFollower(ctx, f)
	}
	relay.Watcher()
	reader := relay.HostReader(localHostList{e.hosts}, time.Second, func([]infra.Host) {})
	go pollLoop(ctx, reader.Poll)
	mux := http.NewServeMux()
	mux.Handle(ferrypb.AgentPathPrefix, ferrypb.NewAgentServer(p))
	mux.Handle(ferrypb.PeerPathPrefix, ferrypb.NewPeerServer(p))
	url, err := e.serve(mux, e.peerMeter)
	e.peerAddress = url[min(len(url), len("http://")):]
	return err
}

// callTimeout limits each call that the measurement makes itself.
const callTimeout = 10 * time.Second

func pollFollower(ctx context.Context, f *stream.Follower) {
	pollLoop(ctx, func(ctx context.Context) { _, _ = f.Poll(ctx) })
}

// pollLoop calls f until ctx ends, with the default poll interval between calls.
func pollLoop(ctx context.Context, f func(context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(stream.DefaultPollInterval):
		}
	}
}

// localHostList reads the host list stand-in without the network, so that reads on behalf of other hosts are not counted.
type localHostList struct{ server *hosts.Server }

// Hosts implements infra.HostList.
func (l localHostList) Hosts(context.Context) ([]infra.Host, error) { return l.server.Visible(), nil }

// close stops the background reads and closes all listeners.
func (e *environment) close() {
	if e.cancel != nil {
		e.cancel()
	}
	for _, l := range e.listeners {
		_ = l.Close()
	}
}
