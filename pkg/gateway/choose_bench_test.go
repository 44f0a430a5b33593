package gateway

import "testing"

// Choosing among the 40 servers of a service, 10 of which hold the model, as each request does on hosts with a tenth of a
// core.
func BenchmarkChooseAmongForty(b *testing.B) {
	for name, c := range map[string]*chooser{"together": testChooser(), "apart": mixedChooser()} {
		b.Run(name, func(b *testing.B) {
			view, work := modelView(40), NewTracker()
			for id, s := range view.Servers {
				if len(id) == 2 {
					continue
				}
				s.Models = nil
				view.Servers[id] = s
			}
			j := modelJob("id", "", 6300, 2890)
			for b.Loop() {
				c.choose(j, view, work, now)
			}
		})
	}
}
