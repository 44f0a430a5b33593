package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/infra"
)

// stateReady is the state of a copy that serves requests.
const stateReady = "ready"

// PlacementsResult lists the runners and the copies of models on them.
type PlacementsResult struct {
	Models  []ModelView  `json:"models"`
	Runners []RunnerView `json:"runners"`
	// Unreachable names the hosts that did not respond; the result lacks their copies.
	Unreachable []string `json:"unreachable"`
}

// ModelView lists the copies of one model.
type ModelView struct {
	Model  string     `json:"model"`
	Copies []CopyView `json:"copies"`
}

// CopyView is one copy of a model on a runner.
type CopyView struct {
	Runner        string   `json:"runner"`
	FailureDomain string   `json:"failure_domain"`
	Version       string   `json:"version"`
	State         string   `json:"state"`
	Adapters      []string `json:"adapters"`
}

// RunnerView is the accelerator memory of one runner, in bytes.
type RunnerView struct {
	Runner         string `json:"runner"`
	MemoryBytes    uint64 `json:"memory_bytes"`
	CommittedBytes uint64 `json:"committed_bytes"`
	// HeldBytes is the part of CommittedBytes that is reserved for model orders with an unknown result.
	HeldBytes uint64 `json:"held_bytes"`
}

// Text returns a table of copies, a table of runners and a summary line.
func (r *PlacementsResult) Text() string {
	type line struct {
		model string
		copy  CopyView
	}
	var lines []line
	ready := 0
	for _, m := range r.Models {
		if slices.ContainsFunc(m.Copies, func(c CopyView) bool { return c.State == stateReady }) {
			ready++
		}
		for _, c := range m.Copies {
			lines = append(lines, line{m.Model, c})
		}
	}
	text := table("MODEL\tVERSION\tRUNNER\tDOMAIN\tSTATE\tADAPTERS", len(lines), func(w *tabwriter.Writer, i int) {
		c := lines[i].copy
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", lines[i].model, c.Version, c.Runner, c.FailureDomain, c.State, strings.Join(c.Adapters, " "))
	})
	text += "\n" + table("RUNNER\tMEMORY\tCOMMITTED\tHELD", len(r.Runners), func(w *tabwriter.Writer, i int) {
		v := r.Runners[i]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", v.Runner, gibibytes(v.MemoryBytes), gibibytes(v.CommittedBytes), gibibytes(v.HeldBytes))
	})
	return text + fmt.Sprintf("%d of %d models have a ready copy, %d hosts unreachable\n", ready, len(r.Models), len(r.Unreachable))
}

func gibibytes(bytes uint64) string {
	return fmt.Sprintf("%.1fGiB", float64(bytes)/(1<<30))
}

// Placements queries the loaded models and the memory of every daemon. If the log is available, it also lists published
// models without a copy. Failures: HostListUnavailable, or PeerUnavailable if no daemon responds.
func (c *Client) Placements(ctx context.Context) (*PlacementsResult, error) {
	hosts, err := c.peerHosts(ctx)
	if err != nil {
		return nil, err
	}
	responses, errs := callAll(ctx, c, hosts, func(ctx context.Context, peer ferrypb.Peer) (*ferrypb.StatusResponse, error) {
		return peer.Status(ctx, &ferrypb.StatusRequest{})
	})
	if err := failIfNoneSucceeded(errs); err != nil {
		return nil, err
	}
	return c.buildPlacements(ctx, hosts, responses, errs), nil
}

func (c *Client) buildPlacements(ctx context.Context, hosts []infra.Host, responses []*ferrypb.StatusResponse, errs []error) *PlacementsResult {
	result := &PlacementsResult{Models: []ModelView{}, Runners: []RunnerView{}, Unreachable: []string{}}
	copiesByModel := c.publishedWithoutCopies(ctx)
	for i, host := range hosts {
		if errs[i] != nil {
			result.Unreachable = append(result.Unreachable, host.Name)
			continue
		}
		result.addRunner(host, responses[i], copiesByModel)
	}
	for name, list := range copiesByModel {
		result.Models = append(result.Models, ModelView{Model: name, Copies: list})
	}
	slices.SortFunc(result.Models, func(a, b ModelView) int { return cmp.Compare(a.Model, b.Model) })
	slices.SortFunc(result.Runners, func(a, b RunnerView) int { return cmp.Compare(a.Runner, b.Runner) })
	return result
}

// publishedWithoutCopies returns a map with an empty list of copies for each published model; the map
// is empty if the log is unavailable.
func (c *Client) publishedWithoutCopies(ctx context.Context) map[string][]CopyView {
	copiesByModel := map[string][]CopyView{}
	if c.Log == nil {
		return copiesByModel
	}
	p, err := c.syncedPublisher(ctx)
	if err != nil {
		return copiesByModel
	}
	for _, m := range p.Fold().Set().Models() {
		copiesByModel[m.Name] = []CopyView{}
	}
	return copiesByModel
}

func (r *PlacementsResult) addRunner(host infra.Host, s *ferrypb.StatusResponse, copiesByModel map[string][]CopyView) {
	if s.GetMemoryBytes() == 0 {
		return
	}
	r.Runners = append(r.Runners, RunnerView{
		Runner: host.Name, MemoryBytes: s.GetMemoryBytes(), CommittedBytes: s.GetCommittedBytes(), HeldBytes: s.GetHeldBytes(),
	})
	for _, m := range s.GetModels() {
		copiesByModel[m.GetModel()] = append(copiesByModel[m.GetModel()], CopyView{
			Runner: host.Name, FailureDomain: host.FailureDomain, Version: m.GetVersion(),
			State: m.GetState(), Adapters: append([]string{}, m.GetAdapters()...),
		})
	}
}
