package stream

import (
	"context"
	"net/http"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// PeerReader reads a stream from the memory of another daemon.
type PeerReader interface {
	// ReadStream calls Peer.ReadStream at address (IP:port). Errors are failures with code PeerUnavailable.
	ReadStream(ctx context.Context, address string, req *ferrypb.ReadStreamRequest) (*ferrypb.ReadStreamResponse, error)
}

// TwirpPeerClient implements PeerReader and PeerWatcher with twirp.
type TwirpPeerClient struct {
	// Client sends the calls; its timeout applies to them.
	Client *http.Client
}

// ReadStream implements PeerReader.
func (t TwirpPeerClient) ReadStream(ctx context.Context, address string, req *ferrypb.ReadStreamRequest) (*ferrypb.ReadStreamResponse, error) {
	res, err := ferrypb.NewPeerProtobufClient("http://"+address, t.Client).ReadStream(ctx, req)
	if err != nil {
		return nil, failure.Wrap(failure.PeerUnavailable, failure.NotRun, "peer "+address+" did not answer", err)
	}
	return res, nil
}

// Watch implements PeerWatcher.
func (t TwirpPeerClient) Watch(ctx context.Context, address string, req *ferrypb.WatchRequest) (*ferrypb.WatchResponse, error) {
	res, err := ferrypb.NewPeerProtobufClient("http://"+address, t.Client).Watch(ctx, req)
	if err != nil {
		return nil, failure.Wrap(failure.PeerUnavailable, failure.NotRun, "peer "+address+" did not answer", err)
	}
	return res, nil
}
