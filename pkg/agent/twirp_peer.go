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

// roleRunner is the role of agents in status responses.
const roleRunner = "runner"

// PeerServer serves the twirp service Peer.
type PeerServer struct {
	View      *atomic.Pointer[View]
	Admission *AdmissionQueue
	Ring      *timeline.Ring
	// Streams holds the streams that peers may read, by name.
	Streams map[string]Stream
	// WatchServer serves the long-polling Watch calls for the streams of the relay tree.
	WatchServer *stream.WatchServer
	// ConfigAge returns the time since the configuration was last known to be up to date with the log; negative if it
	// never was.
	ConfigAge func() time.Duration
	// RefreshConfig is called with the config offset of a message that exceeds the agent's own.
	RefreshConfig func(offset uint64)
}

var _ ferrypb.Peer = (*PeerServer)(nil)

// ReadStream returns records of a followed stream from memory. For other streams it fails with twirp code not_found.
func (s *PeerServer) ReadStream(_ context.Context, in *ferrypb.ReadStreamRequest) (*ferrypb.ReadStreamResponse, error) {
	s.Ring.Observe(in.GetLamport())
	followed, ok := s.Streams[in.GetStream()]
	if !ok {
		return nil, twirp.NotFoundError("this agent does not follow stream " + in.GetStream())
	}
	offset := s.View.Load().ConfigOffset()
	if in.GetConfigOffset() > offset {
		s.RefreshConfig(in.GetConfigOffset())
	}
	out := followed.ReadStream(in)
	out.ConfigOffset = offset
	out.Lamport = s.Ring.Tick()
	return out, nil
}

// Watch waits until there are new records in the streams of the relay tree or the host list has changed.
func (s *PeerServer) Watch(ctx context.Context, in *ferrypb.WatchRequest) (*ferrypb.WatchResponse, error) {
	s.Ring.Observe(in.GetLamport())
	if in.GetConfigOffset() > s.View.Load().ConfigOffset() {
		s.RefreshConfig(in.GetConfigOffset())
	}
	out := s.WatchServer.Watch(ctx, in)
	out.ConfigOffset = s.View.Load().ConfigOffset()
	out.Lamport = s.Ring.Tick()
	return out, nil
}

// Status returns the state of the agent and its copies.
func (s *PeerServer) Status(context.Context, *ferrypb.StatusRequest) (*ferrypb.StatusResponse, error) {
	v := s.View.Load()
	waiting, running := s.Admission.Load()
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
		Models:          v.CopyStatuses,
		MemoryBytes:     v.MemoryBytes,
		CommittedBytes:  v.CommittedBytes,
		HeldBytes:       v.HeldBytes,
		Running:         uint32(running),
		Queued:          uint32(waiting),
	}, nil
}

// Timeline returns the timeline events that match the filter.
func (s *PeerServer) Timeline(_ context.Context, in *ferrypb.TimelineRequest) (*ferrypb.TimelineResponse, error) {
	filter := timeline.Filter{RequestID: in.GetRequestId(), Object: in.GetObject(), Host: in.GetHost()}
	return s.Ring.Snapshot(filter, int(in.GetMax())), nil
}
