package cluster

import (
	"context"
	"encoding/json"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
)

// ModelNames are the published names that callers may put into the model field of a request.
type ModelNames struct {
	Models   []string
	Adapters []string
}

// getOutput is the part of the output of "ferryctl get --json" that is used here.
type getOutput struct {
	Objects []struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
	} `json:"objects"`
}

// ModelNames returns the published models and adapters in name order.
func (c *Cluster) ModelNames(ctx context.Context) (ModelNames, error) {
	out, err := c.RunFerryctl(ctx, "get", "--json")
	if err != nil {
		return ModelNames{}, err
	}
	var output getOutput
	if err := json.Unmarshal([]byte(out), &output); err != nil {
		return ModelNames{}, failure.Wrap(failure.Internal, failure.Ran, "cannot decode the output of ferryctl get", err)
	}
	var names ModelNames
	for _, o := range output.Objects {
		switch o.Kind {
		case "model":
			names.Models = append(names.Models, o.Name)
		case "adapter":
			names.Adapters = append(names.Adapters, o.Name)
		}
	}
	return names, nil
}

// FirstModel returns the first published model; empty if there is none or the models cannot be read.
func (c *Cluster) FirstModel(ctx context.Context) string {
	names, err := c.ModelNames(ctx)
	if err != nil || len(names.Models) == 0 {
		return ""
	}
	return names.Models[0]
}

// CountReadyModels returns the number of published models that have a ready copy, and the number of all published models.
func (c *Cluster) CountReadyModels(ctx context.Context) (ready, published int, err error) {
	names, err := c.ModelNames(ctx)
	if err != nil {
		return 0, 0, err
	}
	copies, err := c.ReadyCopies(ctx)
	if err != nil {
		return 0, 0, err
	}
	for _, name := range names.Models {
		if copies[name] > 0 {
			ready++
		}
	}
	return ready, len(names.Models), nil
}

// readyState is the state of a loaded model in the status of its agent.
const readyState = "ready"

// ReadyCopies returns the number of ready copies of each model. A copy counts if its agent reports it as ready and its
// engine has it loaded: the report alone may be stale, since an agent notices with a delay that its engine was replaced.
// Agents and engines that do not respond count as having no copies.
func (c *Cluster) ReadyCopies(ctx context.Context) (map[string]int, error) {
	copies := map[string]int{}
	for _, r := range c.Runners {
		status, err := c.AgentStatus(ctx, r)
		if err != nil {
			continue
		}
		loaded := c.loadedModels(ctx, r)
		for _, m := range status.Models {
			if m.State == readyState && loaded[m.Model] {
				copies[m.Model]++
			}
		}
	}
	return copies, ctx.Err()
}

func (c *Cluster) loadedModels(ctx context.Context, r *Runner) map[string]bool {
	loaded := map[string]bool{}
	var report engine.LoadReport
	if r.Spec.Service != "" || c.ReadCounters(ctx, r.BackendURL, "/report", &report) != nil {
		return loaded
	}
	for _, m := range report.Models {
		loaded[m.Model] = true
	}
	return loaded
}

// AgentStatus requests the status of an agent, bypassing its fault proxy.
func (c *Cluster) AgentStatus(ctx context.Context, r *Runner) (*ferrypb.StatusResponse, error) {
	return c.peerStatus(ctx, r.agentAddress)
}

// EntryStatus requests the status of an entry host.
func (c *Cluster) EntryStatus(ctx context.Context, e *Entry) (*ferrypb.StatusResponse, error) {
	return c.peerStatus(ctx, e.ControlAddress)
}

func (c *Cluster) peerStatus(ctx context.Context, address string) (*ferrypb.StatusResponse, error) {
	peer := ferrypb.NewPeerProtobufClient("http://"+address, c.client)
	status, err := peer.Status(ctx, &ferrypb.StatusRequest{})
	if err != nil {
		return nil, failure.Wrap(failure.PeerUnavailable, failure.Unknown, address, err)
	}
	return status, nil
}

// Daemons returns the processes of all entry hosts and agents, in that order.
func (c *Cluster) Daemons() []*Process {
	var out []*Process
	for _, e := range c.Entries {
		out = append(out, e.Process)
	}
	for _, r := range c.Runners {
		out = append(out, r.Agent)
	}
	return out
}
