package entry

import (
	"context"
	"net/http"
	"sync"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// TwirpAgents makes the unary calls over twirp. It is safe for concurrent use.
type TwirpAgents struct {
	client  *http.Client
	mu      sync.Mutex
	clients map[string]ferrypb.Agent
}

// NewTwirpAgents returns a caller over client.
func NewTwirpAgents(client *http.Client) *TwirpAgents {
	return &TwirpAgents{client: client, clients: map[string]ferrypb.Agent{}}
}

// Probe implements Agents. Errors are failures with code PeerUnavailable.
func (t *TwirpAgents) Probe(ctx context.Context, address string, p *ferrypb.ProbeRequest) (*ferrypb.ProbeResponse, error) {
	response, err := t.agent(address).Probe(ctx, p)
	return response, unreachable(err)
}

// Hint implements Agents. Errors are failures with code PeerUnavailable.
func (t *TwirpAgents) Hint(ctx context.Context, address string, h *ferrypb.HintRequest) (*ferrypb.HintResponse, error) {
	response, err := t.agent(address).Hint(ctx, h)
	return response, unreachable(err)
}

func (t *TwirpAgents) agent(address string) ferrypb.Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.clients[address]
	if !ok {
		a = ferrypb.NewAgentProtobufClient("http://"+address, t.client)
		t.clients[address] = a
	}
	return a
}

func unreachable(err error) error {
	if err == nil {
		return nil
	}
	return failure.Wrap(failure.PeerUnavailable, failure.NotRun, "agent did not answer", err)
}
