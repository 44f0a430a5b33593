package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// execPath is the path for exec requests.
	execPath = "/v1/exec"
	// headerTimeout is the timeout for reading the header of a request.
	headerTimeout = 10 * time.Second
)

// controlHandler serves exec requests and the twirp services Agent and Peer.
func controlHandler(exec http.Handler, agent ferrypb.Agent, peer ferrypb.Peer, m *Metrics) http.Handler {
	router := mux.NewRouter()
	router.Handle(execPath, exec).Methods(http.MethodPost)
	agentServer := ferrypb.NewAgentServer(agent)
	peerServer := ferrypb.NewPeerServer(peer)
	router.PathPrefix(agentServer.PathPrefix()).Handler(metered(agentServer, m))
	router.PathPrefix(peerServer.PathPrefix()).Handler(metered(peerServer, m))
	return router
}

// adminHandler serves /healthz, /readyz and /metrics.
func adminHandler(view *atomic.Pointer[View], m *Metrics) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !view.Load().Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	router.Handle("/metrics", promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	return router
}

// listener is one HTTP server of the agent.
type listener struct {
	server *http.Server
	socket net.Listener
}

// listen opens the address before the server is started, so that an address in use makes the start of the agent fail.
func listen(address string, handler http.Handler) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, failure.NotRun, "address "+address+" cannot be opened", err)
	}
	return &listener{socket: socket, server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}, nil
}

// serve serves requests until shutdown and calls failed if the server ends earlier.
func (l *listener) serve(failed func(error)) {
	err := l.server.Serve(l.socket)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		failed(err)
	}
}

// shutdown waits for the requests in progress and closes their connections when ctx is done.
func (l *listener) shutdown(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		return l.server.Close()
	}
	return nil
}
