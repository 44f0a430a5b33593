package entry

import (
	"context"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/stream"
	"trefoilferry.example/ferry/pkg/timeline"
)

// observedPeers takes Lamport times and configuration offsets from the answers of peers.
type observedPeers struct {
	peers    stream.TwirpPeers
	ring     *timeline.Ring
	reporter Reporter
}

// ReadStream implements stream.PeerReader.
func (o observedPeers) ReadStream(ctx context.Context, address string, r *ferrypb.ReadStreamRequest) (*ferrypb.ReadStreamResponse, error) {
	response, err := o.peers.ReadStream(ctx, address, r)
	if err != nil {
		return nil, err
	}
	o.ring.Observe(response.GetLamport())
	o.reporter.Observed(response.GetConfigOffset())
	return response, nil
}

// Watch implements stream.PeerWatcher.
func (o observedPeers) Watch(ctx context.Context, address string, r *ferrypb.WatchRequest) (*ferrypb.WatchResponse, error) {
	response, err := o.peers.Watch(ctx, address, r)
	if err != nil {
		return nil, err
	}
	o.ring.Observe(response.GetLamport())
	o.reporter.Observed(response.GetConfigOffset())
	return response, nil
}
