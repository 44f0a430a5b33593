package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/inifile"
	"trefoilferry.example/ferry/pkg/object"
)

// PublishOptions are the arguments of Publish.
type PublishOptions struct {
	// Source holds the objects to put.
	Source *object.Source
	// Deletes lists the objects to delete as kind/name.
	Deletes []string
	// ReplaceAll deletes every object that is not in Source, except drains: a drained runner is about to be removed,
	// and publishing files that do not mention its drain must not put it back into service.
	ReplaceAll bool
	// DryRun validates against the log and appends nothing.
	DryRun bool
	Author string
	// Wait is the maximum time to wait until every daemon has applied the change; 0 means no wait.
	Wait time.Duration
}

// PublishResult is the result of a publication.
type PublishResult struct {
	// ID identifies the change set; empty if nothing was appended.
	ID string `json:"id,omitempty"`
	// Offset is the offset of the accepted change set, or of the last record read if nothing was appended.
	Offset uint64 `json:"offset"`
	// Puts and Deletes list the changed objects as kind/name.
	Puts    []string `json:"puts"`
	Deletes []string `json:"deletes"`
	DryRun  bool     `json:"dry_run"`
	// InForce reports whether every daemon has applied the change; nil without a wait.
	InForce *bool `json:"in_force,omitempty"`
	// NotInForce names the daemons that were behind or did not respond at the end of the wait.
	NotInForce []string `json:"missing,omitempty"`
}

// Text returns one line per changed object and one with the offset.
func (r *PublishResult) Text() string {
	var b strings.Builder
	for _, label := range r.Puts {
		b.WriteString("put    " + label + "\n")
	}
	for _, label := range r.Deletes {
		b.WriteString("delete " + label + "\n")
	}
	switch {
	case len(r.Puts)+len(r.Deletes) == 0:
		fmt.Fprintf(&b, "nothing to change at offset %d\n", r.Offset)
	case r.DryRun:
		b.WriteString("valid; nothing was published\n")
	default:
		fmt.Fprintf(&b, "accepted at offset %d\n", r.Offset)
	}
	if r.InForce != nil && *r.InForce {
		b.WriteString("in force everywhere\n")
	}
	if len(r.NotInForce) > 0 {
		b.WriteString("not in force at " + strings.Join(r.NotInForce, ", ") + "\n")
	}
	return b.String()
}

// Publish validates the configuration that the change would result in, appends the change set and waits for its verdict.
// Failures: ObjectInvalid with all problems, in which case nothing was appended, and those of configlog.Publisher.
func (c *Client) Publish(ctx context.Context, o PublishOptions) (*PublishResult, error) {
	p, err := c.syncedPublisher(ctx)
	if err != nil {
		return nil, err
	}
	change, problems := o.buildChange(p.Fold())
	change = change.Effective(p.Fold())
	result := newPublishResult(change, o.DryRun)
	result.Offset = p.Fold().Offset()
	cs := change.Prepare(p.Fold(), c.NewID())
	problems = append(problems, o.Source.Locate(p.Fold().Validate(cs))...)
	if err := object.ProblemsError(problems); err != nil {
		return nil, err
	}
	if change.IsEmpty() || o.DryRun {
		return result, nil
	}
	entry, err := p.Submit(ctx, cs)
	if err != nil {
		return nil, err
	}
	result.ID = cs.GetId()
	result.Offset = entry.GetOffset()
	c.waitInForce(ctx, result, o.Wait)
	return result, nil
}

func newPublishResult(change configlog.Change, dryRun bool) *PublishResult {
	r := &PublishResult{Puts: []string{}, Deletes: []string{}, DryRun: dryRun}
	for _, o := range change.Puts {
		r.Puts = append(r.Puts, object.QualifiedName(o))
	}
	for _, d := range change.Deletes {
		r.Deletes = append(r.Deletes, d.GetKind()+"/"+d.GetName())
	}
	return r
}

// buildChange returns the requested change and the problems of its deletes.
func (o PublishOptions) buildChange(f *configlog.Fold) (configlog.Change, []object.Problem) {
	change := configlog.Change{Puts: o.Source.Objects, Author: o.Author}
	putLabels := map[string]bool{}
	for _, wanted := range o.Source.Objects {
		putLabels[label(wanted)] = true
	}
	if o.ReplaceAll {
		for _, current := range f.Objects() {
			if !putLabels[label(current)] && current.Kind != object.KindDrain {
				change.Deletes = append(change.Deletes, &ferrypb.ObjectKey{Kind: current.Kind, Name: current.Name})
			}
		}
	}
	problems := o.addDeletes(f, putLabels, &change)
	return change, problems
}

// addDeletes adds the valid ones of o.Deletes to change and returns the problems of the others. With ReplaceAll the
// change already deletes everything but drains.
func (o PublishOptions) addDeletes(f *configlog.Fold, putLabels map[string]bool, change *configlog.Change) []object.Problem {
	var problems []object.Problem
	for _, deleteLabel := range slices.Compact(slices.Sorted(slices.Values(o.Deletes))) {
		kind, name, ok := strings.Cut(deleteLabel, "/")
		switch {
		case !ok:
			problems = append(problems, object.Problem{Object: deleteLabel, Message: "object to delete needs the form kind/name"})
		case putLabels[deleteLabel]:
			problems = append(problems, object.Problem{Object: deleteLabel, Message: "object is both put and deleted"})
		case f.Version(kind, name) == 0:
			message := "object to delete does not exist" + inifile.Suggest(deleteLabel, labels(f.Objects()))
			problems = append(problems, object.Problem{Object: deleteLabel, Message: message})
		case !o.ReplaceAll || kind == object.KindDrain:
			change.Deletes = append(change.Deletes, &ferrypb.ObjectKey{Kind: kind, Name: name})
		}
	}
	return problems
}

func label(o *ferrypb.Object) string { return object.QualifiedName(o) }

func labels(objects []*ferrypb.Object) []string {
	out := make([]string, 0, len(objects))
	for _, o := range objects {
		out = append(out, label(o))
	}
	return out
}
