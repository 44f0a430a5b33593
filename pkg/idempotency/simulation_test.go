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
		l.sim.log.LoseResponses(1)
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
	protocol *ClaimProtocol
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

func newAgentSim(sim *simulation) *agentSim {
	sim.started++
	name := fmt.Sprintf("agent%d", sim.started)
	clock := func() time.Time { return sim.now }
	s := &agentSim{sim: sim, fold: NewFold(DefaultKeyRetention), keys: map[uint64]string{}, hashes: map[uint64]uint64{},
		grants: map[uint64]Verdict{}, executed: map[uint64]bool{}}
	s.follower = stream.NewFollower(stream.FollowerConfig{Stream: testStream, Fold: s.fold, Log: faultLog{sim}, Now: clock})
	s.writer = stream.NewWriter(faultLog{sim}, testStream, name, clock, func() uint64 { return 0 })
	s.writer.SetRetryDelay(0)
	s.protocol = NewClaimProtocol(ProtocolConfig{Incarnation: name, AppendInterval: minInterval, ResultWait: DefaultResultWait}, s.fold)
	return s
}

func (s *agentSim) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Append:
			s.pendingAppend = func(ctx context.Context) (uint64, error) {
				return s.writer.Append(ctx, &ferrypb.Envelope{Payload: &ferrypb.Envelope_Keys{Keys: a.Batch}})
			}
		case Resolve:
			s.pendingAppend = s.writer.Resolve
		case Reply:
			s.checkVerdict(a)
		}
	}
}

func (s *agentSim) checkVerdict(r Reply) {
	if r.Verdict.Run {
		s.grants[r.ID] = r.Verdict
		return
	}
	f := r.Verdict.Failure
	if f == nil || f.Outcome != failure.NotRun {
		return
	}
	key := s.keys[r.ID]
	e, known := s.fold.Lookup(key, s.sim.now.UnixMilli())
	if known && e.Claim.RequestHash == s.hashes[r.ID] && e.Claim.Incarnation != s.protocol.cfg.Incarnation {
		s.sim.t.Fatalf("key %s is claimed by another agent for the same request: outcome not_run, want another one", key)
	}
	for id := range s.executed {
		if s.keys[id] == key && s.hashes[id] == s.hashes[r.ID] {
			s.sim.t.Fatalf("key %s was executed by the same agent: outcome not_run, want another one", key)
		}
	}
}

func (s *agentSim) request() {
	s.nextID++
	s.keys[s.nextID] = rapid.SampledFrom([]string{"k1", "k2"}).Draw(s.sim.t, "key")
	s.hashes[s.nextID] = rapid.SampledFrom([]uint64{7, 7, 7, 8}).Draw(s.sim.t, "hash")
	s.perform(s.protocol.Acquire(s.sim.now, s.nextID, s.keys[s.nextID], s.hashes[s.nextID]))
}

func (s *agentSim) runAppend() {
	if s.pendingAppend == nil {
		return
	}
	send := s.pendingAppend
	s.pendingAppend = nil
	offset, err := send(context.Background())
	s.pendingResult = func() { s.perform(s.protocol.HandleAppendResult(s.sim.now, offset, err)) }
}

func (s *agentSim) deliverResult() {
	if s.pendingResult == nil {
		return
	}
	result := s.pendingResult
	s.pendingResult = nil
	result()
}

func (s *agentSim) poll() {
	_, _ = s.follower.Poll(context.Background())
	if s.follower.ReachedLogEnd() {
		s.protocol.SetReady()
	}
	s.perform(s.protocol.Tick(s.sim.now))
}

// execute runs the oldest request that has permission and was not run yet.
func (s *agentSim) execute() {
	for id := uint64(1); id <= s.nextID; id++ {
		v, ok := s.grants[id]
		if !ok || s.executed[id] || !s.sim.now.Before(v.StartBefore) {
			continue
		}
		s.executed[id] = true
		s.sim.executed[s.keys[id]]++
		return
	}
}

// finish ends the oldest request with permission to run: with its result if it ran, otherwise by abandoning it.
func (s *agentSim) finish() {
	for id := uint64(1); id <= s.nextID; id++ {
		if _, ok := s.grants[id]; !ok {
			continue
		}
		delete(s.grants, id)
		if s.executed[id] {
			s.perform(s.protocol.Finish(s.sim.now, id, &ferrypb.KeyDone{Outcome: "ran", Status: 200}))
		} else {
			s.perform(s.protocol.Abandon(s.sim.now, id))
		}
		return
	}
}

func (sim *simulation) step(agents []*agentSim) {
	i := rapid.IntRange(0, len(agents)-1).Draw(sim.t, "agent")
	s := agents[i]
	switch rapid.IntRange(0, 15).Draw(sim.t, "step") {
	case 0, 1, 2:
		s.request()
	case 3, 4, 5:
		s.runAppend()
	case 6, 7:
		s.deliverResult()
	case 8, 9, 10:
		s.poll()
	case 11, 12:
		s.execute()
	case 13:
		s.finish()
	case 14:
		sim.now = sim.now.Add(time.Duration(rapid.SampledFrom([]int{30, 200, 2000, 6000}).Draw(sim.t, "millis")) * time.Millisecond)
	case 15:
		sim.injectFault(agents, i)
	}
}

func (sim *simulation) injectFault(agents []*agentSim, i int) {
	switch rapid.IntRange(0, 3).Draw(sim.t, "fault") {
	case 0:
		agents[i] = newAgentSim(sim)
	case 1:
		sim.log.SetDown(true)
	case 2:
		sim.log.SetDown(false)
	case 3:
		if len(sim.delayedAppends) > 0 {
			_, err := sim.log.Append(context.Background(), testStream, sim.delayedAppends[0])
			if err == nil {
				sim.delayedAppends = sim.delayedAppends[1:]
			}
		}
	}
}

// Guards against a request that is run twice, and against outcome not_run for a key that was executed or is claimed. The
// faults are lost responses, delayed appends, outages of the log, agents that crash between claim and result, and paused
// agents, in random order.
func TestKeyIsExecutedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, log: memlog.New(), now: time.Unix(1e6, 0), executed: map[string]int{}}
		agents := []*agentSim{newAgentSim(sim), newAgentSim(sim), newAgentSim(sim)}
		for _, s := range agents {
			s.poll()
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			sim.step(agents)
			for key, n := range sim.executed {
				if n > 1 {
					t.Fatalf("executions of key %s: %d, want at most 1", key, n)
				}
			}
		}
	})
}
