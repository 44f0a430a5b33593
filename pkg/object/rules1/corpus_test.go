package rules1

import (
	"strings"

	"trefoilferry.example/ferry/api/ferrypb"
)

// sample is one set of objects in the test corpus. Its name is recorded in the golden file.
type sample struct {
	name    string
	objects []*ferrypb.Object
}

// newObject returns an object with the values of alternating keys and values.
func newObject(kind, name string, pairs ...string) *ferrypb.Object {
	o := &ferrypb.Object{Kind: kind, Name: name, Values: map[string]string{}}
	for i := 0; i < len(pairs); i += 2 {
		o.Values[pairs[i]] = pairs[i+1]
	}
	return o
}

func newModel(name string, pairs ...string) *ferrypb.Object {
	return newObject("model", name, append([]string{"version", "v1", "bytes", "16GiB"}, pairs...)...)
}

func newSample(name string, objects ...*ferrypb.Object) sample {
	return sample{name: name, objects: objects}
}

// corpus returns accepted and refused sets for every rule and for both sides of every bound.
func corpus() []sample {
	out := []sample{
		newSample("empty"),
		newSample("smallest of every kind", newModel("m"), newObject("adapter", "a", "model", "m", "bytes", "1B"),
			newObject("service", "s"), newObject("workspace", "w"), newObject("cap", "c", "member", "workspace/w", "share", "1"),
			newObject("placement", "p", "model", "m", "regions", "ege"), newObject("drain", "runner-1")),
		newSample("unknown kind", newObject("modal", "m")),
		newSample("unknown key", newModel("m", "bites", "1")),
		newSample("object twice", newModel("m"), newModel("m")),
		newSample("required keys", newObject("model", "m"), newObject("adapter", "a"), newObject("cap", "c"), newObject("placement", "p")),
		newSample("references", newObject("adapter", "a", "model", "x", "bytes", "1"), newObject("placement", "p", "model", "x", "regions", "r"),
			newObject("cap", "c", "member", "adapter/x", "share", "1")),
		newSample("adapter of an adapter", newModel("m"), newObject("adapter", "a", "model", "m", "bytes", "1"), newObject("adapter", "b", "model", "a", "bytes", "1")),
		newSample("callers' names", newModel("m"), newObject("adapter", "m", "model", "m", "bytes", "1")),
		newSample("same name of other kinds", newModel("m"), newObject("service", "m"), newObject("workspace", "m")),
		newSample("two caps of a member", newModel("m"), newObject("cap", "a", "member", "model/m", "share", "1"), newObject("cap", "b", "member", "model/m", "share", "1")),
		newSample("two placements of a model", newModel("m"), newObject("placement", "a", "model", "m", "regions", "r"), newObject("placement", "b", "model", "m", "regions", "q")),
		newSample("drain with a key", newObject("drain", "d", "until", "now")),
	}
	out = append(out, modelSamples("version", "", "v", strings.Repeat("v", maxValueBytes), strings.Repeat("v", maxValueBytes+1))...)
	out = append(out, modelSamples("bytes", "0", "1", "16TiB", "17TiB", "16777216TiB", "99999999TiB", "1.5GiB", "16GB", "16 GiB", "-1", "")...)
	out = append(out, modelSamples("min_copies", "0", "1", "16", "17", "2.0", "")...)
	out = append(out, modelSamples("first_token_target", "999us", "1ms", "10m", "10m1ns", "5", "1h", "-1s")...)
	out = append(out, modelSamples("between_tokens_target", "1ms", "51ms", "0")...)
	out = append(out, modelSamples("priority", "-1001", "-1000", "1000", "1001", "+5", "99999999999999999999")...)
	out = append(out, modelSamples("max_tokens", "0", "1", "1048576", "1048577")...)
	for _, name := range []string{"", ".a", "-a", "a/b", "a b", "ä", "A.b_c-9", strings.Repeat("n", maxNameBytes), strings.Repeat("n", maxNameBytes+1)} {
		out = append(out, newSample("name "+name, newObject("workspace", name)))
	}
	for _, member := range []string{"model/m", "m", "model/", "service/s", "/m", "model/m/n"} {
		out = append(out, newSample("member "+member, newModel("m"), newObject("service", "s"), newObject("cap", "c", "member", member, "share", "0.5")))
	}
	for _, share := range []string{"0", "0.0009", "0.001", "1", "1.0001", "NaN", "Inf", "1e-2", "0x1p-2", "x"} {
		out = append(out, newSample("share "+share, newModel("m"), newObject("cap", "c", "member", "model/m", "share", share)))
	}
	for _, queued := range []string{"-1", "0", "1000000", "1000001"} {
		out = append(out, newSample("max_queued "+queued, newModel("m"), newObject("cap", "c", "member", "model/m", "share", "1", "max_queued", queued)))
	}
	for _, methods := range []string{"GET", "GET,PUT", "get", "", ",", "GET, GET", "G T"} {
		out = append(out, newSample("methods "+methods, newObject("service", "s", "idempotent_methods", methods)))
	}
	for _, timeout := range []string{"999us", "1ms", "1h", "1h1ns", "30"} {
		out = append(out, newSample("timeout "+timeout, newObject("service", "s", "timeout", timeout)))
	}
	for _, regions := range []string{"ege", "ege, marmara", "ege,ege", "", " , ", "a b"} {
		out = append(out, newSample("regions "+regions, newModel("m"), newObject("placement", "p", "model", "m", "regions", regions)))
	}
	return out
}

func modelSamples(key string, values ...string) []sample {
	var out []sample
	for _, value := range values {
		out = append(out, newSample(key+" "+value, newModel("m", key, value)))
	}
	return out
}
