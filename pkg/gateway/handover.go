package gateway

// handover decides which of two servers has a request while it moves from a silent one to another. The silent server keeps
// the request until the other one has begun to serve it, because that one may refuse it. Both may have it only for a short
// time. An offer that is not answered within that time is withdrawn, unless the first server is presumed dead. It reads no
// clock and does no I/O.
type handover struct {
	// offered is set while the other server has been asked and has not answered.
	offered bool
	// spoke is set if the first server has gone on with the response since the offer. What it sends waits until it is known
	// who has the request.
	spoke bool
	// moved is set once the other server has the request.
	moved bool
}

// handoverStep is what follows from an event of a handover.
type handoverStep string

const (
	// handoverNone means that nothing changes.
	handoverNone handoverStep = "none"
	// handoverMove means that the other server has the request from now on, and the first one loses it.
	handoverMove handoverStep = "move"
	// handoverStay means that the first server keeps the request, which the other one did not take.
	handoverStay handoverStep = "stay"
	// handoverWithdraw means that the first server keeps the request, and the other one, which has not answered, loses it.
	handoverWithdraw handoverStep = "withdraw"
)

// offer begins a handover.
func (h *handover) offer() { h.offered, h.spoke = true, false }

// answer records that the other server has begun to serve the request, or that it will not.
func (h *handover) answer(accepted bool) handoverStep {
	switch {
	case !h.offered:
		return handoverNone
	case accepted:
		return h.settle(handoverMove)
	default:
		return h.settle(handoverStay)
	}
}

// expire records that both servers have had the request for as long as they may. The other one may have queued it, be silent
// as well, or still refuse it. firstDead is set if the first server is presumed dead by the length of its silence.
func (h *handover) expire(firstDead bool) handoverStep {
	switch {
	case !h.offered:
		return handoverNone
	case firstDead && !h.spoke:
		return h.settle(handoverMove)
	default:
		return h.settle(handoverWithdraw)
	}
}

// end records the end of the attempt at the first server. If that has failed, only the other one has the request.
func (h *handover) end(served bool) handoverStep {
	switch {
	case h.offered && served:
		return h.settle(handoverWithdraw)
	case h.offered:
		return h.settle(handoverMove)
	default:
		return handoverNone
	}
}

func (h *handover) settle(step handoverStep) handoverStep {
	h.offered, h.moved = false, step == handoverMove
	return step
}
