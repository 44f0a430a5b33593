package serverspeed

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Table holds what this daemon knows of the speed of the servers, by incarnation, and of the services. Until there is
// evidence that the servers of a service differ, all of them count as usual and the rates are the starting values. It is
// safe for concurrent use.
type Table struct {
	start    Rates
	mu       sync.Mutex
	servers  map[string]*server
	services map[string]*service
	// news holds the newest statements that TakeNews has not returned, by server.
	news map[string]Statement
}

// NewTable returns an empty table whose services start with the given rates.
func NewTable(start Rates) *Table {
	return &Table{start: start, servers: map[string]*server{}, services: map[string]*service{}, news: map[string]Statement{}}
}

// State records that a server stated its slowness. Values that are not positive are ignored.
func (t *Table) State(i Incarnation, slowness float64, now time.Time) (Judgement, Estimate) {
	// The comparison is written so that NaN is invalid.
	if valid := slowness > 0; !valid {
		return Unchanged, usual
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, of := t.server(i, now), t.service(i.Service)
	if math.Abs(slowness-1) >= unevenStatement {
		of.unevenAt = now
	}
	s.state(slowness, now)
	t.news[i.Server] = Statement{Server: i.Server, Slowness: slowness, At: now}
	return t.judged(s, of, now)
}

// TakeNews returns what servers stated to this daemon since the last call, the newest of each.
func (t *Table) TakeNews() []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := slices.Collect(maps.Values(t.news))
	clear(t.news)
	return out
}

// Hear records what a server stated to another daemon.
func (t *Table) Hear(i Incarnation, slowness float64, at, now time.Time) (Judgement, Estimate) {
	if valid := slowness > 0; !valid || now.Sub(at) > maxStatementAge {
		return Unchanged, usual
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, of := t.server(i, now), t.service(i.Service)
	if math.Abs(slowness-1) >= unevenStatement {
		of.unevenAt = now
	}
	s.state(slowness, at)
	return t.judged(s, of, now)
}

// ShowFirstEvent records how long a server took to the first event of a request, from when it was sent there.
func (t *Table) ShowFirstEvent(i Incarnation, w Work, took time.Duration, now time.Time) (Judgement, Estimate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, of := t.server(i, now), t.service(i.Service)
	expected := of.rates.FirstToken(w.Tokens, w.Running)
	if took <= 0 || expected <= 0 {
		return Unchanged, usual
	}
	median := t.median(i.Service, of, now)
	multiple := float64(took) / float64(expected)
	slowness := s.estimate(median, now).Slowness
	s.show(multiple, median, now)
	of.rates = of.rates.learn(t.start, w, math.Log(multiple/slowness))
	return t.judged(s, of, now)
}

// ShowMultiple records that an answer took a multiple of the usual time of its service.
func (t *Table) ShowMultiple(i Incarnation, multiple float64, now time.Time) (Judgement, Estimate) {
	if valid := multiple > 0; !valid {
		return Unchanged, usual
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, of := t.server(i, now), t.service(i.Service)
	s.show(multiple, t.median(i.Service, of, now), now)
	return t.judged(s, of, now)
}

// Estimate returns what is known of the speed of a server.
func (t *Table) Estimate(i Incarnation, now time.Time) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	of, ok := t.services[i.Service]
	if !ok || !of.uneven(now) {
		return usual
	}
	median := t.median(i.Service, of, now)
	s, ok := t.servers[i.Server]
	if !ok || s.incarnation != i {
		return Estimate{Slowness: median, Mean: median, Age: -1, Spread: 1}
	}
	return s.estimate(median, now)
}

// Rates returns the rates of a service, and whether its servers are known to differ.
func (t *Table) Rates(name string, now time.Time) (Rates, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if of, ok := t.services[name]; ok && of.uneven(now) {
		return of.rates, true
	}
	return t.start, false
}

// Retain removes the servers whose incarnation is not listed; start holds the start times by id.
func (t *Table) Retain(start func(server string) (startMillis int64, listed bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	used := map[string]bool{}
	for id, s := range t.servers {
		if born, ok := start(id); !ok || born != s.incarnation.StartMillis {
			delete(t.servers, id)
			delete(t.news, id)
			continue
		}
		used[s.incarnation.Service] = true
	}
	for name := range t.services {
		if !used[name] {
			delete(t.services, name)
		}
	}
}

// Summary calls f for each service whose servers are known to differ, with the slowness of the fastest, the median and the
// slowest server.
func (t *Table) Summary(now time.Time, f func(service string, fastest, median, slowest float64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, of := range t.services {
		if !of.uneven(now) {
			continue
		}
		median := t.median(name, of, now)
		low, high := median, median
		for _, s := range t.servers {
			if s.incarnation.Service == name {
				mean := s.mean(median, now)
				low, high = min(low, mean), max(high, mean)
			}
		}
		f(name, low, median, high)
	}
}

// server returns the record of an incarnation. A new one starts from the median of its service.
func (t *Table) server(i Incarnation, now time.Time) *server {
	s, ok := t.servers[i.Server]
	if !ok || s.incarnation != i {
		s = newServer(i, t.median(i.Service, t.service(i.Service), now))
		t.servers[i.Server] = s
	}
	return s
}

func (t *Table) service(name string) *service {
	of, ok := t.services[name]
	if !ok {
		of = &service{rates: t.start, median: 1}
		t.services[name] = of
	}
	return of
}

func (t *Table) judged(s *server, of *service, now time.Time) (Judgement, Estimate) {
	if !of.uneven(now) {
		return Unchanged, usual
	}
	median := t.median(s.incarnation.Service, of, now)
	return s.judge(median, now), s.estimate(median, now)
}

// median returns the median slowness of the servers of a service with evidence; 1 if there are none. It also looks whether
// the answers alone show that the servers differ.
func (t *Table) median(name string, of *service, now time.Time) float64 {
	if !of.medianAt.IsZero() && now.Sub(of.medianAt) < medianPeriod {
		return of.median
	}
	var own, shown []float64
	for _, s := range t.servers {
		if s.incarnation.Service != name || s.evidenceAt.IsZero() {
			continue
		}
		own = append(own, clamp(s.statedMean*s.correction()))
		if s.answers >= unevenAnswers {
			shown = append(shown, s.shown)
		}
	}
	of.median, of.medianAt = 1, now
	if len(own) > 0 {
		slices.Sort(own)
		of.median = own[len(own)/2]
	}
	if n := len(shown); n >= unevenServers {
		slices.Sort(shown)
		if shown[n-1-n/4]-shown[n/4] >= math.Log(unevenRatio) {
			of.unevenAt = now
		}
	}
	return of.median
}
