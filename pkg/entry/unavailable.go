package entry

import "trefoilferry.example/ferry/pkg/failure"

// absent lists the refusals of runners that are restarting, leaving or not loaded. They pass without a change in load.
var absent = map[failure.Code]bool{
	failure.ConnectFailed:    true,
	failure.Leaving:          true,
	failure.NotLoaded:        true,
	failure.WrongIncarnation: true,
}

// notYetKnown converts the refusal of an agent that has not read an object that is in force here.
func notYetKnown(f *failure.Failure) *failure.Failure {
	if f.Code != failure.NotFound || f.Outcome != failure.NotRun {
		return f
	}
	return failure.Wrap(failure.NotLoaded, failure.NotRun, "the runner does not know the object yet", f)
}

// unavailable turns the refusal of the last holder into NoBackend, so that the request waits for a holder up to
// its deadline: a restart takes longer than all attempts. Other refusals stay bounded by the number of attempts.
func (d *Dispatcher) unavailable(j *job, f *failure.Failure) *failure.Failure {
	if f.Outcome != failure.NotRun || !absent[f.Code] {
		return f
	}
	// Refused attempts leave the number of attempts to those that can do work: a request that waited for a
	// restart must still be resumed when its stream breaks later.
	j.attempts--
	if d.untried(j) {
		return f
	}
	return failure.Wrap(failure.NoBackend, failure.NotRun, "no runner is available for "+j.request.object(), f)
}

// untried reports whether a runner is left that would be chosen and has not failed the request.
func (d *Dispatcher) untried(j *job) bool {
	snapshot := d.snapshots.Load()
	policy, candidates := d.holders(snapshot, j)
	return len(policy.Filter(d.query(snapshot, j), candidates)) > 0
}
