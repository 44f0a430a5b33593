package engine

import (
	"net/http"
	"strconv"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

// reportAt is the state of the engine from a time on.
type reportAt struct {
	at     time.Time
	report engine.Report
}

// changed records the state for the lagging report; the lock is held.
func (s *Server) changed() {
	now := time.Now()
	s.reports = append(s.reports, reportAt{at: now, report: s.report()})
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.config.ReportLag {
		s.reports = s.reports[1:]
	}
}

// lagging returns the newest state that is at least the lag old; the lock is held.
func (s *Server) lagging() engine.Report {
	now := time.Now()
	found := s.reports[0].report
	for _, r := range s.reports {
		if now.Sub(r.at) < s.config.ReportLag {
			break
		}
		found = r.report
	}
	return found
}

// report returns the state now; the lock is held.
func (s *Server) report() engine.Report {
	return engine.Report{
		Instance:               s.config.Instance,
		Fencing:                s.fencing,
		HonoursFencing:         s.config.HonourFencing,
		MemoryBytes:            s.config.MemoryBytes,
		UsedBytes:              s.memory.used,
		Models:                 s.memory.models(),
		Running:                uint32(len(s.batch.running)),
		Waiting:                uint32(len(s.batch.waiting)),
		PrefillTokensPerSecond: s.config.PrefillRate,
		DecodeTokensPerSecond:  s.batch.decodeRate(len(s.batch.running)),
		MaxRunning:             uint32(s.config.MaxRunning),
	}
}

func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := s.lagging()
	s.mu.Unlock()
	serve.JSON(w, http.StatusOK, report)
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		from = 0
	}
	s.mu.Lock()
	events := s.cache.since(time.Now(), from)
	s.mu.Unlock()
	serve.JSON(w, http.StatusOK, events)
}
