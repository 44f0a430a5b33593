package agent

import (
	"testing"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/placement"
)

// Guards against copies that are unavailable after an agent restart during a log outage, and against an agent that serves
// under the incarnation of an agent at another address.
func TestRestartedAgentServesBeforeAnnouncement(t *testing.T) {
	for _, test := range []struct {
		name, address string
		known         bool
		fencing       uint64
		servedAs      string
		refused       bool
	}{
		{"same address", "127.0.0.1:1", true, 0, "former", false},
		{"another address", "127.0.0.1:2", true, 0, "i1", true},
		{"records not known", "127.0.0.1:1", false, 0, "i1", true},
		{"announced", "127.0.0.1:1", true, 1, "i1", false},
	} {
		fold := placement.NewFold()
		fold.Apply(1, &ferrypb.Envelope{Format: 1, Payload: &ferrypb.Envelope_Placement{Placement: &ferrypb.PlacementRecord{
			Record: &ferrypb.PlacementRecord_AgentStart{AgentStart: &ferrypb.AgentStart{
				Runner: "r1", Incarnation: "former", Address: test.address, MemoryBytes: gib}}}}})
		c := NewCore(simIdentity("i1", false), Limits{}, nil)
		c.placement = fold.Snapshot()
		c.configKnown, c.placementKnown, c.fencing = true, test.known, test.fencing
		if got := c.servingIncarnation(); got != test.servedAs {
			t.Errorf("%s: serving incarnation %s, want %s", test.name, got, test.servedAs)
		}
		refusal := c.currentRefusal()
		if refused := refusal != nil && refusal.Code == failure.NotReady; refused != test.refused {
			t.Errorf("%s: refusal %v, want refused %v", test.name, refusal, test.refused)
		}
	}
}
