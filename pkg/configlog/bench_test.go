package configlog

import (
	"fmt"
	"testing"

	"trefoilferry.example/ferry/api/ferrypb"
)

// Guards against a replay that exceeds a daemon's start-up time. The configuration has the target size: 640 models
// and 2,000 adapters.
func BenchmarkApply(b *testing.B) {
	f := NewFold()
	var objects []*ferrypb.Object
	for i := range 640 {
		objects = append(objects, model(fmt.Sprintf("m%d", i), "1"))
	}
	for i := range 2000 {
		objects = append(objects, adapter(fmt.Sprintf("x%d", i), fmt.Sprintf("m%d", i%640)))
	}
	f.Apply(1, record(Change{Puts: objects}.Prepare(f, "all")))
	offset := uint64(1)
	for b.Loop() {
		offset++
		change := Change{Puts: []*ferrypb.Object{model("m5", fmt.Sprint(offset))}}
		f.Apply(offset, record(change.Prepare(f, fmt.Sprint(offset))))
	}
	if f.Version("model", "m5") != offset {
		b.Fatalf("version of model m5: %d, want %d", f.Version("model", "m5"), offset)
	}
}
