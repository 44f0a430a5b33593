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

// simulation holds the log, the clock and the executions that the simulated agents share.
type simulation struct {
	t   *rapid.T
	log *memlog.Log
	now time.Time
	// delayedAppends holds records that reach the log after their append was reported to have an unknown outcome.
	delayedAppends [][]byte
	// executed counts the executions for each key.
	executed map[string]int
	// started counts agent incarnations.
	started int
}

// faultLog is the log with random faults.
type faultLog struct{ sim *simulation }

func (l faultLog) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	switch rapid.IntRange(0, 7).Draw(l.sim.t, "append") {
	case 0:
		l.sim.log.LoseAnswers(1)
	case 1:
		return 0, failure.New(failure.LogUnavailable, failure.NotRun, "refused")
	case 2:
		l.sim.delayedAppends = append(l.sim.delayedAppends, slices.Clone(data))
		return 0, failure.New(failure.LogUnavailable, failure.Unknown, "append delayed")
	}
	return l.sim.log.Append(ctx, name, data)
}

func (l faultLog) Read(ctx context.Context, name string, from uint64, limit int) (infra.Batch, error) {
	if rapid.IntRange(0, 5).Draw(l.sim.t, "read") == 0 {
		return infra.Batch{}, failure.New(failure.LogUnavailable, failure.NotRun, "no answer")
	}
	return l.sim.log.Read(ctx, name, from, limit)
}

// agentSim simulates one agent incarnation. The test drives it step by step; between steps it is paused.
type agentSim struct {
	sim      *simulation
	fold     *Fold
	follower *stream.Follower
	writer   *stream.Writer
	claims   *ClaimProtocol
	// pendingAppend is an append that the agent has requested and not started; nil for none.
	pendingAppend func(context.Context) (uint64, error)
	// pendingResult delivers the result of an append that was run; nil for none.
	pendingResult func()
	// keys, hashes, grants and executed are by request id; grants holds the permissions to run that are not finished.
	keys     map[uint64]string
	hashes   map[uint64]uint64
	grants   map[uint64]Verdict
	executed map[uint64]bool
	nextID   uint64
}

func newAgentSim(w *simulation) *agentSim {
	w.started++
	name := fmt.Sprintf("agent%d", w.started)
	clock := func() time.Time { return w.now }
	k := &agentSim{sim: w, fold: NewFold(DefaultKeyRetention), keys: map[uint64]string{}, hashes: map[uint64]uint64{},
		grants: map[uint64]Verdict{}, executed: map[uint64]bool{}}
	k.follower = stream.NewFollower(stream.FollowerConfig{Stream: testStream, Fold: k.fold, Log: faultLog{w}, Now: clock})
	k.writer = stream.NewWriter(faultLog{w}, testStream, name, clock, func() uint64 { return 0 })
	k.writer.SetRetryDelay(0)
	k.claims = NewClaimProtocol(ProtocolConfig{Incarnation: name, AppendInterval: minInterval, ResultWait: DefaultResultWait}, k.fold)
	return k
}

func (k *agentSim) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Append:
			k.pendingAppend = func(ctx context.Context) (uint64, error) {
				return k.writer.Append(ctx, &ferrypb.Envelope{Payload: &ferrypb.Envelope_Keys{Keys: a.Batch}})
			}
		case Resolve:
			k.pendingAppend = k.writer.Resolve
		case Reply:
			k.checkVerdict(a)
		}
	}
}

func (k *agentSim) checkVerdict(r Reply) {
	if r.Verdict.Run {
		k.grants[r.ID] = r.Verdict
		return
	}
	f := r.Verdict.Failure
	if f == nil || f.Outcome != failure.NotRun {
		return
	}
	key := k.keys[r.ID]
	e, known := k.fold.Lookup(key, k.sim.now.UnixMilli())
	if known && e.Claim.RequestHash == k.hashes[r.ID] && e.Claim.Incarnation != k.claims.cfg.Incarnation {
		k.sim.t.Fatalf("key %s is claimed by another agent for the same request: outcome not_run, want another one", key)
	}
	for id := range k.executed {
		if k.keys[id] == key && k.hashes[id] == k.hashes[r.ID] {
			k.sim.t.Fatalf("key %s was executed by the same agent: outcome not_run, want another one", key)
		}
	}
}

func (k *agentSim) request() {
	k.nextID++
	k.keys[k.nextID] = rapid.SampledFrom([]string{"k1", "k2"}).Draw(k.sim.t, "key")
	k.hashes[k.nextID] = rapid.SampledFrom([]uint64{7, 7, 7, 8}).Draw(k.sim.t, "hash")
	k.perform(k.claims.Acquire(k.sim.now, k.nextID, k.keys[k.nextID], k.hashes[k.nextID]))
}

func (k *agentSim) runAppend() {
	if k.pendingAppend == nil {
		return
	}
	send := k.pendingAppend
	k.pendingAppend = nil
	offset, err := send(context.Background())
	k.pendingResult = func() { k.perform(k.claims.HandleAppendResult(k.sim.now, offset, err)) }
}

func (k *agentSim) deliverResult() {
	if k.pendingResult == nil {
		return
	}
	result := k.pendingResult
	k.pendingResult = nil
	result()
}

func (k *agentSim) poll() {
	_, _ = k.follower.Poll(context.Background())
	if k.follower.ReachedLogEnd() {
		k.claims.SetReady()
	}
	k.perform(k.claims.Tick(k.sim.now))
}

// execute runs the oldest request that has permission and was not run yet.
func (k *agentSim) execute() {
	for id := uint64(1); id <= k.nextID; id++ {
		v, ok := k.grants[id]
		if !ok || k.executed[id] || !k.sim.now.Before(v.StartBefore) {
			continue
		}
		k.executed[id] = true
		k.sim.executed[k.keys[id]]++
		return
	}
}

// finish ends the oldest request with permission to run: with its result if it ran, otherwise by abandoning it.
func (k *agentSim) finish() {
	for id := uint64(1); id <= k.nextID; id++ {
		if _, ok := k.grants[id]; !ok {
			continue
		}
		delete(k.grants, id)
		if k.executed[id] {
			k.perform(k.claims.Finish(k.sim.now, id, &ferrypb.KeyDone{Outcome: "ran", Status: 200}))
		} else {
			k.perform(k.claims.Abandon(k.sim.now, id))
		}
		return
	}
}

func (w *simulation) step(agents []*agentSim) {
	i := rapid.IntRange(0, len(agents)-1).Draw(w.t, "agent")
	k := agents[i]
	switch rapid.IntRange(0, 15).Draw(w.t, "step") {
	case 0, 1, 2:
		k.request()
	case 3, 4, 5:
		k.runAppend()
	case 6, 7:
		k.deliverResult()
	case 8, 9, 10:
		k.poll()
	case 11, 12:
		k.execute()
	case 13:
		k.finish()
	case 14:
		w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{30, 200, 2000, 6000}).Draw(w.t, "millis")) * time.Millisecond)
	case 15:
		w.injectFault(agents, i)
	}
}

func (w *simulation) injectFault(agents []*agentSim, i int) {
	switch rapid.IntRange(0, 3).Draw(w.t, "fault") {
	case 0:
		agents[i] = newAgentSim(w)
	case 1:
		w.log.SetDown(true)
	case 2:
		w.log.SetDown(false)
	case 3:
		if len(w.delayedAppends) > 0 {
			_, err := w.log.Append(context.Background(), testStream, w.delayedAppends[0])
			if err == nil {
				w.delayedAppends = w.delayedAppends[1:]
			}
		}
	}
}

// Guards against a request that is run twice, and against outcome not_run for a key that was executed or is claimed. The
// faults are lost responses, delayed appends, outages of the log, agents that crash between claim and result, and paused
// agents, in random order.
func TestKeyIsExecutedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, log: memlog.New(), now: time.Unix(1e6, 0), executed: map[string]int{}}
		agents := []*agentSim{newAgentSim(w), newAgentSim(w), newAgentSim(w)}
		for _, k := range agents {
			k.poll()
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.step(agents)
			for key, n := range w.executed {
				if n > 1 {
					t.Fatalf("executions of key %s: %d, want at most 1", key, n)
				}
			}
		}
	})
}
