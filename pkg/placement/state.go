package placement

import "trefoilferry.example/ferry/api/ferrypb"

// State is the state of a copy.
type State int

const (
	// Claimed marks a copy whose load is planned or in progress.
	Claimed State = iota + 1
	// Ready marks a copy that serves requests.
	Ready
	// Released marks a copy that serves no more requests and whose memory is not free yet.
	Released
)

// String returns the name used in status output.
func (s State) String() string {
	switch s {
	case Claimed:
		return "claimed"
	case Ready:
		return "ready"
	case Released:
		return "released"
	default:
		return "unknown"
	}
}

func (s State) proto() ferrypb.CopyState {
	switch s {
	case Claimed:
		return ferrypb.CopyState_COPY_STATE_CLAIMED
	case Ready:
		return ferrypb.CopyState_COPY_STATE_READY
	case Released:
		return ferrypb.CopyState_COPY_STATE_RELEASED
	default:
		return ferrypb.CopyState_COPY_STATE_UNSPECIFIED
	}
}

func stateFromProto(s ferrypb.CopyState) State {
	switch s {
	case ferrypb.CopyState_COPY_STATE_CLAIMED:
		return Claimed
	case ferrypb.CopyState_COPY_STATE_READY:
		return Ready
	case ferrypb.CopyState_COPY_STATE_RELEASED:
		return Released
	default:
		return 0
	}
}
