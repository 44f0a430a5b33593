package gateway

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/keyring"
)

// authorize finds the workspace of a request's caller in the newest view, and sets it in the job. It fails if the caller
// shows no key that is in force.
func (f *Forwarder) authorize(ctx context.Context, j *job) *failure.Failure {
	for {
		view := f.control.View()
		// The view may be newer than the one by which the route was matched.
		j.keyed = j.keyed || view.Keys != nil
		if view.Keys == nil || j.route.Public {
			return nil
		}
		var workspace *fleet.Workspace
		single := j.meta.Credential.State == CredentialKey
		if single {
			workspace = view.Keys.Workspace(j.meta.Credential.Key)
		}
		knowledge := f.control.keyKnowledge(view, time.Since(j.arrived))
		switch keyring.Decide(single, workspace != nil, knowledge) {
		case keyring.Accept:
			j.workspace = workspace
			return nil
		case keyring.TooOld:
			return failure.New(failure.NotReady, failure.NotRun, "the keys of callers cannot be checked: the configuration was last confirmed "+
				knowledge.Age.Round(time.Millisecond).String()+" ago").WithRetryAfter(notReadyRetryAfter(j.meta.Timeout, true))
		case keyring.LookAgain:
			if fail := awaitConfirmation(ctx, view, keyring.SecondLookLeft(knowledge.Waited)); fail != nil {
				return fail
			}
		default:
			return failure.New(failure.Unauthorized, failure.NotRun, "the request has no key that is in force")
		}
	}
}

// confirmationPoll is how often a request that waits for a newer configuration looks whether the present one was confirmed,
// which is no change that wakes it.
const confirmationPoll = 20 * time.Millisecond

// awaitConfirmation waits for a change of the view, for at most confirmationPoll and left.
func awaitConfirmation(ctx context.Context, view *View, left time.Duration) *failure.Failure {
	timer := time.NewTimer(min(confirmationPoll, left))
	defer timer.Stop()
	select {
	case <-view.Changed:
	case <-timer.C:
	case <-ctx.Done():
		return contextFailure(ctx)
	}
	return nil
}

// stillAuthorized reports whether the key of a request that has waited is in force still, in the newest view.
func (f *Forwarder) stillAuthorized(j *job) *failure.Failure {
	if j.workspace == nil {
		return nil
	}
	view := f.control.View()
	if view.Keys == nil {
		return nil
	}
	if w := view.Keys.Workspace(j.meta.Credential.Key); w == nil || w.Name != j.workspace.Name {
		f.log.Log(eventlog.KeyWithdrawn, "request", j.meta.RequestID, "workspace", j.workspace.Name, "key", j.meta.Credential.Key, "version", view.Config.Version)
		return failure.New(failure.Unauthorized, failure.NotRun, "the key of the request was taken away while it waited")
	}
	return nil
}

// KeysTooOld reports whether callers with a key cannot be served, because the daemon has not heard for too long which keys
// are in force.
func (c *Control) KeysTooOld() bool {
	view := c.View()
	return view.Keys != nil && c.keyKnowledge(view, 0).TooOld()
}

// logKeyAge logs when keys become too old to be accepted and when they are recent again. It returns whether they are too old;
// before is what it returned last.
func (c *Control) logKeyAge(before bool) bool {
	view := c.View()
	knowledge := c.keyKnowledge(view, 0)
	tooOld := view.Keys != nil && knowledge.TooOld()
	switch {
	case tooOld && !before:
		c.log.Log(eventlog.KeysTooOld, "age", knowledge.Age, "limit", knowledge.Limit, "version", view.Config.Version)
	case !tooOld && before:
		c.log.Log(eventlog.KeysRecent, "age", knowledge.Age, "version", c.configVersion())
	}
	return tooOld
}

// keyKnowledge returns how far the keys of a view may be relied on for a request that arrived some time ago.
func (c *Control) keyKnowledge(view *View, waited time.Duration) keyring.Knowledge {
	return keyring.Knowledge{Age: c.uptime() - view.ConfigProvenAt, Limit: c.keyLimit, Waited: waited}
}
