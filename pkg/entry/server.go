package entry

import (
	"net/http"

	"github.com/gorilla/mux"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/timeline"
)

// Server is the callers' HTTP interface.
type Server struct {
	settings   *Settings
	snapshots  *Snapshots
	dispatcher *Dispatcher
	clock      clock.Clock
	ring       *timeline.Ring
	log        *eventlog.Logger
	metrics    *Metrics
}

// NewServer returns the callers' interface over the parts of its dispatcher.
func NewServer(p DispatcherParts, d *Dispatcher) *Server {
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

// Handler returns the routes of the callers' interface.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.Handle("/v1/chat/completions", s.endpoint("chat", s.generate(true))).Methods(http.MethodPost)
	router.Handle("/v1/completions", s.endpoint("completion", s.generate(false))).Methods(http.MethodPost)
	router.Handle("/v1/models", s.endpoint("models", s.listModels)).Methods(http.MethodGet)
	router.Handle("/services/{service}", s.endpoint("service", s.callService))
	router.Handle("/services/{service}/{path:.*}", s.endpoint("service", s.callService))
	router.NotFoundHandler = s.endpoint("none", refuse(failure.NotFound, "no such path"))
	router.MethodNotAllowedHandler = s.endpoint("none", refuse(failure.MethodInvalid, "the path does not support the method"))
	return router
}

func refuse(code failure.Code, message string) operation {
	return func(http.ResponseWriter, *http.Request, string) *failure.Failure {
		return failure.New(code, failure.NotRun, message)
	}
}

// httpServer returns an HTTP server with the limits of the settings. The header limit is enforced by the
// handlers, so that callers get a typed error; the server's own limit only bounds memory.
func (s *Server) httpServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.settings.Limits.HeaderTimeout,
		IdleTimeout:       s.settings.Limits.IdleTimeout,
		MaxHeaderBytes:    2 * s.settings.Limits.HeaderBytes,
	}
}
