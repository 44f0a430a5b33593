package object

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/object/rules1"
)

// valueReader parses the values of an object, using the defaults of its kind for absent keys.
// It ignores parse errors, since the rules have already validated the values; an invalid value would read as zero.
type valueReader struct {
	kind   rules1.Kind
	values map[string]string
}

func newReader(o *ferrypb.Object) valueReader {
	kind, _ := rules1.FindKind(o.Kind)
	return valueReader{kind: kind, values: o.Values}
}

func (r valueReader) text(name string) string {
	key, _ := r.kind.FindKey(name)
	return key.Value(r.values)
}

func (r valueReader) size(name string) uint64 {
	v, _ := rules1.ParseSize(r.text(name))
	return v
}

func (r valueReader) duration(name string) time.Duration {
	v, _ := rules1.ParseDuration(r.text(name))
	return v
}

func (r valueReader) integer(name string) int64 {
	v, _ := rules1.ParseInteger(r.text(name))
	return v
}

func (r valueReader) number(name string) float64 {
	v, _ := rules1.ParseNumber(r.text(name))
	return v
}

func (r valueReader) list(name string) []string {
	return rules1.ParseList(r.text(name))
}

func decodeModel(o *ferrypb.Object) *Model {
	r := newReader(o)
	return &Model{
		Name:                o.Name,
		Version:             r.text("version"),
		MemoryBytes:         r.size("bytes"),
		MinCopies:           int(r.integer("min_copies")),
		FirstTokenTarget:    r.duration("first_token_target"),
		BetweenTokensTarget: r.duration("between_tokens_target"),
		Priority:            int32(r.integer("priority")),
		MaxTokens:           uint32(r.integer("max_tokens")),
	}
}

func decodeAdapter(o *ferrypb.Object) *Adapter {
	r := newReader(o)
	return &Adapter{Name: o.Name, Model: r.text("model"), MemoryBytes: r.size("bytes")}
}

func decodeService(o *ferrypb.Object) *Service {
	r := newReader(o)
	return &Service{Name: o.Name, IdempotentMethods: r.list("idempotent_methods"), Timeout: r.duration("timeout")}
}

func decodeWorkspace(o *ferrypb.Object) *Workspace {
	return &Workspace{Name: o.Name, Priority: int32(newReader(o).integer("priority"))}
}

func decodeCap(o *ferrypb.Object) *Cap {
	r := newReader(o)
	kind, name, _ := rules1.ParseMember(r.text("member"))
	return &Cap{
		Name:       o.Name,
		MemberKind: MemberKind(kind),
		Member:     name,
		Share:      r.number("share"),
		MaxQueued:  int(r.integer("max_queued")),
	}
}

func decodePlacement(o *ferrypb.Object) *Placement {
	r := newReader(o)
	return &Placement{Name: o.Name, Model: r.text("model"), Regions: r.list("regions")}
}
