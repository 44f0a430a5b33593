package entry

import (
	"context"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/stream"
	"trefoilferry.example/ferry/pkg/timeline"
)

// peerRole is the process role in Status responses.
const peerRole = "entry"

// Peer serves the Twirp calls of other processes and of the operators' client.
type Peer struct {
	settings    *Settings
	incarnation string
	snapshots   *Snapshots
	followers   map[string]*stream.Follower
	watchServer *stream.WatchServer
	reporter    Reporter
	ring        *timeline.Ring
	clock       clock.Clock
}

var _ ferrypb.Peer = (*Peer)(nil)

// ReadStream returns records of a followed stream from memory. Other streams fail with code NotFound.
func (p *Peer) ReadStream(_ context.Context, r *ferrypb.ReadStreamRequest) (*ferrypb.ReadStreamResponse, error) {
	p.ring.Observe(r.GetLamport())
	p.reporter.ObserveConfigOffset(r.GetConfigOffset())
	follower, ok := p.followers[r.GetStream()]
	if !ok {
		return nil, failure.New(failure.NotFound, failure.NotRun, "this process does not follow the stream")
	}
	response := follower.ReadStream(r)
	response.ConfigOffset = p.snapshots.Load().ConfigOffset
	response.Lamport = p.ring.Tick()
	return response, nil
}

// Watch waits until a stream or the host list has changed.
func (p *Peer) Watch(ctx context.Context, r *ferrypb.WatchRequest) (*ferrypb.WatchResponse, error) {
	p.ring.Observe(r.GetLamport())
	p.reporter.ObserveConfigOffset(r.GetConfigOffset())
	response := p.watchServer.Watch(ctx, r)
	response.ConfigOffset = p.snapshots.Load().ConfigOffset
	response.Lamport = p.ring.Tick()
	return response, nil
}

// Status reports identity, readiness and the offsets of the configuration and placement in use. ConfigAgeMillis is -1
// while the age is unknown.
func (p *Peer) Status(context.Context, *ferrypb.StatusRequest) (*ferrypb.StatusResponse, error) {
	snapshot := p.snapshots.Load()
	host := p.settings.Host
	out := &ferrypb.StatusResponse{
		Process:         host.Name,
		Incarnation:     p.incarnation,
		Role:            peerRole,
		Address:         p.settings.Listen.Control,
		Region:          host.Region,
		FailureDomain:   host.FailureDomain,
		ConfigOffset:    snapshot.ConfigOffset,
		PlacementOffset: snapshot.PlacementOffset,
		Ready:           snapshot.Ready(),
		Leaving:         snapshot.Draining,
		ConfigAgeMillis: -1,
	}
	if f, ok := p.followers[streamConfig]; ok {
		if age := f.Age(p.clock.Now()); age >= 0 {
			out.ConfigAgeMillis = age.Milliseconds()
		}
	}
	return out, nil
}

// Timeline returns the recent events that match the request.
func (p *Peer) Timeline(_ context.Context, r *ferrypb.TimelineRequest) (*ferrypb.TimelineResponse, error) {
	filter := timeline.Filter{RequestID: r.GetRequestId(), Object: r.GetObject(), Host: r.GetHost()}
	return p.ring.Snapshot(filter, int(r.GetMax())), nil
}
