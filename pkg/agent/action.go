package agent

import (
	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/timeline"
)

// Action is an output of the core, to be carried out by Effects.
type Action interface {
	action()
}

// AppendRecord appends a placement record to the log. AppendDone with the same Ref reports the result.
type AppendRecord struct {
	Ref    uint64
	Record *ferrypb.PlacementRecord
}

// SendOrder sends an order to the engine. OrderDone reports the result.
type SendOrder struct{ Order engine.Order }

// SendPing pings the agent of another runner. PingDone reports the result.
type SendPing struct {
	Runner  string
	Address string
}

// CloseTarget refuses new requests for a target, which is one version of a model.
type CloseTarget struct{ Target string }

// OpenTarget accepts requests for a target again.
type OpenTarget struct{ Target string }

// SetRefusal makes the agent refuse all new requests with Failure, or accept requests again if Failure is nil.
type SetRefusal struct{ Failure *failure.Failure }

// ResolveAdapter wakes a request that waits for its adapter: a nil Err means that the adapter is resident and pinned.
type ResolveAdapter struct {
	Request string
	Err     *failure.Failure
}

// PublishView replaces the view that the request goroutines read.
type PublishView struct{ View *View }

// WriteLog writes a log event.
type WriteLog struct {
	Event  eventlog.Event
	Fields []any
}

// AddTimeline adds an event to the timeline.
type AddTimeline struct{ Event timeline.Event }

// Drained reports that the last request has finished after StopRequested.
type Drained struct{}

func (AppendRecord) action()   {}
func (SendOrder) action()      {}
func (SendPing) action()       {}
func (CloseTarget) action()    {}
func (OpenTarget) action()     {}
func (SetRefusal) action()     {}
func (ResolveAdapter) action() {}
func (PublishView) action()    {}
func (WriteLog) action()       {}
func (AddTimeline) action()    {}
func (Drained) action()        {}
