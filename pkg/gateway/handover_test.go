package gateway

import "testing"

// Load pattern: a server with many streams falls silent for a second or so while the others are full, or answer late. Guards
// against streams that nobody has, and against streams that two servers have.
func TestHandoverSettlesWhoHasARequest(t *testing.T) {
	offered, spoke, idle, moved := handover{offered: true}, handover{offered: true, spoke: true}, handover{}, handover{moved: true}
	accept := func(h *handover) handoverStep { return h.answer(true) }
	decline := func(h *handover) handoverStep { return h.answer(false) }
	served := func(h *handover) handoverStep { return h.end(true) }
	broke := func(h *handover) handoverStep { return h.end(false) }
	expire := func(h *handover) handoverStep { return h.expire(false) }
	expireDead := func(h *handover) handoverStep { return h.expire(true) }
	for name, c := range map[string]struct {
		from handover
		what func(*handover) handoverStep
		want handoverStep
	}{
		"the other server accepts":                            {offered, accept, handoverMove},
		"the other server accepts, the first one goes on":     {spoke, accept, handoverMove},
		"the other server declines":                           {offered, decline, handoverStay},
		"no answer in time":                                   {offered, expire, handoverWithdraw},
		"no answer in time, the first server goes on":         {spoke, expire, handoverWithdraw},
		"no answer in time, the first server is dead":         {offered, expireDead, handoverMove},
		"no answer in time, the first server only seemed so":  {spoke, expireDead, handoverWithdraw},
		"the first server ends the response":                  {offered, served, handoverWithdraw},
		"the first server breaks off":                         {offered, broke, handoverMove},
		"an answer after the request has moved":               {moved, decline, handoverNone},
		"an answer after the offer was withdrawn":             {idle, accept, handoverNone},
		"the time for an answer ends after it":                {moved, expireDead, handoverNone},
		"the time for an answer ends after a withdrawal":      {idle, expireDead, handoverNone},
		"the first server is cut off after the request moved": {moved, broke, handoverNone},
		"the end without an offer":                            {idle, served, handoverNone},
	} {
		h := c.from
		if got := c.what(&h); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
		if h.offered {
			t.Errorf("%s: the offer is still open", name)
		}
		if wantMoved := c.want == handoverMove || (c.want == handoverNone && c.from.moved); h.moved != wantMoved {
			t.Errorf("%s: moved %v, want %v", name, h.moved, wantMoved)
		}
	}
}
