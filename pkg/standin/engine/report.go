package engine

import (
	"net/http"
	"strconv"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

// timedReport is the state of the engine from at until the next report.
type timedReport struct {
	at     time.Time
	report engine.LoadReport
}

// recordReport appends the current state to s.reports and drops reports that laggedReport no longer needs. The caller
// must hold s.mu.
func (s *Server) recordReport() {
	now := time.Now()
	s.reports = append(s.reports, timedReport{at: now, report: s.currentReport()})
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.config.ReportLag {
		s.reports = s.reports[1:]
	}
}

// laggedReport returns the newest state that is at least ReportLag old, or the oldest one if there is none. The caller
// must hold s.mu.
func (s *Server) laggedReport() engine.LoadReport {
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

// currentReport returns the state now. The caller must hold s.mu.
func (s *Server) currentReport() engine.LoadReport {
	return engine.LoadReport{
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
	report := s.laggedReport()
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, report)
}

// serveCacheEvents responds with the visible events from the sequence number in query parameter from on; 0 if invalid.
func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		from = 0
	}
	s.mu.Lock()
	events := s.cache.eventsFrom(time.Now(), from)
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, events)
}
