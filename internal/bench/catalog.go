package bench

import (
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
)

// Catalog lists the models, adapters and the service that the load addresses.
type Catalog struct {
	Models   []Member
	Adapters []Member
	// Service is the plain service that receives calls with idempotency keys; empty means none.
	Service string
}

// ReadCatalog returns the models and adapters of a configuration file, and the given service. It fails with code
// ObjectInvalid if the file cannot be read, is invalid or has no model.
func ReadCatalog(path, service string) (Catalog, error) {
	source, problems := object.ReadFiles(path)
	if len(problems) > 0 {
		return Catalog{}, object.ProblemsError(problems)
	}
	set, problems := object.NewSet(1, source.Objects)
	if len(problems) > 0 {
		return Catalog{}, object.ProblemsError(source.Locate(problems))
	}
	return catalogOf(set, service)
}

func catalogOf(set *object.Set, service string) (Catalog, error) {
	c := Catalog{Service: service}
	for _, m := range set.Models() {
		c.Models = append(c.Models, Member{Name: m.Name, Model: m.Name, FirstToken: m.FirstTokenTarget, BetweenTokens: m.BetweenTokensTarget})
	}
	for _, a := range set.Adapters() {
		base, ok := set.Model(a.Model)
		if !ok {
			continue
		}
		c.Adapters = append(c.Adapters, Member{
			Name: a.Name, Model: a.Model, Adapter: a.Name, FirstToken: base.FirstTokenTarget, BetweenTokens: base.BetweenTokensTarget,
		})
	}
	if len(c.Models) == 0 {
		return Catalog{}, failure.New(failure.ObjectInvalid, failure.NotRun, "the configuration has no model; the load needs at least one")
	}
	return c, nil
}

// modelNames returns the names of all models.
func (c Catalog) modelNames() []string {
	out := make([]string, 0, len(c.Models))
	for _, m := range c.Models {
		out = append(out, m.Name)
	}
	return out
}
