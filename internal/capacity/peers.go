package capacity

import (
	"context"

	"github.com/twitchtv/twirp"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/stream"
)

// peers implements the control API on behalf of every host except the measured one.
type peers struct {
	streams     map[string]*stream.Follower
	watchServer *stream.WatchServer
}

// Probe accepts every request.
func (p *peers) Probe(context.Context, *ferrypb.ProbeRequest) (*ferrypb.ProbeResponse, error) {
	return &ferrypb.ProbeResponse{Accepts: true, FirstTokenMicros: 50_000, BetweenTokensMicros: 25_000, Incarnation: "incarnation"}, nil
}

// Hint accepts a hint and ignores it.
func (p *peers) Hint(context.Context, *ferrypb.HintRequest) (*ferrypb.HintResponse, error) {
	return &ferrypb.HintResponse{}, nil
}

// Ping reports the agent as alive.
func (p *peers) Ping(context.Context, *ferrypb.PingRequest) (*ferrypb.PingResponse, error) {
	return &ferrypb.PingResponse{Incarnation: "incarnation"}, nil
}

// ReadStream serves records as a relay does.
func (p *peers) ReadStream(_ context.Context, r *ferrypb.ReadStreamRequest) (*ferrypb.ReadStreamResponse, error) {
	f, ok := p.streams[r.Stream]
	if !ok {
		return nil, twirp.NotFoundError("unknown stream")
	}
	return f.ReadStream(r), nil
}

// Watch serves long polls as a parent in the relay tree does.
func (p *peers) Watch(ctx context.Context, r *ferrypb.WatchRequest) (*ferrypb.WatchResponse, error) {
	return p.watchServer.Watch(ctx, r), nil
}

// Status reports the daemon as ready and nothing else.
func (p *peers) Status(context.Context, *ferrypb.StatusRequest) (*ferrypb.StatusResponse, error) {
	return &ferrypb.StatusResponse{Ready: true}, nil
}

// Timeline returns an empty timeline.
func (p *peers) Timeline(context.Context, *ferrypb.TimelineRequest) (*ferrypb.TimelineResponse, error) {
	return &ferrypb.TimelineResponse{}, nil
}
