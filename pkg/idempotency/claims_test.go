package idempotency

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/infra/memlog"
	"trefoilferry.example/ferry/pkg/stream"
)

const testStream = "keys.booking"

// world is the log, the clock and the backend servers of a simulation.
type world struct {
	t   *rapid.T
	log *memlog.Log
	now time.Time
	// late are appends that reach the log after their sender gave up.
	late [][]byte
	// executed counts the executions of each key, and requests those of each request.
	executed map[string]int
	started  int
}

// faultLog is the log as one agent sees it.
type faultLog struct{ w *world }

func (l faultLog) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	switch rapid.IntRange(0, 7).Draw(l.w.t, "append") {
	case 0:
		l.w.log.LoseAnswers(1)
	case 1:
		return 0, failure.New(failure.LogUnavailable, failure.NotRun, "refused")
	case 2:
		l.w.late = append(l.w.late, slices.Clone(data))
		return 0, failure.New(failure.LogUnavailable, failure.Unknown, "under way")
	}
	return l.w.log.Append(ctx, name, data)
}

func (l faultLog) Read(ctx context.Context, name string, from uint64, limit int) (infra.Batch, error) {
	if rapid.IntRange(0, 5).Draw(l.w.t, "read") == 0 {
		return infra.Batch{}, failure.New(failure.LogUnavailable, failure.NotRun, "no answer")
	}
	return l.w.log.Read(ctx, name, from, limit)
}

// keeperSim is one agent incarnation, driven step by step; an agent that gets no step is paused.
type keeperSim struct {
	w        *world
	fold     *Fold
	follower *stream.Follower
	writer   *stream.Writer
	claims   *Claims
	// send is the append that the agent has decided on and not started; result is its result before it is seen.
	send   func(context.Context) (uint64, error)
	result func()
	keys   map[uint64]string
	hashes map[uint64]uint64
	grants map[uint64]Verdict
	ran    map[uint64]bool
	nextID uint64
}

func newKeeperSim(w *world) *keeperSim {
	w.started++
	name := fmt.Sprintf("agent%d", w.started)
	clock := func() time.Time { return w.now }
	k := &keeperSim{w: w, fold: NewFold(DefaultKeyRetention), keys: map[uint64]string{}, hashes: map[uint64]uint64{},
		grants: map[uint64]Verdict{}, ran: map[uint64]bool{}}
	k.follower = stream.NewFollower(stream.FollowerConfig{Stream: testStream, Fold: k.fold, Log: faultLog{w}, Now: clock})
	k.writer = stream.NewWriter(faultLog{w}, testStream, name, clock, func() uint64 { return 0 })
	k.writer.SetRetryDelay(0)
	k.claims = NewClaims(ClaimsConfig{Incarnation: name, Interval: minInterval, WaitDone: DefaultWaitDone}, k.fold)
	return k
}

func (k *keeperSim) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Append:
			k.send = func(ctx context.Context) (uint64, error) {
				return k.writer.Append(ctx, &ferrypb.Envelope{Payload: &ferrypb.Envelope_Keys{Keys: a.Batch}})
			}
		case Resolve:
			k.send = k.writer.Resolve
		case Reply:
			k.verdict(a)
		}
	}
}

func (k *keeperSim) verdict(r Reply) {
	if r.Verdict.Run {
		k.grants[r.ID] = r.Verdict
		return
	}
	f := r.Verdict.Failure
	if f == nil || f.Outcome != failure.NotRun {
		return
	}
	key := k.keys[r.ID]
	e, known := k.fold.Lookup(key, k.w.now.UnixMilli())
	if known && e.Claim.RequestHash == k.hashes[r.ID] && e.Claim.Incarnation != k.claims.cfg.Incarnation {
		k.w.t.Fatalf("not_run for key %s, which another claim holds", key)
	}
	for id := range k.ran {
		if k.keys[id] == key && k.hashes[id] == k.hashes[r.ID] {
			k.w.t.Fatalf("not_run for key %s, which the same agent executed", key)
		}
	}
}

func (k *keeperSim) request() {
	k.nextID++
	k.keys[k.nextID] = rapid.SampledFrom([]string{"k1", "k2"}).Draw(k.w.t, "key")
	k.hashes[k.nextID] = rapid.SampledFrom([]uint64{7, 7, 7, 8}).Draw(k.w.t, "hash")
	k.do(k.claims.Acquire(k.w.now, k.nextID, k.keys[k.nextID], k.hashes[k.nextID]))
}

func (k *keeperSim) transmit() {
	if k.send == nil {
		return
	}
	send := k.send
	k.send = nil
	offset, err := send(context.Background())
	k.result = func() { k.do(k.claims.Appended(k.w.now, offset, err)) }
}

func (k *keeperSim) answer() {
	if k.result == nil {
		return
	}
	result := k.result
	k.result = nil
	result()
}

func (k *keeperSim) poll() {
	_, _ = k.follower.Poll(context.Background())
	if k.follower.ReachedLogEnd() {
		k.claims.SetReady()
	}
	k.do(k.claims.Tick(k.w.now))
}

// execute runs the oldest request with permission.
func (k *keeperSim) execute() {
	for id := uint64(1); id <= k.nextID; id++ {
		v, ok := k.grants[id]
		if !ok || k.ran[id] || !k.w.now.Before(v.StartBefore) {
			continue
		}
		k.ran[id] = true
		k.w.executed[k.keys[id]]++
		return
	}
}

// settle ends the oldest request with permission: with its result, or given up if it was never sent.
func (k *keeperSim) settle() {
	for id := uint64(1); id <= k.nextID; id++ {
		if _, ok := k.grants[id]; !ok {
			continue
		}
		delete(k.grants, id)
		if k.ran[id] {
			k.do(k.claims.Finish(k.w.now, id, &ferrypb.KeyDone{Outcome: "ran", Status: 200}))
		} else {
			k.do(k.claims.Abandon(k.w.now, id))
		}
		return
	}
}

func (w *world) step(agents []*keeperSim) {
	i := rapid.IntRange(0, len(agents)-1).Draw(w.t, "agent")
	k := agents[i]
	switch rapid.IntRange(0, 15).Draw(w.t, "step") {
	case 0, 1, 2:
		k.request()
	case 3, 4, 5:
		k.transmit()
	case 6, 7:
		k.answer()
	case 8, 9, 10:
		k.poll()
	case 11, 12:
		k.execute()
	case 13:
		k.settle()
	case 14:
		w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{30, 200, 2000, 6000}).Draw(w.t, "millis")) * time.Millisecond)
	case 15:
		w.disturb(agents, i)
	}
}

func (w *world) disturb(agents []*keeperSim, i int) {
	switch rapid.IntRange(0, 3).Draw(w.t, "fault") {
	case 0:
		agents[i] = newKeeperSim(w)
	case 1:
		w.log.SetDown(true)
	case 2:
		w.log.SetDown(false)
	case 3:
		if len(w.late) > 0 {
			_, err := w.log.Append(context.Background(), testStream, w.late[0])
			if err == nil {
				w.late = w.late[1:]
			}
		}
	}
}

// Guards against a key whose request runs twice, and against not_run for a key that was executed or is claimed,
// when answers are lost, appends arrive late, the log is out, agents crash between claim and result, or
// are paused, in any order.
func TestKeyIsExecutedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, log: memlog.New(), now: time.Unix(1e6, 0), executed: map[string]int{}}
		agents := []*keeperSim{newKeeperSim(w), newKeeperSim(w), newKeeperSim(w)}
		for _, k := range agents {
			k.poll()
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.step(agents)
			for key, n := range w.executed {
				if n > 1 {
					t.Fatalf("key %s was executed %d times", key, n)
				}
			}
		}
	})
}
