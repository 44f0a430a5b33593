package entry

import (
	"net/http"

	"github.com/gorilla/mux"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/timeline"
)

// Server serves the HTTP API for callers.
type Server struct {
	settings   *Settings
	snapshots  *Snapshots
	dispatcher *Dispatcher
	clock      clock.Clock
	ring       *timeline.Ring
	log        *eventlog.Logger
	metrics    *Metrics
}

// NewServer returns a server that runs requests through the dispatcher d, which must have been created from p.
func NewServer(p DispatcherConfig, d *Dispatcher) *Server {
	return &Server{
		settings:   p.Settings,
		snapshots:  p.Snapshots,
		dispatcher: d,
		clock:      p.Clock,
		ring:       p.Ring,
		log:        p.Log,
		metrics:    p.Metrics,
	}
}

// Handler returns the handler for all paths of the API.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.Handle("/v1/chat/completions", s.endpoint("chat", s.generate(true))).Methods(http.MethodPost)
	router.Handle("/v1/completions", s.endpoint("completion", s.generate(false))).Methods(http.MethodPost)
	router.Handle("/v1/models", s.endpoint("models", s.listModels)).Methods(http.MethodGet)
	router.Handle("/services/{service}", s.endpoint("service", s.callService))
	router.Handle("/services/{service}/{path:.*}", s.endpoint("service", s.callService))
	router.NotFoundHandler = s.endpoint("none", refuseWith(failure.NotFound, "no such path"))
	router.MethodNotAllowedHandler = s.endpoint("none", refuseWith(failure.MethodNotAllowed, "the path does not support the method"))
	return router
}

// refuseWith returns a handler that fails every request with the code and outcome NotRun.
func refuseWith(code failure.Code, message string) requestHandler {
	return func(http.ResponseWriter, *http.Request, string) *failure.Failure {
		return failure.New(code, failure.NotRun, message)
	}
}

// httpServer returns an HTTP server with the limits of the settings. The handlers enforce the header limit, so that
// callers get an error with a code; the limit of net/http is twice as large and only bounds memory.
func (s *Server) httpServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.settings.Limits.HeaderTimeout,
		IdleTimeout:       s.settings.Limits.IdleTimeout,
		MaxHeaderBytes:    2 * s.settings.Limits.HeaderBytes,
	}
}
