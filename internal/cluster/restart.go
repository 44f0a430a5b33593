package cluster

import "context"

// StartAgent starts the agent of a runner again after it has exited, at the same addresses.
func (c *Cluster) StartAgent(ctx context.Context, r *Runner) error {
	return c.launch(ctx, r.Agent, r.agentAddress)
}

// StartBackend starts the engine or service of a runner again after it has exited. The engine starts with no model
// loaded.
func (c *Cluster) StartBackend(ctx context.Context, r *Runner) error {
	return c.launch(ctx, r.Backend, r.backendAddress)
}

// StartEntry starts an entry host again after it has exited, at the same addresses.
func (c *Cluster) StartEntry(ctx context.Context, e *Entry) error {
	return c.launch(ctx, e.Process, e.callersAddress)
}
