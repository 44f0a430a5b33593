package ctl

import (
	"context"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/inifile"
	"trefoilferry.example/ferry/pkg/object"
)

// GetResult holds objects in force.
type GetResult struct {
	// Offset of the last record read.
	Offset uint64 `json:"offset"`
	// Source is SourceLog or SourceDaemons.
	Source  string       `json:"source"`
	Objects []ObjectView `json:"objects"`

	raw []*ferrypb.Object
}

// ObjectView is one object in force.
type ObjectView struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the offset of the change that set the object.
	Version uint64            `json:"version"`
	Values  map[string]string `json:"values"`
}

// Text returns the objects as INI that can be published again.
func (r *GetResult) Text() string { return sourceNote(r.Source) + object.Render(r.raw) }

// sourceNote returns an INI comment for a state that may lack the newest changes.
func sourceNote(source string) string {
	if source == SourceDaemons {
		return "# log unavailable; as in force at the daemons\n"
	}
	return ""
}

// Get returns the objects of a kind and name; empty ones match all.
// Failures: NotFound for a name without an object, LogUnavailable, OffsetExpired.
func (c *Client) Get(ctx context.Context, kind, name string) (*GetResult, error) {
	if kind != "" && !object.KnownKind(kind) {
		return nil, usage("unknown kind " + kind + inifile.Suggest(kind, object.KindNames()))
	}
	fold, source, err := c.state(ctx)
	if err != nil {
		return nil, err
	}
	result := &GetResult{Offset: fold.Offset(), Source: source, Objects: []ObjectView{}}
	for _, o := range fold.Objects() {
		if (kind == "" || kind == o.Kind) && (name == "" || name == o.Name) {
			result.add(o, fold.Version(o.Kind, o.Name))
		}
	}
	if name != "" && len(result.raw) == 0 {
		message := "no " + kind + " " + name + inifile.Suggest(kind+"/"+name, labels(fold.Objects()))
		return nil, failure.New(failure.NotFound, failure.NotRun, message).WithObject(kind + "/" + name)
	}
	return result, nil
}

func (r *GetResult) add(o *ferrypb.Object, version uint64) {
	view := ObjectView{Kind: o.Kind, Name: o.Name, Version: version, Values: o.Values}
	if view.Values == nil {
		view.Values = map[string]string{}
	}
	r.Objects = append(r.Objects, view)
	r.raw = append(r.raw, o)
}
