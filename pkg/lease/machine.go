package lease

import "time"

// Machine is one daemon's view of the lease and decides its next step. It is not safe for concurrent use.
type Machine struct {
	self   Record
	timing Timing

	// recordKnown is set once the store has been read.
	recordKnown bool
	record      Record
	position    int64
	// recordPosition is the position up to which record is the latest; it is lower than position after a response of the
	// holder that tells of a later renewal.
	recordPosition int64
	observedAt     time.Duration
	// held is set from a successful write of this process until the lease is lost.
	held bool
	// hasHeld is set once this process has held the lease.
	hasHeld    bool
	validUntil time.Duration
	// ordersFrom is when a new holder may send its first order.
	ordersFrom time.Duration
	// ordersNotBefore is the earliest first order after a takeover with an unknown outcome, which hides the previous
	// holder from the next read.
	ordersNotBefore time.Duration
	// missingUntil is when the lease of a holder that the store may lack has ended; 0 for none.
	missingUntil time.Duration
	heldSince    time.Duration
	// confirmedAt is when the latest write known to have taken effect was sent.
	confirmedAt time.Duration
	// predecessorEnded is set when the previous holder is known to have ended its tenure.
	predecessorEnded bool
	renewedAt        time.Duration
	// uncertainSince is when the first write with an unknown outcome was sent; 0 for none.
	uncertainSince time.Duration
	// stale is set when the record must be read again before the next write.
	stale bool
	// takeoverDelay is how much longer than needed this daemon waits before it takes the lease of another one.
	takeoverDelay time.Duration
	// lostAt is when this daemon last lost contact with the holder.
	lostAt time.Duration
	// highestFence is the highest own token that a runner has rejected.
	highestFence int64
	// needsToken is set when this holder must take a new token with its next write.
	needsToken bool
	// released is set once the daemon has ended its tenure to stop; it does not take the lease again.
	released bool
}

// NewMachine returns the state of a daemon that has not read the store yet.
func NewMachine(name, address string, timing Timing) *Machine {
	return &Machine{self: Record{Holder: name, Address: address}, timing: timing}
}

// Step is the next action of a daemon.
type Step string

const (
	// Wait means that there is nothing to do now.
	Wait Step = "wait"
	// Read means that the stored record must be read.
	Read Step = "read"
	// Await means that the next record must be awaited, for at most AwaitTime.
	Await Step = "await"
	// Write means that Proposal must be written at Position.
	Write Step = "write"
)

// Next returns the next step. holderResponsive is set when the holder responded to this daemon recently.
func (m *Machine) Next(now time.Duration, holderResponsive bool) Step {
	switch {
	case m.released:
		return Wait
	case !m.recordKnown || m.stale:
		return Read
	case m.held:
		if now-m.renewedAt >= m.timing.RenewInterval {
			return Write
		}
		return Wait
	case holderResponsive:
		// The record is not read while the holder responds, so an old record does not mean that the lease has expired.
		return Wait
	case m.canAcquire(now):
		if m.recordPosition != m.position {
			// The state that the holder handed over with its last renewal is taken over with the lease.
			return Read
		}
		return Write
	default:
		return Await
	}
}

// SetTakeoverDelay sets how much longer than needed this daemon waits before it takes the lease of another one. Daemons
// with different delays do not all write at once.
func (m *Machine) SetTakeoverDelay(d time.Duration) { m.takeoverDelay = d }

// ApplyHolderLost records that the holder stopped responding to this daemon.
func (m *Machine) ApplyHolderLost(now time.Duration) { m.lostAt = now }

// AwaitTime returns the time until this daemon may take the lease; it is positive when the next step is Await.
func (m *Machine) AwaitTime(now time.Duration) time.Duration { return m.acquireAt() - now }

func (m *Machine) canAcquire(now time.Duration) bool { return now >= m.acquireAt() }

// acquireAt returns the earliest time at which this daemon may take the lease. A record of its own earlier process does
// not block it: that process has ended, because this one listens on its address. After a restore of the store this holds
// for a process that has just started, whose predecessor was probably the last holder; orders wait all the same.
func (m *Machine) acquireAt() time.Duration {
	switch {
	case m.record.Token != 0 && m.record.Holder == m.self.Holder && (!m.record.Restored || !m.hasHeld):
		return m.observedAt
	case m.record.Restored:
		// The last holder may be missing in the record. If it lives, it writes again within the takeover time.
		return m.takeoverAt()
	case m.record.Token == 0 || m.record.Holder == "":
		return m.observedAt + m.takeoverDelay
	default:
		return m.takeoverAt()
	}
}

// takeoverAt returns the earliest time at which this daemon may take the lease of another one. A daemon that learns of
// the loss late has to wait as well, because others may write at the same time.
func (m *Machine) takeoverAt() time.Duration {
	return max(m.observedAt+m.timing.TakeoverAfter, m.lostAt) + m.takeoverDelay
}

// Position returns the store position at which Proposal must be written.
func (m *Machine) Position() int64 { return m.position }

// Proposal returns the record that this daemon would write.
func (m *Machine) Proposal() Record {
	rec := m.self
	rec.Token = m.record.Token
	if !m.held || m.needsToken {
		// Positions only increase, also over a restore of the store, so this token is higher than that of any earlier
		// tenure.
		rec.Token = m.position + 1
	}
	rec.Unsettled = !m.timing.Fenced && (!m.held || m.renewedAt < m.ordersFrom)
	if m.held {
		rec.HolderMissing = m.renewedAt < m.missingUntil
	} else {
		rec.HolderMissing = !m.timing.Fenced && m.mayLackHolder()
	}
	return rec
}

// mayLackHolder reports whether a holder that the record does not name may still act, because the store was restored and
// the record does not tell that its lease has ended. The lease ends before that of any later holder.
func (m *Machine) mayLackHolder() bool {
	return m.record.Restored || (m.record.HolderMissing && (m.record.Holder == "" || m.record.Holder == m.self.Holder))
}

// missingHolderEnd returns when the lease of a holder that the record lacks has ended at the latest: a holder wrote its
// last record before a restored one was read, or before a process of the writer of HolderMissing has ended.
func (m *Machine) missingHolderEnd(now time.Duration) time.Duration {
	if m.record.Restored {
		return m.observedAt + m.timing.Validity
	}
	return now + m.timing.Validity
}

// ApplyRead applies the result of a read of the store; received is when the response was received. Its writer may have sent
// the record after the read was sent, so a record counts as no older than the response.
func (m *Machine) ApplyRead(rec Record, position int64, received time.Duration) {
	m.stale = false
	if rec.Restored && m.outlivesRestore(received) {
		m.continueAfterRestore(position, received)
		return
	}
	if m.held && !rec.Restored && rec.Token == m.record.Token && rec.Holder == m.self.Holder {
		if position != m.position && m.uncertainSince > 0 {
			// A write whose response was lost has taken effect. Its validity is counted from the first such write, the
			// earliest time at which it can have been sent.
			m.validUntil = max(m.validUntil, m.uncertainSince+m.timing.Validity)
		}
		m.position, m.uncertainSince = position, 0
		return
	}
	m.held = false
	if rec.Holder != m.self.Holder {
		// No earlier takeover of this daemon hides a holder from this record.
		m.ordersNotBefore = 0
	}
	if !m.recordKnown || position != m.position {
		m.observedAt = received
	}
	m.recordKnown, m.record, m.position, m.recordPosition = true, rec, position, position
}

// outlivesRestore reports whether this holder may go on although the restored store lacks its latest record: if no other
// daemon can have taken the lease since its last confirmed write, or if runners reject the lower token of one of two
// holders.
func (m *Machine) outlivesRestore(now time.Duration) bool {
	return m.held && (m.timing.Fenced || m.isUninterrupted(now))
}

// isUninterrupted reports whether no other daemon can have taken the lease since the last confirmed write.
func (m *Machine) isUninterrupted(now time.Duration) bool {
	return now-m.confirmedAt < m.timing.TakeoverAfter
}

// continueAfterRestore makes the next write due at once, at the position of the restored store. The writes with an unknown
// outcome are lost, so they do not extend the validity. If another daemon may have taken the lease in the lost history,
// the tenure goes on with a higher token than that one's.
func (m *Machine) continueAfterRestore(position int64, now time.Duration) {
	m.needsToken = m.needsToken || !m.isUninterrupted(now)
	m.position, m.uncertainSince = position, 0
	m.renewedAt = now - m.timing.RenewInterval
}

// ApplyHolderContact applies a response of the holder with the position of its latest renewal, so that a daemon that
// later loses contact knows the age of the stored record.
func (m *Machine) ApplyHolderContact(position int64, now time.Duration) {
	if !m.held && position > m.position {
		m.position, m.observedAt = position, now
	}
}

// ApplyWrite applies a successful write; sent is when it was sent.
func (m *Machine) ApplyWrite(rec Record, position int64, sent time.Duration) {
	if m.released {
		return
	}
	switch {
	case !m.held:
		m.ordersFrom, m.heldSince, m.missingUntil = max(m.firstOrderTime(sent), m.ordersNotBefore), sent, 0
		if !m.timing.Fenced && m.mayLackHolder() {
			m.missingUntil = m.missingHolderEnd(sent)
		}
		m.predecessorEnded = !m.record.Restored && (m.record.Token == 0 || m.record.Holder == "" || m.record.Holder == m.self.Holder)
	case m.needsToken:
		m.heldSince, m.predecessorEnded = sent, false
	}
	m.needsToken, m.confirmedAt = false, sent
	m.held, m.hasHeld, m.record, m.position, m.recordPosition = true, true, rec, position, position
	m.renewedAt, m.validUntil, m.uncertainSince = sent, sent+m.timing.Validity, 0
}

// firstOrderTime returns the earliest time at which a new holder may send its first order.
func (m *Machine) firstOrderTime(now time.Duration) time.Duration {
	if m.timing.Fenced {
		return now
	}
	if m.mayLackHolder() {
		return max(now, m.missingHolderEnd(now)+m.timing.HolderGap)
	}
	switch m.record.Holder {
	case m.self.Holder:
		if m.record.Unsettled && m.ordersNotBefore == 0 {
			return now + m.timing.HolderGap
		}
		return now
	case "":
		if m.record.Token == 0 {
			return now
		}
		return now + m.timing.HolderGap
	default:
		return max(now, m.observedAt+m.timing.Validity+m.timing.HolderGap)
	}
}

// ApplyWriteFailure applies a failed write; sent is when it was sent. The store is read again before the next write.
func (m *Machine) ApplyWriteFailure(sent time.Duration) {
	m.stale = true
	if !m.held {
		m.ordersNotBefore = max(m.ordersNotBefore, m.firstOrderTime(sent))
		return
	}
	m.renewedAt = sent
	if m.uncertainSince == 0 {
		m.uncertainSince = sent
	}
}

// ApplyStoreRestored records that the store was restored from an earlier copy: a holder reads the record again.
func (m *Machine) ApplyStoreRestored() { m.stale = m.stale || m.held }

// Release ends the tenure and returns the record of a planned release. A write that is still on its way begins no other
// tenure.
func (m *Machine) Release(now time.Duration) Record {
	m.held, m.released = false, true
	return Record{Token: m.record.Token, HolderMissing: now < m.missingUntil}
}

// ApplyFenced applies the rejection of an order by a runner that has seen a higher token. This tenure then sends no more
// orders.
func (m *Machine) ApplyFenced(token int64) {
	m.highestFence = max(m.highestFence, token)
	if m.held && m.record.Token <= m.highestFence {
		m.held, m.stale = false, true
	}
}

// Token returns the fencing token, and whether this daemon may send orders now.
func (m *Machine) Token(now time.Duration) (int64, bool) {
	if !m.Held(now) || now < m.ordersFrom {
		return 0, false
	}
	return m.record.Token, true
}

// Held reports whether this daemon holds the lease, even before it may send orders.
func (m *Machine) Held(now time.Duration) bool {
	return m.held && m.record.Token > m.highestFence && (m.timing.Fenced || now < m.validUntil)
}

// maxHolderOverlap is how long a previous holder that does not respond is assumed to keep acting. It covers the longest
// usual network partition.
const maxHolderOverlap = 12 * time.Second

// IsSoleHolder reports whether no other daemon can be acting as holder: neither a previous holder that cannot reach the
// store, nor a next holder while this daemon cannot reach the store.
func (m *Machine) IsSoleHolder(now time.Duration) bool {
	return m.Held(now) && now-m.confirmedAt < m.timing.TakeoverAfter && (m.predecessorEnded || now-m.heldSince > maxHolderOverlap)
}

// ConfirmedAt returns when the latest write known to have taken effect was sent.
func (m *Machine) ConfirmedAt() time.Duration { return m.confirmedAt }

// Holder returns the latest known record of the lease.
func (m *Machine) Holder() Record { return m.record }
