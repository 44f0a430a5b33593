package fleet

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func report(id string, born, sequence int64, draining bool) Server {
	return Server{ID: id, Service: "s", BornMillis: born, Sequence: sequence, Draining: draining}
}

// Guards against servers that come back, or lose their draining state, by reports that arrive late or twice.
func TestOldReportsChangeNothing(t *testing.T) {
	cases := []struct {
		name     string
		apply    func(*Registry)
		present  bool
		draining bool
	}{
		{"older report of one incarnation", func(r *Registry) {
			r.Report(report("a", 5, 9, true))
			r.Report(report("a", 5, 3, false))
		}, true, true},
		{"newer report that forgot the draining", func(r *Registry) {
			r.Report(report("a", 5, 9, true))
			r.Report(report("a", 5, 10, false))
		}, true, true},
		{"new incarnation under the id", func(r *Registry) {
			r.Report(report("a", 5, 9, true))
			r.Report(report("a", 6, 1, false))
		}, true, false},
		{"report of an earlier incarnation", func(r *Registry) {
			r.Report(report("a", 6, 1, false))
			r.Report(report("a", 5, 9, true))
		}, true, false},
		{"late report after the removal", func(r *Registry) {
			r.Report(report("a", 5, 9, false))
			r.Remove("a", false, start)
			r.Report(report("a", 5, 9, false))
			r.Report(report("a", 5, 2, false))
		}, false, false},
		{"return after a lapse", func(r *Registry) {
			r.Report(report("a", 5, 9, false))
			r.Remove("a", false, start)
			r.Report(report("a", 5, 10, false))
		}, true, false},
	}
	for _, c := range cases {
		r := NewRegistry()
		c.apply(r)
		s, ok := r.Servers()["a"]
		if ok != c.present || s.Draining != c.draining {
			t.Errorf("%s: present %v draining %v", c.name, ok, s.Draining)
		}
	}
}

// Guards against servers that are dropped although their entries only lapsed while the store was away, and against
// servers that are kept longer than the entries need to return.
func TestLapsedServersHaveAGrace(t *testing.T) {
	r := NewRegistry()
	r.Report(report("a", 5, 9, false))
	r.Report(report("b", 5, 9, false))
	r.Replace([]Server{}, true, start)
	if len(r.Servers()) != 2 {
		t.Fatal("lapsed servers are dropped at once")
	}
	r.Report(report("a", 5, 10, false))
	if r.Expire(start.Add(time.Second)); len(r.Servers()) != 2 {
		t.Error("a server was dropped within the grace")
	}
	if r.Expire(start.Add(2 * time.Second)); len(r.Servers()) != 1 {
		t.Error("the grace does not end")
	}
	r.Replace([]Server{}, false, start)
	if len(r.Servers()) != 0 {
		t.Error("without an outage a missing server is kept")
	}
}

// Guards against relayed changes that miss a server, and against heartbeats that count as changes.
func TestVersionCountsMaterialChanges(t *testing.T) {
	r := NewRegistry()
	r.Report(report("a", 5, 9, false))
	version := r.Version()
	r.Report(report("a", 5, 10, false))
	if r.Version() != version {
		t.Error("a heartbeat counts as a change")
	}
	r.Report(report("a", 5, 11, true))
	r.Report(report("b", 5, 1, false))
	r.Remove("b", false, start)
	changed, gone := r.Changes()
	if changed["a"] <= version || gone["b"] <= version || r.Version() != version+3 {
		t.Errorf("version %d, changed %v, gone %v", r.Version(), changed, gone)
	}
}
