package ctl

import (
	"testing"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/infra"
)

// Guards against a list of placements that hides a published model without a copy, counts a loading copy as ready,
// or passes over hosts that do not answer.
func TestPlacements(t *testing.T) {
	b := newBench(t)
	b.want(ExitDone, "accepted at offset 1", "publish", b.file(twoModels))
	b.daemon("r1", &daemon{status: &ferrypb.StatusResponse{Process: "r1", MemoryBytes: 80 << 30, CommittedBytes: 8 << 30, Models: []*ferrypb.LoadedModel{
		{Model: "a", Version: "1", State: "ready"},
		{Model: "b", Version: "1", State: "loading"},
	}}})
	b.hosts = append(b.hosts, infra.Host{Name: "gone", Address: "127.0.0.1:1"})
	b.want(ExitDone, "1 of 2 models have a ready copy, 1 hosts unreachable", "placements")
	b.log.SetDown(true)
	b.want(ExitDone, `"state": "loading"`, "placements", "--json")
}
