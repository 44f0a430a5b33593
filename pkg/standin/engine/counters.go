package engine

import (
	"maps"
	"net/http"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

// Counters are the figures at GET /counters.
type Counters struct {
	// Overdraws counts orders that asked for more memory than the accelerator has.
	Overdraws int `json:"overdraws"`
	// UsedBytes is the memory committed now, without the lag of the report.
	UsedBytes uint64 `json:"used_bytes"`
	// PeakBytes is the largest memory that orders asked to commit, refused ones included.
	PeakBytes uint64 `json:"peak_bytes"`
	// CutRequests counts requests in progress whose model was unloaded.
	CutRequests int `json:"cut_requests"`
	// Started counts generations that entered the queue; Completed those sent to their end.
	Started   int `json:"started"`
	Completed int `json:"completed"`
	// Cancelled counts generations whose client went away.
	Cancelled int `json:"cancelled"`
	// ResumeMismatches counts resume texts that differ from the answer generated so far.
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

// Counters returns a copy of the figures.
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

func (s *Server) count(change func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

func (s *Server) serveCounters(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, s.Counters())
}
