package ctl

import (
	"context"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/inifile"
	"trefoilferry.example/ferry/pkg/object"
)

// GetResult holds the applied configuration objects.
type GetResult struct {
	// Offset is the offset of the last configuration record read.
	Offset uint64 `json:"offset"`
	// Source is SourceLog or SourceDaemons.
	Source  string       `json:"source"`
	Objects []ObjectView `json:"objects"`

	raw []*ferrypb.Object
}

// ObjectView is the JSON form of one applied object.
type ObjectView struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the offset of the change that set the object.
	Version uint64            `json:"version"`
	Values  map[string]string `json:"values"`
}

// Text returns the objects as an INI file that the publish command accepts.
func (r *GetResult) Text() string { return sourceComment(r.Source) + object.Render(r.raw) }

// sourceComment returns an INI comment that warns of a state read from daemons, which may lack the newest changes.
func sourceComment(source string) string {
	if source == SourceDaemons {
		return "# log unavailable; as in force at the daemons\n"
	}
	return ""
}

// Get returns the objects with the given kind and name; an empty kind or name matches all.
// Failures: BadRequest for an unknown kind, NotFound for a name that no object has, LogUnavailable, OffsetExpired.
func (c *Client) Get(ctx context.Context, kind, name string) (*GetResult, error) {
	if kind != "" && !object.KnownKind(kind) {
		return nil, usageError("unknown kind " + kind + inifile.Suggest(kind, object.KindNames()))
	}
	fold, source, err := c.configState(ctx)
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
