package entry

import (
	"context"
	"net/http"
	"sync"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// TwirpAgentClient implements Agents over Twirp. It is safe for concurrent use.
type TwirpAgentClient struct {
	client *http.Client
	mu     sync.Mutex
	// clients holds one Twirp client per agent address.
	clients map[string]ferrypb.Agent
}

// NewTwirpAgentClient returns Agents whose calls use the HTTP client.
func NewTwirpAgentClient(client *http.Client) *TwirpAgentClient {
	return &TwirpAgentClient{client: client, clients: map[string]ferrypb.Agent{}}
}

// Probe implements Agents. Its errors are failures with code PeerUnavailable and outcome NotRun.
func (t *TwirpAgentClient) Probe(ctx context.Context, address string, p *ferrypb.ProbeRequest) (*ferrypb.ProbeResponse, error) {
	response, err := t.agent(address).Probe(ctx, p)
	return response, agentError(err)
}

// Hint implements Agents. Its errors are failures with code PeerUnavailable and outcome NotRun.
func (t *TwirpAgentClient) Hint(ctx context.Context, address string, h *ferrypb.HintRequest) (*ferrypb.HintResponse, error) {
	response, err := t.agent(address).Hint(ctx, h)
	return response, agentError(err)
}

func (t *TwirpAgentClient) agent(address string) ferrypb.Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.clients[address]
	if !ok {
		a = ferrypb.NewAgentProtobufClient("http://"+address, t.client)
		t.clients[address] = a
	}
	return a
}

func agentError(err error) error {
	if err == nil {
		return nil
	}
	return failure.Wrap(failure.PeerUnavailable, failure.NotRun, "call to the agent failed", err)
}
