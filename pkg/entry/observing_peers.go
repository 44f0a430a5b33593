package entry

import (
	"context"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/stream"
	"trefoilferry.example/ferry/pkg/timeline"
)

// observingPeers calls peers, and records the Lamport times and configuration offsets of their responses.
type observingPeers struct {
	peers    stream.TwirpPeerClient
	ring     *timeline.Ring
	reporter Reporter
}

// ReadStream implements stream.PeerReader.
func (o observingPeers) ReadStream(ctx context.Context, address string, r *ferrypb.ReadStreamRequest) (*ferrypb.ReadStreamResponse, error) {
	response, err := o.peers.ReadStream(ctx, address, r)
	if err != nil {
		return nil, err
	}
	o.ring.Observe(response.GetLamport())
	o.reporter.ObserveConfigOffset(response.GetConfigOffset())
	return response, nil
}

// Watch implements stream.PeerWatcher.
func (o observingPeers) Watch(ctx context.Context, address string, r *ferrypb.WatchRequest) (*ferrypb.WatchResponse, error) {
	response, err := o.peers.Watch(ctx, address, r)
	if err != nil {
		return nil, err
	}
	o.ring.Observe(response.GetLamport())
	o.reporter.ObserveConfigOffset(response.GetConfigOffset())
	return response, nil
}
