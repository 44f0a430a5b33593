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

// surroundings are everything outside the measured daemon.
type surroundings struct {
	logURL string
	// ownLogURL reaches the log without counting.
	ownLogURL string
	hostsURL  string
	engineURL string
	peers     string
	// logMeter, hostsMeter and peerMeter count the measured daemon's traffic.
	logMeter   *meter
	hostsMeter *meter
	peerMeter  *meter

	hosts     *hosts.Server
	listeners []net.Listener
	followers []*stream.Follower
	cancel    context.CancelFunc
}

func newSurroundings() (*surroundings, error) {
	s := &surroundings{logMeter: &meter{}, hostsMeter: &meter{}, peerMeter: &meter{}, hosts: hosts.New(0)}
	var err error
	log := standinlog.New(standinlog.Config{})
	if s.logURL, err = s.serve(log, s.logMeter); err != nil {
		return nil, err
	}
	if s.ownLogURL, err = s.serve(log, &meter{}); err != nil {
		return nil, err
	}
	if s.hostsURL, err = s.serve(s.hosts, s.hostsMeter); err != nil {
		return nil, err
	}
	config := engine.Default()
	config.MemoryBytes = runnerMemory
	if s.engineURL, err = s.serve(engine.New(config), &meter{}); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	return s, s.servePeers(ctx)
}

// serve starts a server on loopback and returns its URL.
func (s *surroundings) serve(handler http.Handler, m *meter) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", failure.Wrap(failure.Internal, failure.NotRun, "no listener", err)
	}
	s.listeners = append(s.listeners, l)
	go func() { _ = http.Serve(&meteredListener{Listener: l, meter: m}, handler) }()
	return "http://" + l.Addr().String(), nil
}

// servePeers starts the server that answers for all other hosts.
func (s *surroundings) servePeers(ctx context.Context) error {
	log := httplog.New(s.ownLogURL, &http.Client{Timeout: callTimeout})
	relay := stream.NewRelay(stream.RelayConfig{ForceRoot: true, Clock: systemClock{}})
	p := &peers{streams: map[string]*stream.Follower{}, watched: relay.Server()}
	for name, fold := range map[string]stream.Fold{configStream: configlog.NewFold(), placementStream: placement.NewFold()} {
		f := stream.NewFollower(stream.FollowerConfig{Stream: name, Fold: fold, Log: log, Changes: relay.Changes})
		relay.AddStream(name, f)
		p.streams[name] = f
		s.followers = append(s.followers, f)
		go follow(ctx, f)
	}
	relay.Watcher()
	reader := relay.HostReader(ownList{s.hosts}, time.Second, func([]infra.Host) {})
	go repeat(ctx, reader.Poll)
	mux := http.NewServeMux()
	mux.Handle(ferrypb.AgentPathPrefix, ferrypb.NewAgentServer(p))
	mux.Handle(ferrypb.PeerPathPrefix, ferrypb.NewPeerServer(p))
	url, err := s.serve(mux, s.peerMeter)
	s.peers = url[min(len(url), len("http://")):]
	return err
}

// callTimeout bounds one call of the measurement.
const callTimeout = 10 * time.Second

func follow(ctx context.Context, f *stream.Follower) {
	repeat(ctx, func(ctx context.Context) { _, _ = f.Poll(ctx) })
}

// repeat calls f at the interval of polls until ctx ends.
func repeat(ctx context.Context, f func(context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(stream.DefaultPollInterval):
		}
	}
}

// ownList reads the stand-in without the network, so that the reads of other hosts are not counted.
type ownList struct{ server *hosts.Server }

// Hosts implements infra.HostList.
func (l ownList) Hosts(context.Context) ([]infra.Host, error) { return l.server.Visible(), nil }

// close ends all servers.
func (s *surroundings) close() {
	if s.cancel != nil {
		s.cancel()
	}
	for _, l := range s.listeners {
		_ = l.Close()
	}
}
