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

// PublishOptions tell what to publish.
type PublishOptions struct {
	// Source holds the objects to put.
	Source *object.Source
	// Deletes are objects as kind/name.
	Deletes []string
	// ReplaceAll deletes every object that the source does not hold, except drains: a drain belongs to a
	// runner that is about to be taken away, and files that do not know of it must not put it back in service.
	ReplaceAll bool
	// DryRun validates against the log and appends nothing.
	DryRun bool
	Author string
	// Wait is the longest time to wait until every daemon that answers has the change in force; 0 means not to wait.
	Wait time.Duration
}

// PublishResult is the result of a publication.
type PublishResult struct {
	// ID of the change set; empty if nothing was appended.
	ID string `json:"id,omitempty"`
	// Offset of the accepted change set, or the end of the stream if nothing was appended.
	Offset uint64 `json:"offset"`
	// Puts and Deletes are the changed objects as kind/name.
	Puts    []string `json:"puts"`
	Deletes []string `json:"deletes"`
	DryRun  bool     `json:"dry_run"`
	// InForce is present after a wait and tells whether every daemon has the change in force.
	InForce *bool `json:"in_force,omitempty"`
	// Missing names the daemons that are behind or did not answer at the end of the wait.
	Missing []string `json:"missing,omitempty"`
}

// Text returns one line for each changed object and one for the offset.
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
	if len(r.Missing) > 0 {
		b.WriteString("not in force at " + strings.Join(r.Missing, ", ") + "\n")
	}
	return b.String()
}

// Publish validates the whole resulting set, appends the change and returns its verdict.
// Failures: ObjectInvalid with all problems before anything is appended, and those of configlog.Publisher.
func (c *Client) Publish(ctx context.Context, o PublishOptions) (*PublishResult, error) {
	p, err := c.synced(ctx)
	if err != nil {
		return nil, err
	}
	change, problems := o.change(p.Fold())
	change = change.Effective(p.Fold())
	result := newPublishResult(change, o.DryRun)
	result.Offset = p.Fold().Offset()
	cs := change.Prepare(p.Fold(), c.NewID())
	problems = append(problems, o.Source.Locate(p.Fold().Validate(cs))...)
	if err := object.Refuse(problems); err != nil {
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
	c.await(ctx, result, o.Wait)
	return result, nil
}

func newPublishResult(change configlog.Change, dryRun bool) *PublishResult {
	r := &PublishResult{Puts: []string{}, Deletes: []string{}, DryRun: dryRun}
	for _, o := range change.Puts {
		r.Puts = append(r.Puts, object.Label(o))
	}
	for _, d := range change.Deletes {
		r.Deletes = append(r.Deletes, d.GetKind()+"/"+d.GetName())
	}
	return r
}

// change returns the wanted change and the faults of its deletes.
func (o PublishOptions) change(f *configlog.Fold) (configlog.Change, []object.Problem) {
	change := configlog.Change{Puts: o.Source.Objects, Author: o.Author}
	put := map[string]bool{}
	for _, wanted := range o.Source.Objects {
		put[label(wanted)] = true
	}
	if o.ReplaceAll {
		for _, current := range f.Objects() {
			if !put[label(current)] && current.Kind != object.KindDrain {
				change.Deletes = append(change.Deletes, &ferrypb.ObjectKey{Kind: current.Kind, Name: current.Name})
			}
		}
	}
	problems := o.deletes(f, put, &change)
	return change, problems
}

func (o PublishOptions) deletes(f *configlog.Fold, put map[string]bool, change *configlog.Change) []object.Problem {
	var problems []object.Problem
	for _, name := range slices.Compact(slices.Sorted(slices.Values(o.Deletes))) {
		kind, bare, ok := strings.Cut(name, "/")
		switch {
		case !ok:
			problems = append(problems, object.Problem{Object: name, Message: "object to delete needs the form kind/name"})
		case put[name]:
			problems = append(problems, object.Problem{Object: name, Message: "object is both put and deleted"})
		case f.Version(kind, bare) == 0:
			message := "object to delete does not exist" + inifile.Suggest(name, labels(f.Objects()))
			problems = append(problems, object.Problem{Object: name, Message: message})
		case !o.ReplaceAll || kind == object.KindDrain:
			change.Deletes = append(change.Deletes, &ferrypb.ObjectKey{Kind: kind, Name: bare})
		}
	}
	return problems
}

func label(o *ferrypb.Object) string { return object.Label(o) }

func labels(objects []*ferrypb.Object) []string {
	out := make([]string, 0, len(objects))
	for _, o := range objects {
		out = append(out, label(o))
	}
	return out
}
