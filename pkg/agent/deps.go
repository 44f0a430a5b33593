package agent

import (
	"context"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/service"
)

// ServiceClient calls the plain service beside the agent.
type ServiceClient interface {
	// Do sends the call once. Failures are those of service.Client.
	Do(ctx context.Context, call service.Call) (*service.Response, error)
}

// Stream is the part of a stream's follower that the servers use.
type Stream interface {
	// ReadStream answers a peer from memory.
	ReadStream(req *ferrypb.ReadStreamRequest) *ferrypb.ReadStreamResponse
}
