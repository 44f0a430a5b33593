package ctl

import (
	"testing"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/infra"
)

// Guards against a list of placements that hides a published model without a copy, counts a loading copy as ready,
// or omits hosts that do not respond.
func TestPlacements(t *testing.T) {
	h := newHarness(t)
	h.expect(ExitSuccess, "accepted at offset 1", "publish", h.writeFile(twoModelsINI))
	h.addDaemon("r1", &fakeDaemon{status: &ferrypb.StatusResponse{Process: "r1", MemoryBytes: 80 << 30, CommittedBytes: 8 << 30, Models: []*ferrypb.LoadedModel{
		{Model: "a", Version: "1", State: "ready"},
		{Model: "b", Version: "1", State: "loading"},
	}}})
	h.hosts = append(h.hosts, infra.Host{Name: "gone", Address: "127.0.0.1:1"})
	h.expect(ExitSuccess, "1 of 2 models have a ready copy, 1 hosts unreachable", "placements")
	h.log.SetDown(true)
	h.expect(ExitSuccess, `"state": "loading"`, "placements", "--json")
}
