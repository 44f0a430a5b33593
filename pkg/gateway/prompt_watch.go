package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/quarantine"
)

// promptWatch follows one attempt to see whether the runner survives the prompt.
type promptWatch struct {
	board *quarantine.Board
	id    string
	parts []string
	// begun is set once the head of the response has arrived.
	begun   bool
	firstAt time.Time
	timer   *time.Timer
}

// recordFirstEvent records the first event of the stream.
func (p *promptWatch) recordFirstEvent(now time.Time) {
	p.firstAt = now
	p.timer = time.AfterFunc(survivedTime, func() { p.board.AddSound(p.parts, time.Now()) })
}

// pause keeps the time that the runner survives from counting any further, because its connection has ended.
func (p *promptWatch) pause() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

// end ends the attempt; survived is set if the runner has sent the whole response and goes on.
func (p *promptWatch) end(survived bool) {
	p.pause()
	if survived {
		p.board.AddSound(p.parts, time.Now())
	}
}

// suspect returns the request as a possible cause of a crash; nil if the runner had survived the prompt.
func (p *promptWatch) suspect(now time.Time) *quarantine.Suspect {
	if len(p.parts) == 0 || (!p.firstAt.IsZero() && now.Sub(p.firstAt) >= survivedTime) {
		return nil
	}
	return &quarantine.Suspect{RequestID: p.id, Parts: p.parts, Begun: p.begun}
}

// sharedParts returns the ids of the prompt parts that other requests may have as well: all but the last.
func sharedParts(m *RequestMeta) []string {
	if len(m.Prompt) < 2 {
		return nil
	}
	out := make([]string, 0, len(m.Prompt)-1)
	for _, part := range m.Prompt[:len(m.Prompt)-1] {
		out = append(out, part.ID)
	}
	return out
}
