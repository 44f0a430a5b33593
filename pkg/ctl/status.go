package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/infra"
)

// StatusResult holds the configuration state of every process.
type StatusResult struct {
	// WantedOffset is the offset of the last accepted change. During an outage of the log it is the largest offset of any
	// process.
	WantedOffset uint64 `json:"wanted_offset"`
	// LogAvailable reports whether WantedOffset was read from the log.
	LogAvailable bool          `json:"log_available"`
	Processes    []ProcessView `json:"processes"`
	// Behind names the processes that have not applied WantedOffset.
	Behind []string `json:"behind"`
	// Unreachable names the hosts that did not respond.
	Unreachable []string `json:"unreachable"`
}

// ProcessView is the JSON form of the state of one process.
type ProcessView struct {
	Process       string `json:"process"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	ConfigOffset  uint64 `json:"config_offset"`
	// ConfigAgeMillis is the time since the last successful read of the configuration stream.
	ConfigAgeMillis int64  `json:"config_age_millis"`
	PlacementOffset uint64 `json:"placement_offset"`
	Ready           bool   `json:"ready"`
	Leaving         bool   `json:"leaving"`
	Behind          bool   `json:"behind"`
	// HostState is the state in the host list; empty if the list was not read.
	HostState string `json:"host_state,omitempty"`
	// Error is the failure of the Status call; empty if the host responded.
	Error string `json:"error,omitempty"`
}

// Text returns a table with one line per process and a summary line.
func (r *StatusResult) Text() string {
	text := table("PROCESS\tROLE\tREGION\tDOMAIN\tCONFIG\tPLACEMENT\tAGE\tSTATE", len(r.Processes), func(w *tabwriter.Writer, i int) {
		p := r.Processes[i]
		age := time.Duration(p.ConfigAgeMillis) * time.Millisecond
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", p.Process, p.Role, p.Region, p.FailureDomain, p.ConfigOffset, p.PlacementOffset, age, p.state())
	})
	source := "log"
	if !r.LogAvailable {
		source = "processes; log unavailable"
	}
	return text + fmt.Sprintf("offset %d from %s: %d of %d in force, %d behind, %d unreachable\n", r.WantedOffset, source,
		len(r.Processes)-len(r.Behind)-len(r.Unreachable), len(r.Processes), len(r.Behind), len(r.Unreachable))
}

func (p ProcessView) state() string {
	if p.Error != "" {
		return "unreachable"
	}
	state := "not ready"
	if p.Ready {
		state = "ready"
	}
	if p.Leaving {
		state = "leaving"
	}
	if p.Behind {
		state += ", behind"
	}
	return state
}

// Status queries every daemon for the configuration that it has applied.
// Failures: HostListUnavailable, or PeerUnavailable if no daemon responds. An unavailable log is not a failure.
func (c *Client) Status(ctx context.Context) (*StatusResult, error) {
	hosts, err := c.peerHosts(ctx)
	if err != nil {
		return nil, err
	}
	wanted, logAvailable := c.lastChangeOffset(ctx)
	responses, errs := callAll(ctx, c, hosts, func(ctx context.Context, peer ferrypb.Peer) (*ferrypb.StatusResponse, error) {
		return peer.Status(ctx, &ferrypb.StatusRequest{})
	})
	if err := failIfNoneSucceeded(errs); err != nil {
		return nil, err
	}
	result := &StatusResult{WantedOffset: wanted, LogAvailable: logAvailable, Behind: []string{}, Unreachable: []string{}}
	for i, host := range hosts {
		result.Processes = append(result.Processes, newProcessView(host, responses[i], errs[i]))
	}
	result.summarize()
	return result, nil
}

// lastChangeOffset returns the offset of the last accepted change; false if the log is unavailable or not configured.
func (c *Client) lastChangeOffset(ctx context.Context) (uint64, bool) {
	if c.Log == nil {
		return 0, false
	}
	p, err := c.syncedPublisher(ctx)
	if err != nil {
		return 0, false
	}
	return p.Fold().LastChange(), true
}

func newProcessView(host infra.Host, s *ferrypb.StatusResponse, err error) ProcessView {
	view := ProcessView{
		Process:       host.Name,
		Role:          string(host.Role),
		Address:       host.Address,
		Region:        host.Region,
		FailureDomain: host.FailureDomain,
		HostState:     string(host.State),
	}
	if err != nil {
		view.Error = err.Error()
		return view
	}
	view.Process = cmp.Or(s.GetProcess(), view.Process)
	view.Role = cmp.Or(s.GetRole(), view.Role)
	view.Region = cmp.Or(s.GetRegion(), view.Region)
	view.FailureDomain = cmp.Or(s.GetFailureDomain(), view.FailureDomain)
	view.ConfigOffset = s.GetConfigOffset()
	view.ConfigAgeMillis = s.GetConfigAgeMillis()
	view.PlacementOffset = s.GetPlacementOffset()
	view.Ready = s.GetReady()
	view.Leaving = s.GetLeaving()
	return view
}

// summarize sorts the processes and sets WantedOffset (without the log), Behind and Unreachable.
func (r *StatusResult) summarize() {
	slices.SortStableFunc(r.Processes, func(a, b ProcessView) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Process, b.Process))
	})
	if !r.LogAvailable {
		for _, p := range r.Processes {
			r.WantedOffset = max(r.WantedOffset, p.ConfigOffset)
		}
	}
	for i := range r.Processes {
		p := &r.Processes[i]
		p.Behind = p.Error == "" && p.ConfigOffset < r.WantedOffset
		if p.Behind {
			r.Behind = append(r.Behind, p.Process)
		}
		if p.Error != "" {
			r.Unreachable = append(r.Unreachable, p.Process)
		}
	}
}
