package entry

import "trefoilferry.example/ferry/pkg/failure"

// unavailableCodes are the refusals of runners that are restarting or leaving, or that have not loaded the model. They
// end without a change in load.
var unavailableCodes = map[failure.Code]bool{
	failure.ConnectFailed:    true,
	failure.Leaving:          true,
	failure.NotLoaded:        true,
	failure.WrongIncarnation: true,
}

// asNotLoaded converts the NotFound refusal of an agent that has not yet read an object of this host's configuration to
// NotLoaded.
func asNotLoaded(f *failure.Failure) *failure.Failure {
	if f.Code != failure.NotFound || f.Outcome != failure.NotRun {
		return f
	}
	return failure.Wrap(failure.NotLoaded, failure.NotRun, "the runner has not read the configuration of the object yet", f)
}

// asNoBackend converts the refusal of the last untried runner to NoBackend, so that the request waits for a runner until
// its deadline, because a restart takes longer than all attempts. Other refusals are bounded by the number of attempts.
func (d *Dispatcher) asNoBackend(rs *requestState, f *failure.Failure) *failure.Failure {
	if f.Outcome != failure.NotRun || !unavailableCodes[f.Code] {
		return f
	}
	// Such refusals do not count as attempts: a request that has waited for a restart must still be resumed if its stream
	// breaks later.
	rs.attempts--
	if d.hasUntriedRunner(rs) {
		return f
	}
	return failure.Wrap(failure.NoBackend, failure.NotRun, "no runner is available for "+rs.request.objectName(), f)
}

// hasUntriedRunner reports whether the policy could still choose a runner that was not tried.
func (d *Dispatcher) hasUntriedRunner(rs *requestState) bool {
	snapshot := d.snapshots.Load()
	policy, candidates := d.candidates(snapshot, rs)
	return len(policy.Filter(d.query(snapshot, rs), candidates)) > 0
}
