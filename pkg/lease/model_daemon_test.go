package lease

import "time"

// modelDaemon drives a Machine as Elector does, on the simulated clock.
type modelDaemon struct {
	model   *model
	name    string
	machine *Machine
	// process counts the processes, so that events of an ended one are dropped.
	process       int
	frozenUntil   time.Duration
	storeCutUntil time.Duration
	peersCutUntil time.Duration

	seenEra     int64
	busy        bool
	wakePending bool
	hasContact  bool
	lastContact time.Duration
	failures    int
	retryAt     time.Duration
}

func (d *modelDaemon) runs() bool { return d.machine != nil && d.model.now >= d.frozenUntil }

// after runs do in the present process, once it is no longer frozen.
func (d *modelDaemon) after(delay time.Duration, do func()) {
	process := d.process
	var resume func()
	resume = func() {
		switch {
		case d.process != process:
		case d.model.now < d.frozenUntil:
			d.model.after(d.frozenUntil-d.model.now, resume)
		default:
			do()
		}
	}
	d.model.after(delay, resume)
}

func (d *modelDaemon) start() {
	*d = modelDaemon{model: d.model, name: d.name, process: d.process + 1, storeCutUntil: d.storeCutUntil, peersCutUntil: d.peersCutUntil}
	d.machine = NewMachine(d.name, d.name, d.model.timing)
	d.model.log("%s starts", d.name)
	d.tick()
	d.after(d.model.upTo(time.Second), d.report)
	d.after(d.model.upTo(time.Second), d.readEra)
}

func (d *modelDaemon) kill(down time.Duration) {
	if d.machine == nil {
		return
	}
	d.machine, d.frozenUntil = nil, 0
	d.process++
	d.model.after(down, d.start)
}

// stop releases the lease as Elector.Release does and ends the process.
func (d *modelDaemon) stop() {
	if !d.runs() {
		return
	}
	held, at := d.machine.Held(d.model.now), d.machine.Position()
	rec := d.machine.Release(d.model.now)
	down := d.model.between(20*time.Millisecond, 2*time.Second)
	d.after(down/2, func() { d.kill(down / 2) })
	if held {
		d.call(storeTimeout, func(respond func(storeReply)) { d.model.store.swap(at, rec, respond) }, func(*storeReply) {})
	}
}

func (d *modelDaemon) tick() {
	d.after(stepInterval, d.tick)
	if !d.busy {
		d.step()
	}
}

// wake starts the next step at once, or after the present one.
func (d *modelDaemon) wake() {
	d.wakePending = d.busy
	if !d.busy {
		d.step()
	}
}

func (d *modelDaemon) step() {
	now, m := d.model.now, d.machine
	m.SetTakeoverDelay(takeoverDelay(modelDaemons, 0, d.name, m.Position()))
	next := m.Next(now, d.hasContact && now-d.lastContact < holderContactTTL)
	if now < d.retryAt {
		next = Wait
	}
	switch next {
	case Read:
		d.read()
	case Await:
		d.await(m.Position(), min(m.AwaitTime(now), maxAwait))
	case Write:
		d.write(now)
	case Wait:
	}
}

// finish ends a step with a call to the store. The next step is due at once after a read or a wait.
func (d *modelDaemon) finish(again bool) {
	d.busy = false
	if again || d.wakePending {
		d.wakePending = false
		d.step()
	}
}

func (d *modelDaemon) read() {
	d.busy = true
	d.call(storeTimeout, d.model.store.load, func(r *storeReply) {
		d.recordStoreCall(r != nil)
		if r != nil {
			d.machine.ApplyRead(r.rec, r.position, d.model.now)
		}
		d.finish(true)
	})
}

func (d *modelDaemon) await(position int64, wait time.Duration) {
	d.busy = true
	d.call(wait+storeTimeout, func(respond func(storeReply)) { d.model.store.await(position, wait, respond) }, func(r *storeReply) {
		d.recordStoreCall(r != nil)
		if r != nil && r.found {
			if r.rec.Token != d.machine.Holder().Token {
				d.lastContact, d.hasContact = d.model.now, true
			}
			d.machine.ApplyRead(r.rec, r.position, d.model.now)
		}
		d.finish(true)
	})
}

func (d *modelDaemon) write(sent time.Duration) {
	d.busy = true
	rec, at := d.machine.Proposal(), d.machine.Position()
	d.call(storeTimeout, func(respond func(storeReply)) { d.model.store.swap(at, rec, respond) }, func(r *storeReply) {
		if r == nil || r.conflict {
			d.machine.ApplyWriteFailure(sent)
			d.recordStoreCall(r != nil)
		} else {
			d.recordStoreCall(true)
			d.machine.ApplyWrite(rec, r.position, sent)
		}
		d.finish(false)
	})
}

func (d *modelDaemon) recordStoreCall(ok bool) {
	if ok {
		d.failures, d.retryAt = 0, 0
		return
	}
	d.retryAt = d.model.now + min(initialBackoff<<min(d.failures, 4), maxBackoff)
	d.failures++
}

// call carries out one call to the store, which can be lost before or after it takes effect, or be carried out late. done
// gets nil if there is no usable response in time.
func (d *modelDaemon) call(timeout time.Duration, serve func(respond func(storeReply)), done func(*storeReply)) {
	w, process, finished := d.model, d.process, false
	finish := func(r *storeReply) {
		if !finished {
			finished = true
			done(r)
		}
	}
	d.after(timeout, func() { finish(nil) })
	delay, lost := w.between(time.Millisecond, 30*time.Millisecond), false
	if w.faulty {
		cut := w.now < d.storeCutUntil
		lost = cut || w.chance(0.03)
		switch {
		case cut && w.chance(0.7), w.chance(0.02):
			return
		case cut, w.chance(0.03):
			delay = w.upTo(8 * time.Second)
		case w.chance(0.05):
			delay = w.upTo(time.Second)
		}
	}
	w.after(delay, func() {
		if w.now < w.store.awayUntil {
			if w.chance(0.7) {
				return
			}
			// The call is carried out once the store is back.
			w.after(w.store.awayUntil-w.now+w.upTo(time.Second), func() { serve(func(storeReply) {}) })
			return
		}
		serve(func(r storeReply) {
			back := w.between(time.Millisecond, 30*time.Millisecond)
			if w.faulty && w.chance(0.05) {
				back = w.upTo(time.Second)
			}
			if !lost && d.process == process {
				d.after(back, func() { d.receive(r, finish) })
			}
		})
	})
}

// receive passes on a response, unless it is of an earlier era than the latest one known.
func (d *modelDaemon) receive(r storeReply, finish func(*storeReply)) {
	switch {
	case r.era < d.seenEra:
		finish(nil)
		return
	case r.era > d.seenEra && d.seenEra > 0:
		d.seenEra = r.era
		d.machine.ApplyStoreRestored()
		d.failures, d.retryAt = 0, 0
		finish(&r)
		d.wake()
		return
	}
	d.seenEra = r.era
	finish(&r)
}

// readEra stands for the reads of other topics, whose responses show the era too.
func (d *modelDaemon) readEra() {
	d.after(d.model.between(300*time.Millisecond, 3*time.Second), d.readEra)
	d.call(time.Second, d.model.store.load, func(*storeReply) {})
}

// report asks the presumed holder whether it holds the lease.
func (d *modelDaemon) report() {
	w := d.model
	d.after(w.between(250*time.Millisecond, 500*time.Millisecond), d.report)
	var holder *modelDaemon
	for _, other := range w.daemons {
		if other.name == d.machine.Holder().Holder {
			holder = other
		}
	}
	if holder == nil || holder == d || d.machine.Held(w.now) {
		return
	}
	linked := w.now >= d.peersCutUntil && w.now >= holder.peersCutUntil
	if linked && holder.runs() && holder.machine.Held(w.now) {
		position := holder.machine.Position()
		d.after(w.between(time.Millisecond, 200*time.Millisecond), func() {
			d.lastContact, d.hasContact = w.now, true
			d.machine.ApplyHolderContact(position, w.now)
		})
		return
	}
	d.after(w.between(time.Millisecond, 800*time.Millisecond), func() {
		if d.hasContact {
			d.machine.ApplyHolderLost(w.now)
		}
		d.hasContact = false
		d.wake()
	})
}
