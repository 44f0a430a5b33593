package agent

import (
	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/timeline"
)

// Action is an output of the core.
type Action interface {
	action()
}

// AppendRecord asks for a placement record to be appended; AppendDone answers it.
type AppendRecord struct {
	Ref    uint64
	Record *ferrypb.PlacementRecord
}

// SendOrder asks for an order to be sent to the engine; OrderDone answers it.
type SendOrder struct{ Order engine.Order }

// SendPing asks for another runner's agent to be pinged; PingDone answers it.
type SendPing struct {
	Runner  string
	Address string
}

// CloseTarget refuses new work for a model.
type CloseTarget struct{ Target string }

// OpenTarget accepts work for a model again.
type OpenTarget struct{ Target string }

// SetRefusal refuses all new work, or accepts it again with nil.
type SetRefusal struct{ Failure *failure.Failure }

// AnswerAdapter tells a request that its adapter is resident or cannot be loaded.
type AnswerAdapter struct {
	Request string
	Err     *failure.Failure
}

// PublishView replaces the view of the traffic goroutines.
type PublishView struct{ View *View }

// WriteLog writes a log event.
type WriteLog struct {
	Event  eventlog.Event
	Fields []any
}

// AddTimeline records an event in the timeline.
type AddTimeline struct{ Event timeline.Event }

// Stop tells that all work is finished after StopRequested.
type Stop struct{}

func (AppendRecord) action()  {}
func (SendOrder) action()     {}
func (SendPing) action()      {}
func (CloseTarget) action()   {}
func (OpenTarget) action()    {}
func (SetRefusal) action()    {}
func (AnswerAdapter) action() {}
func (PublishView) action()   {}
func (WriteLog) action()      {}
func (AddTimeline) action()   {}
func (Stop) action()          {}
