package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/stream"
	"trefoilferry.example/ferry/pkg/timeline"
)

// roleRunner is the role of agents in status answers.
const roleRunner = "runner"

// PeerServer serves the twirp service Peer.
type PeerServer struct {
	View *atomic.Pointer[View]
	Gate *Gate
	Ring *timeline.Ring
	// Streams holds the followed streams by name.
	Streams map[string]Stream
	// Watched answers held calls for the streams of the relay tree.
	Watched *stream.WatchServer
	// ConfigAge returns the time since the configuration was known to equal the log; negative if it never was.
	ConfigAge func() time.Duration
	// Behind is called when a message shows that the agent's configuration is out of date.
	Behind func(offset uint64)
}

var _ ferrypb.Peer = (*PeerServer)(nil)

// ReadStream returns records of a followed stream from memory.
func (s *PeerServer) ReadStream(_ context.Context, in *ferrypb.ReadStreamRequest) (*ferrypb.ReadStreamResponse, error) {
	s.Ring.Observe(in.GetLamport())
	followed, ok := s.Streams[in.GetStream()]
	if !ok {
		return nil, twirp.NotFoundError("stream is not followed here")
	}
	offset := s.View.Load().ConfigOffset()
	if in.GetConfigOffset() > offset {
		s.Behind(in.GetConfigOffset())
	}
	out := followed.ReadStream(in)
	out.ConfigOffset = offset
	out.Lamport = s.Ring.Tick()
	return out, nil
}

// Watch waits for something new in the streams of the relay tree or in the host list.
func (s *PeerServer) Watch(ctx context.Context, in *ferrypb.WatchRequest) (*ferrypb.WatchResponse, error) {
	s.Ring.Observe(in.GetLamport())
	if in.GetConfigOffset() > s.View.Load().ConfigOffset() {
		s.Behind(in.GetConfigOffset())
	}
	out := s.Watched.Watch(ctx, in)
	out.ConfigOffset = s.View.Load().ConfigOffset()
	out.Lamport = s.Ring.Tick()
	return out, nil
}

// Status reports what is in force.
func (s *PeerServer) Status(context.Context, *ferrypb.StatusRequest) (*ferrypb.StatusResponse, error) {
	v := s.View.Load()
	waiting, running := s.Gate.Load()
	age := int64(-1)
	if d := s.ConfigAge(); d >= 0 {
		age = d.Milliseconds()
	}
	return &ferrypb.StatusResponse{
		Process:         v.Identity.Runner,
		Incarnation:     v.Identity.Incarnation,
		Role:            roleRunner,
		Address:         v.Identity.Address,
		Region:          v.Identity.Region,
		FailureDomain:   v.Identity.FailureDomain,
		ConfigOffset:    v.ConfigOffset(),
		ConfigAgeMillis: age,
		PlacementOffset: v.PlacementOffset,
		Ready:           v.Ready,
		Leaving:         v.Leaving,
		Fencing:         v.Fencing,
		Models:          v.Copies,
		MemoryBytes:     v.MemoryBytes,
		CommittedBytes:  v.CommittedBytes,
		HeldBytes:       v.HeldBytes,
		Running:         uint32(running),
		Queued:          uint32(waiting),
	}, nil
}

// Timeline returns the matching events of the ring.
func (s *PeerServer) Timeline(_ context.Context, in *ferrypb.TimelineRequest) (*ferrypb.TimelineResponse, error) {
	filter := timeline.Filter{RequestID: in.GetRequestId(), Object: in.GetObject(), Host: in.GetHost()}
	return s.Ring.Snapshot(filter, int(in.GetMax())), nil
}
