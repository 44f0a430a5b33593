package placement

import "testing"

// Guards against a runner that stays above its memory after its memory became smaller, and against releasing the last
// copy of a model for that.
func TestPlanShrinksToTheMemory(t *testing.T) {
	c := newCluster(2, 2, 100, model("a", "v1", 40, 2), model("b", "v1", 40, 1))
	c.rounds(6)
	for _, name := range c.names {
		c.fencing[name] = c.start(name, "d0", 60)
	}
	c.memory = 60
	c.rounds(6)
	for _, name := range c.names {
		used := uint64(0)
		for _, held := range c.Snapshot().ByRunner(name) {
			used += held.Bytes
		}
		if used > 60 {
			t.Errorf("bytes of the copies on runner %s: %d, want at most 60", name, used)
		}
	}
	for _, m := range []string{"a", "b"} {
		if len(c.Snapshot().Ready(m)) == 0 {
			t.Errorf("ready copies of model %s: 0, want at least 1", m)
		}
	}
}
