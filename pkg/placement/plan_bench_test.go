package placement

import (
	"fmt"
	"testing"

	"trefoilferry.example/ferry/pkg/object"
)

// Measures a plan at the target size of 760 runners and 640 models, with a stable placement and with an empty one.
// Guards against a planner that exceeds the control budget there.
func BenchmarkPlan(b *testing.B) {
	var models []*object.Model
	for i := range 640 {
		models = append(models, model(fmt.Sprintf("m%03d", i), "1", 10, 2))
	}
	empty := newCluster(760, 7, 40, models...)
	settled := newCluster(760, 7, 40, models...)
	for i, m := range models {
		for n := range 2 {
			name := settled.names[(2*i+n)%len(settled.names)]
			settled.markReady(settled.claim(name, m.Name, "1", settled.fencing[name], floorKind, 2), name, settled.fencing[name])
		}
	}
	for name, c := range map[string]*cluster{"settled": settled, "empty": empty} {
		in := c.input(c.names[0], c.Snapshot())
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(in)
			}
		})
	}
}
