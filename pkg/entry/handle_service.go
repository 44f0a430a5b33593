package entry

import (
	"net/http"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
)

// keyPattern matches the accepted idempotency keys: printable ASCII without spaces. The length is bounded, because keys
// are stored in the log.
var keyPattern = regexp.MustCompile(`^[!-~]{1,255}$`)

// defaultIdempotentMethods are the idempotent methods of services that configure none.
var defaultIdempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// callService serves a call of a plain service, that is, one that is not a model.
func (s *Server) callService(w http.ResponseWriter, r *http.Request, id string) *failure.Failure {
	body, f := s.readBody(w, r)
	if f != nil {
		return f
	}
	request, f := s.resolveService(r, id, body)
	if f != nil {
		return f
	}
	return s.dispatcher.Run(r.Context(), request, newServiceSink(w, s.settings.Limits.AnswerBytes))
}

// resolveService builds the request for the service in the path.
func (s *Server) resolveService(r *http.Request, id string, body []byte) (*Request, *failure.Failure) {
	config := s.snapshots.Load().Config
	service, path, f := findService(config, r)
	if f != nil {
		return nil, f
	}
	workspace, priority, f := findWorkspace(config, r)
	if f != nil {
		return nil, f
	}
	key := r.Header.Get(headerKey)
	if len(r.Header.Values(headerKey)) > 1 || (key != "" && !keyPattern.MatchString(key)) {
		return nil, badRequest("Idempotency-Key must be one value of 1 to 255 printable characters without spaces")
	}
	now := s.clock.Now()
	timeout := s.settings.Limits.RequestTimeout
	if service.Timeout > 0 {
		timeout = min(timeout, service.Timeout)
	}
	return &Request{
		ID:             id,
		Kind:           ferrypb.RequestKind_REQUEST_KIND_SERVICE,
		Target:         service.Name,
		Workspace:      workspace,
		Priority:       priority,
		ReceivedAt:     now,
		Deadline:       now.Add(timeout),
		Method:         r.Method,
		Path:           path,
		Header:         forwardedHeader(r.Header, id),
		Body:           body,
		IdempotencyKey: key,
		Idempotent:     idempotent(service, r.Method),
	}, nil
}

// findService returns the service named in the path, and the path and query to send to it.
func findService(config ConfigView, r *http.Request) (*object.Service, string, *failure.Failure) {
	escaped := mux.Vars(r)["service"]
	name, err := url.PathUnescape(escaped)
	if err != nil {
		return nil, "", failure.Wrap(failure.BadRequest, failure.NotRun, "the service name in the path is not escaped correctly", err)
	}
	service, ok := config.Service(name)
	if !ok {
		return nil, "", failure.New(failure.NotFound, failure.NotRun, "no such service")
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+escaped)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return service, path, nil
}

func idempotent(service *object.Service, method string) bool {
	methods := service.IdempotentMethods
	if len(methods) == 0 {
		methods = defaultIdempotentMethods
	}
	return slices.Contains(methods, method)
}
