package rules1

import (
	"strings"

	"trefoilferry.example/ferry/api/ferrypb"
)

// sample is one set of the corpus.
type sample struct {
	name    string
	objects []*ferrypb.Object
}

// obj builds an object from key, value pairs.
func obj(kind, name string, pairs ...string) *ferrypb.Object {
	o := &ferrypb.Object{Kind: kind, Name: name, Values: map[string]string{}}
	for i := 0; i < len(pairs); i += 2 {
		o.Values[pairs[i]] = pairs[i+1]
	}
	return o
}

func model(name string, pairs ...string) *ferrypb.Object {
	return obj("model", name, append([]string{"version", "v1", "bytes", "16GiB"}, pairs...)...)
}

func sets(name string, objects ...*ferrypb.Object) sample {
	return sample{name: name, objects: objects}
}

// corpus holds accepted and refused sets for every rule and both sides of every bound.
func corpus() []sample {
	out := []sample{
		sets("empty"),
		sets("smallest of every kind", model("m"), obj("adapter", "a", "model", "m", "bytes", "1B"),
			obj("service", "s"), obj("workspace", "w"), obj("cap", "c", "member", "workspace/w", "share", "1"),
			obj("placement", "p", "model", "m", "regions", "ege"), obj("drain", "runner-1")),
		sets("unknown kind", obj("modal", "m")),
		sets("unknown key", model("m", "bites", "1")),
		sets("object twice", model("m"), model("m")),
		sets("required keys", obj("model", "m"), obj("adapter", "a"), obj("cap", "c"), obj("placement", "p")),
		sets("references", obj("adapter", "a", "model", "x", "bytes", "1"), obj("placement", "p", "model", "x", "regions", "r"),
			obj("cap", "c", "member", "adapter/x", "share", "1")),
		sets("adapter of an adapter", model("m"), obj("adapter", "a", "model", "m", "bytes", "1"), obj("adapter", "b", "model", "a", "bytes", "1")),
		sets("callers' names", model("m"), obj("adapter", "m", "model", "m", "bytes", "1")),
		sets("same name of other kinds", model("m"), obj("service", "m"), obj("workspace", "m")),
		sets("two caps of a member", model("m"), obj("cap", "a", "member", "model/m", "share", "1"), obj("cap", "b", "member", "model/m", "share", "1")),
		sets("two placements of a model", model("m"), obj("placement", "a", "model", "m", "regions", "r"), obj("placement", "b", "model", "m", "regions", "q")),
		sets("drain with a key", obj("drain", "d", "until", "now")),
	}
	out = append(out, valuesOf("version", "", "v", strings.Repeat("v", maxValue), strings.Repeat("v", maxValue+1))...)
	out = append(out, valuesOf("bytes", "0", "1", "16TiB", "17TiB", "16777216TiB", "99999999TiB", "1.5GiB", "16GB", "16 GiB", "-1", "")...)
	out = append(out, valuesOf("min_copies", "0", "1", "16", "17", "2.0", "")...)
	out = append(out, valuesOf("first_token_target", "999us", "1ms", "10m", "10m1ns", "5", "1h", "-1s")...)
	out = append(out, valuesOf("between_tokens_target", "1ms", "51ms", "0")...)
	out = append(out, valuesOf("priority", "-1001", "-1000", "1000", "1001", "+5", "99999999999999999999")...)
	out = append(out, valuesOf("max_tokens", "0", "1", "1048576", "1048577")...)
	for _, name := range []string{"", ".a", "-a", "a/b", "a b", "ä", "A.b_c-9", strings.Repeat("n", maxName), strings.Repeat("n", maxName+1)} {
		out = append(out, sets("name "+name, obj("workspace", name)))
	}
	for _, member := range []string{"model/m", "m", "model/", "service/s", "/m", "model/m/n"} {
		out = append(out, sets("member "+member, model("m"), obj("service", "s"), obj("cap", "c", "member", member, "share", "0.5")))
	}
	for _, share := range []string{"0", "0.0009", "0.001", "1", "1.0001", "NaN", "Inf", "1e-2", "0x1p-2", "x"} {
		out = append(out, sets("share "+share, model("m"), obj("cap", "c", "member", "model/m", "share", share)))
	}
	for _, queued := range []string{"-1", "0", "1000000", "1000001"} {
		out = append(out, sets("max_queued "+queued, model("m"), obj("cap", "c", "member", "model/m", "share", "1", "max_queued", queued)))
	}
	for _, methods := range []string{"GET", "GET,PUT", "get", "", ",", "GET, GET", "G T"} {
		out = append(out, sets("methods "+methods, obj("service", "s", "idempotent_methods", methods)))
	}
	for _, timeout := range []string{"999us", "1ms", "1h", "1h1ns", "30"} {
		out = append(out, sets("timeout "+timeout, obj("service", "s", "timeout", timeout)))
	}
	for _, regions := range []string{"ege", "ege, marmara", "ege,ege", "", " , ", "a b"} {
		out = append(out, sets("regions "+regions, model("m"), obj("placement", "p", "model", "m", "regions", regions)))
	}
	return out
}

func valuesOf(key string, values ...string) []sample {
	var out []sample
	for _, value := range values {
		out = append(out, sets(key+" "+value, model("m", key, value)))
	}
	return out
}
