package lease

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var (
	modelSeed  = flag.Uint64("lease.model.seed", 1, "first seed of the model check")
	modelSeeds = flag.Int("lease.model.seeds", 25, "number of consecutive seeds of the model check, for each timing")
)

const (
	modelDaemons = 4
	modelGap     = 3 * time.Second
	// modelFaults is how long faults are injected; afterwards some daemon must send orders within modelCalm.
	modelFaults = 45 * time.Second
	modelCalm   = 20 * time.Second
	// modelSample is the time between two checks of who may send orders.
	modelSample = 40 * time.Millisecond
	// modelTrace is the number of events that a failure shows.
	modelTrace = 40
)

// Guards against two holders with one fencing token, and, where runners do not check tokens, against orders of two daemons
// within the minimum distance or with a lower token after a higher one. Daemons are killed, stopped, frozen and cut off,
// calls are lost or carried out late, and the store is restored from earlier copies.
func TestLeaseModel(t *testing.T) {
	for name, timing := range modelTimings() {
		seeds := modelFaultSeeds
		for i := range *modelSeeds {
			seeds = append(seeds, *modelSeed+uint64(i))
		}
		for _, seed := range seeds {
			w := newModel(seed, timing)
			if broken := w.run(); broken != "" {
				t.Errorf("%s, seed %d: %s; the last events:\n%s", name, seed, broken, strings.Join(w.trace[max(len(w.trace)-modelTrace, 0):], "\n"))
			}
		}
	}
}

// modelFaultSeeds are seeds that broke a rule: 1340 while a record counted as old as the read that returned it, 6719 while
// a restart shortened the wait for a holder that a restored store lacks. A change of the model changes their histories.
var modelFaultSeeds = []uint64{1340, 6719}

func modelTimings() map[string]Timing {
	return map[string]Timing{"unfenced": NewTiming(modelGap), "fenced": NewFencedTiming()}
}

// modelEvent is something that happens at a simulated time.
type modelEvent struct {
	at    time.Duration
	order int
	do    func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(e any)   { *q = append(*q, e.(modelEvent)) }
func (q *modelQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// model is a simulated fleet with its store. One seed gives one history.
type model struct {
	random  *rand.Rand
	timing  Timing
	now     time.Duration
	queue   modelQueue
	events  int
	store   *simulatedStore
	daemons []*modelDaemon
	// faultInterval is the longest time between two faults.
	faultInterval time.Duration
	faulty        bool
	broken        string

	tokens      map[int64]string
	lastOrder   map[string]time.Duration
	highest     int64
	runnerFence int64
	trace       []string
}

func newModel(seed uint64, timing Timing) *model {
	w := &model{random: rand.New(rand.NewPCG(seed, 0)), timing: timing, faulty: true, tokens: map[int64]string{}, lastOrder: map[string]time.Duration{}}
	w.faultInterval = w.between(500*time.Millisecond, 4*time.Second)
	w.store = &simulatedStore{model: w, era: 1}
	for i := range modelDaemons {
		d := &modelDaemon{model: w, name: fmt.Sprintf("d%d", i)}
		w.daemons = append(w.daemons, d)
		w.after(w.upTo(time.Second), d.start)
	}
	w.after(time.Second, w.injectFault)
	w.after(modelSample, w.sample)
	return w
}

func (w *model) upTo(d time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(d))) }

// between returns a random time between two bounds.
func (w *model) between(low, high time.Duration) time.Duration { return low + w.upTo(high-low) }

func (w *model) chance(p float64) bool { return w.random.Float64() < p }

func (w *model) after(d time.Duration, do func()) {
	w.events++
	heap.Push(&w.queue, modelEvent{at: w.now + d, order: w.events, do: do})
}

func (w *model) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

// run plays the history and returns the first broken rule, empty for none.
func (w *model) run() string {
	for w.broken == "" && w.now < modelFaults+modelCalm {
		e := heap.Pop(&w.queue).(modelEvent)
		w.now = e.at
		e.do()
	}
	if w.broken == "" && !w.hasActiveHolder() {
		w.broken = fmt.Sprintf("no daemon may send orders %v after the last fault", modelCalm)
	}
	return w.broken
}

func (w *model) hasActiveHolder() bool {
	for _, d := range w.daemons {
		if d.machine == nil {
			continue
		}
		if _, ok := d.machine.Token(w.now); ok {
			return true
		}
	}
	return false
}

// sample lets each daemon that may do so send an order, and checks the orders.
func (w *model) sample() {
	w.after(modelSample, w.sample)
	for _, d := range w.daemons {
		if !d.runs() {
			continue
		}
		if token, ok := d.machine.Token(w.now); ok {
			w.recordOrder(d, token)
		}
	}
}

func (w *model) recordOrder(d *modelDaemon, token int64) {
	if user, used := w.tokens[token]; used && user != d.name {
		w.broken = fmt.Sprintf("%v: %s uses token %#x of %s", w.now, d.name, token, user)
	}
	w.tokens[token] = d.name
	if w.timing.Fenced {
		if token < w.runnerFence {
			fence := w.runnerFence
			d.after(w.between(time.Millisecond, 50*time.Millisecond), func() { d.machine.ApplyFenced(fence) })
			return
		}
		w.runnerFence = token
		return
	}
	if token < w.highest {
		w.broken = fmt.Sprintf("%v: %s orders with token %#x after %#x", w.now, d.name, token, w.highest)
	}
	w.highest = max(w.highest, token)
	for name, at := range w.lastOrder {
		if name != d.name && w.now-at < modelGap {
			w.broken = fmt.Sprintf("%v: %s orders %v after %s", w.now, d.name, w.now-at, name)
		}
	}
	if last, ok := w.lastOrder[d.name]; !ok || w.now-last > time.Second {
		w.log("%s orders with token %#x", d.name, token)
	}
	w.lastOrder[d.name] = w.now
}

// injectFault starts one fault or several at once, and plans the next.
func (w *model) injectFault() {
	if w.now > modelFaults-6*time.Second {
		w.after(6*time.Second, func() { w.faulty = false })
		return
	}
	w.after(w.upTo(w.faultInterval), w.injectFault)
	d := w.daemons[w.random.IntN(modelDaemons)]
	if w.chance(0.6) {
		for _, other := range w.daemons {
			if other.machine != nil && other.machine.held {
				d = other
			}
		}
	}
	switch w.random.IntN(7) {
	case 0, 1:
		w.store.restore(w.between(50*time.Millisecond, 2500*time.Millisecond), w.upTo(10*time.Second))
	case 2:
		w.log("%s killed", d.name)
		d.kill(w.upTo(2 * time.Second))
	case 3:
		w.log("%s stopped", d.name)
		d.stop()
	case 4:
		d.frozenUntil = w.now + w.between(100*time.Millisecond, 5*time.Second)
		w.log("%s frozen until %v", d.name, d.frozenUntil)
	case 5:
		d.storeCutUntil = w.now + w.between(500*time.Millisecond, 5*time.Second)
		w.log("%s cut from the store until %v", d.name, d.storeCutUntil)
	case 6:
		d.peersCutUntil = w.now + w.between(500*time.Millisecond, 5*time.Second)
		if w.chance(0.7) {
			d.storeCutUntil = d.peersCutUntil
		}
		w.log("%s cut from other daemons until %v", d.name, d.peersCutUntil)
	}
}

// storedRecord is a record with the era that its writer knew.
type storedRecord struct {
	rec Record
	era int64
}

type storeCopy struct {
	at      time.Duration
	records []storedRecord
}

// simulatedStore is the topic of the lease in a store that can be restored from its earlier copies. Positions are encoded
// as those of the platform's store.
type simulatedStore struct {
	model     *model
	era       int64
	records   []storedRecord
	copies    []storeCopy
	awayUntil time.Duration
	waiting   []func()
}

const simulatedOffsetBits = 32

func (s *simulatedStore) position() int64 { return s.era<<simulatedOffsetBits | int64(len(s.records)) }

func (s *simulatedStore) latest() Record {
	if len(s.records) == 0 {
		return Record{Restored: true}
	}
	last := s.records[len(s.records)-1]
	last.rec.Restored = last.era != s.era
	return last.rec
}

func (s *simulatedStore) append(r storedRecord) {
	s.records = append(s.records[:len(s.records):len(s.records)], r)
	s.copies = append(s.copies, storeCopy{s.model.now, s.records})
	waiting := s.waiting
	s.waiting = nil
	for _, wake := range waiting {
		wake()
	}
}

// restore makes the store unavailable for some time, after which it has the content of an earlier time.
func (s *simulatedStore) restore(away, age time.Duration) {
	s.awayUntil, s.waiting = max(s.awayUntil, s.model.now+away), nil
	at := s.model.now - age
	s.records = nil
	for _, c := range s.copies {
		if c.at <= at {
			s.records = c.records
		}
	}
	s.era++
	s.copies = append(s.copies, storeCopy{s.model.now, s.records})
	s.model.log("store restored to era %d with %d records, %+v; away until %v", s.era, len(s.records), s.latest(), s.awayUntil)
}

// storeReply is a response of the store. conflict is set for a conditional write at another position.
type storeReply struct {
	era, position int64
	rec           Record
	found         bool
	conflict      bool
}

func (s *simulatedStore) load(respond func(storeReply)) {
	respond(storeReply{era: s.era, rec: s.latest(), position: s.position(), found: true})
}

// await responds once the topic is longer than at the position, or after wait.
func (s *simulatedStore) await(after int64, wait time.Duration, respond func(storeReply)) {
	if after>>simulatedOffsetBits != s.era || s.position() > after {
		s.load(respond)
		return
	}
	done := false
	finish := func() {
		if !done {
			done = true
			respond(storeReply{era: s.era, rec: s.latest(), position: s.position(), found: s.position() > after})
		}
	}
	era := s.era
	s.waiting = append(s.waiting, finish)
	s.model.after(max(wait, 0), func() {
		if s.era == era {
			finish()
		}
	})
}

// swap appends the record if the topic ends at the offset of the position, in whichever era.
func (s *simulatedStore) swap(at int64, rec Record, respond func(storeReply)) {
	era := at >> simulatedOffsetBits
	if at&(1<<simulatedOffsetBits-1) != int64(len(s.records)) {
		respond(storeReply{era: s.era, conflict: true})
		return
	}
	s.append(storedRecord{rec: rec, era: era})
	s.model.log("record %+v at era %d, offset %d, written for era %d", rec, s.era, len(s.records)-1, era)
	respond(storeReply{era: s.era, position: s.position(), conflict: s.era != era})
}
