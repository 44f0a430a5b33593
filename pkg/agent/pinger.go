package agent

import (
	"context"
	"net/http"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/timeline"
)

// twirpPinger is a Pinger that uses the twirp service Agent.
type twirpPinger struct {
	client       *http.Client
	ring         *timeline.Ring
	configOffset func() uint64
}

// Ping fails with code PeerUnavailable if the agent does not answer.
func (p *twirpPinger) Ping(ctx context.Context, address string) error {
	client := ferrypb.NewAgentProtobufClient("http://"+address, p.client)
	response, err := client.Ping(ctx, &ferrypb.PingRequest{ConfigOffset: p.configOffset(), Lamport: p.ring.Tick()})
	if err != nil {
		return failure.Wrap(failure.PeerUnavailable, failure.NotRun, "agent at "+address+" did not answer", err)
	}
	p.ring.Observe(response.GetLamport())
	return nil
}
