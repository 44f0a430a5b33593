package lease

import "time"

// Machine is the state of the lease at one daemon. It is not safe for concurrent use.
type Machine struct {
	self   Record
	timing Timing

	known      bool
	record     Record
	position   int64
	observedAt time.Duration
	// held is set between a successful write of this process and the loss of the lease.
	held       bool
	validUntil time.Duration
	activeFrom time.Duration
	heldFrom   time.Duration
	// confirmedAt is when the newest write that took effect was sent.
	confirmedAt time.Duration
	// alone is set when the previous holder has certainly ended its tenure.
	alone     bool
	renewedAt time.Duration
	// unclearFrom is when the first write was sent whose effect is not known; 0 for none.
	unclearFrom time.Duration
	stale       bool
	fencedOff   int64
}

// NewMachine returns the state of a daemon that knows nothing yet.
func NewMachine(name, address string, timing Timing) *Machine {
	return &Machine{self: Record{Holder: name, Address: address}, timing: timing}
}

// Step is what the daemon does next.
type Step string

const (
	// Wait means that nothing is due.
	Wait Step = "wait"
	// Read means that the stored record is read.
	Read Step = "read"
	// Write means that Proposal is written at Position.
	Write Step = "write"
)

// Next returns the next step. followed tells that the holder answered this daemon recently.
func (m *Machine) Next(now time.Duration, followed bool) Step {
	switch {
	case !m.known || m.stale:
		return Read
	case m.held:
		if now-m.renewedAt >= m.timing.Renew {
			return Write
		}
		return Wait
	case followed:
		// The record is not read while the holder answers, so its age says nothing.
		return Wait
	case m.mayTake(now):
		return Write
	default:
		return Read
	}
}

// mayTake reports whether the lease is free for this daemon. Its own record of an earlier process counts as free:
// that process has ended, because this one listens on its address.
func (m *Machine) mayTake(now time.Duration) bool {
	return m.record.Token == 0 || m.record.Holder == "" || m.record.Holder == m.self.Holder ||
		now-m.observedAt >= m.timing.TakeOver
}

// Position returns the position at which Proposal is to be written.
func (m *Machine) Position() int64 { return m.position }

// Proposal returns the record to be written.
func (m *Machine) Proposal() Record {
	rec := m.self
	rec.Token = m.record.Token
	if !m.held {
		// Positions only grow, so the number is higher than that of every earlier tenure.
		rec.Token = m.position + 1
	}
	return rec
}

// Observed applies a read of the store that was sent at the given time.
func (m *Machine) Observed(rec Record, position int64, now time.Duration) {
	m.stale = false
	if m.held && rec.Token == m.record.Token && rec.Holder == m.self.Holder {
		if position != m.position && m.unclearFrom > 0 {
			// A write whose answer was lost has taken effect, no later than the first such write was sent.
			m.validUntil = max(m.validUntil, m.unclearFrom+m.timing.Validity)
		}
		m.position, m.unclearFrom = position, 0
		return
	}
	m.held = false
	if !m.known || position != m.position {
		m.observedAt = now
	}
	m.known, m.record, m.position = true, rec, position
}

// Followed applies an answer of the holder, which names the position of its newest renewal. Whoever loses contact later
// then knows how old the stored record is.
func (m *Machine) Followed(position int64, now time.Duration) {
	if !m.held && position > m.position {
		m.position, m.observedAt = position, now
	}
}

// Written applies a successful write that was sent at the given time.
func (m *Machine) Written(rec Record, position int64, sent time.Duration) {
	if !m.held {
		m.activeFrom, m.heldFrom = m.firstOrder(sent), sent
		m.alone = m.record.Token == 0 || m.record.Holder == "" || m.record.Holder == m.self.Holder
	}
	m.confirmedAt = sent
	m.held, m.record, m.position = true, rec, position
	m.renewedAt, m.validUntil, m.unclearFrom = sent, sent+m.timing.Validity, 0
}

// firstOrder returns when a new holder may give its first order.
func (m *Machine) firstOrder(now time.Duration) time.Duration {
	if m.timing.Fenced {
		return now
	}
	switch m.record.Holder {
	case m.self.Holder:
		return now
	case "":
		if m.record.Token == 0 {
			return now
		}
		return now + m.timing.Handover
	default:
		return max(now, m.observedAt+m.timing.Validity+m.timing.Handover)
	}
}

// WriteFailed applies a failed write that was sent at the given time. The store is read before anything else is written.
func (m *Machine) WriteFailed(sent time.Duration) {
	m.stale = true
	if !m.held {
		return
	}
	m.renewedAt = sent
	if m.unclearFrom == 0 {
		m.unclearFrom = sent
	}
}

// Released applies a successful planned release.
func (m *Machine) Released() { m.held = false }

// Refused applies the refusal of an order because a higher token is in use: this tenure gives no more orders.
func (m *Machine) Refused(token int64) {
	m.fencedOff = max(m.fencedOff, token)
	if m.held && m.record.Token <= m.fencedOff {
		m.held, m.stale = false, true
	}
}

// Token returns the fencing number if this daemon may give orders now.
func (m *Machine) Token(now time.Duration) (int64, bool) {
	if !m.Held(now) || now < m.activeFrom {
		return 0, false
	}
	return m.record.Token, true
}

// Held reports whether this daemon holds the lease, also before its first order.
func (m *Machine) Held(now time.Duration) bool {
	return m.held && m.record.Token > m.fencedOff && (m.timing.Fenced || now < m.validUntil)
}

// overlapTime is how long a silent previous holder is assumed to go on. It covers the longest usual partition.
const overlapTime = 12 * time.Second

// Settled reports whether no other daemon can be acting as holder: neither a previous one that cannot reach the store,
// nor a next one while this daemon cannot.
func (m *Machine) Settled(now time.Duration) bool {
	return m.Held(now) && now-m.confirmedAt < m.timing.TakeOver && (m.alone || now-m.heldFrom > overlapTime)
}

// Holder returns the last known record of the lease.
func (m *Machine) Holder() Record { return m.record }
