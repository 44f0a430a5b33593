package agent

import (
	"context"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/service"
)

// ServiceClient calls the service beside the agent.
type ServiceClient interface {
	// Do sends the call once, without retries. It fails as service.Client.Do does.
	Do(ctx context.Context, call service.Call) (*service.Response, error)
}

// Stream is the part of stream.Follower that PeerServer uses.
type Stream interface {
	// ReadStream returns records from memory.
	ReadStream(req *ferrypb.ReadStreamRequest) *ferrypb.ReadStreamResponse
}
