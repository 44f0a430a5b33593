package agent

import (
	"testing"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/object"
)

// Guards against a capacity for models that includes the memory reserved for adapter slots, with the accelerator memory
// taken from the settings or from the report.
func TestCapacityLeavesRoomForAdapters(t *testing.T) {
	set, problems := object.NewSet(1, []*ferrypb.Object{simModel("m", "1GiB"), published("adapter", "a", "model", "m", "bytes", "1GiB")})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	for _, test := range []struct {
		name            string
		set             *object.Set
		setting, report uint64
		want            uint64
	}{
		{"no configuration", nil, 10 * gib, 10 * gib, 10 * gib},
		{"memory from the report", set, 0, 10 * gib, 8 * gib},
		{"memory set", set, 10 * gib, 10 * gib, 8 * gib},
		{"less memory set", set, 6 * gib, 10 * gib, 4 * gib},
		{"more memory set than reported", set, 20 * gib, 10 * gib, 8 * gib},
		{"slots larger than the memory", set, 0, gib, 0},
	} {
		c := NewCore(simIdentity("i1", true), Limits{}, nil)
		c.id.MemoryBytes = test.setting
		c.report.MemoryBytes = test.report
		c.config = test.set
		if got := c.capacity(); got != test.want {
			t.Errorf("%s: capacity %d, want %d", test.name, got, test.want)
		}
	}
}
