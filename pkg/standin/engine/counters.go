package engine

import (
	"maps"
	"net/http"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

// Counters is the response to GET /counters.
type Counters struct {
	// Overdraws counts load orders refused because they would have exceeded the accelerator memory.
	Overdraws int `json:"overdraws"`
	// UsedBytes is the memory in use or reserved by loads now. Unlike the report it has no lag.
	UsedBytes uint64 `json:"used_bytes"`
	// PeakBytes is the largest memory use that load orders would have led to, including refused orders.
	PeakBytes uint64 `json:"peak_bytes"`
	// CutRequests counts requests in progress that were aborted because their model was unloaded.
	CutRequests int `json:"cut_requests"`
	// Started counts generations that entered the queue; Completed those whose response was sent completely.
	Started   int `json:"started"`
	Completed int `json:"completed"`
	// Cancelled counts generations removed because their client cancelled or disconnected.
	Cancelled int `json:"cancelled"`
	// ResumeMismatches counts resume texts that are not the beginning of the response or have a wrong token count.
	ResumeMismatches int                      `json:"resume_mismatches"`
	Tokens           int                      `json:"tokens"`
	Loads            int                      `json:"loads"`
	Unloads          int                      `json:"unloads"`
	AdapterLoads     int                      `json:"adapter_loads"`
	FencedOrders     int                      `json:"fenced_orders"`
	DroppedOrders    int                      `json:"dropped_orders"`
	Orders           map[engine.OrderKind]int `json:"orders"`
	Running          int                      `json:"running"`
	Waiting          int                      `json:"waiting"`
	// ByRequest counts the generations started per request id.
	ByRequest map[string]int `json:"by_request"`
}

// Counters returns a copy of the current counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.Orders = maps.Clone(c.Orders)
	c.ByRequest = maps.Clone(c.ByRequest)
	c.Overdraws = s.memory.overdraws
	c.UsedBytes = s.memory.used
	c.PeakBytes = s.memory.peak
	c.Running = len(s.batch.running)
	c.Waiting = len(s.batch.waiting)
	return c
}

func (s *Server) updateCounters(change func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

func (s *Server) serveCounters(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, s.Counters())
}
