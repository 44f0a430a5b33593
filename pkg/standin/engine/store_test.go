package engine_test

import (
	"net/http/httptest"
	"testing"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	standin "trefoilferry.example/ferry/pkg/standin/engine"
	"trefoilferry.example/ferry/pkg/standin/faults"
	"trefoilferry.example/ferry/pkg/standin/store"
)

// Guards against a load that succeeds although its weights could not be fetched, and against memory that a failed load
// does not free. Orders for a model or adapter that is loaded already need no fetch.
func TestLoadFailsWithoutWeightStore(t *testing.T) {
	weights := store.New(store.Config{})
	listener := httptest.NewServer(weights)
	defer listener.Close()
	server, client := start(t, standin.Config{MemoryBytes: 100, StoreURL: listener.URL})
	model := engine.Order{ID: "o1", Kind: engine.LoadModel, Model: "m", Version: "1", Bytes: 60}
	adapter := engine.Order{ID: "o2", Kind: engine.LoadAdapter, Model: "m", Adapter: "a", Bytes: 5}
	steps := []struct {
		down  bool
		order engine.Order
		code  failure.Code
		used  uint64
	}{
		{true, model, failure.OrderFailed, 0},
		{false, model, "", 60},
		{true, adapter, failure.OrderFailed, 60},
		{false, adapter, "", 65},
		{true, model, "", 65},
		{true, adapter, "", 65},
	}
	for i, step := range steps {
		weights.Faults.Set(faults.Switches{Down: step.down})
		err := client.Order(t.Context(), step.order)
		if (err != nil) != (step.code != "") || err != nil && !failure.HasCode(err, step.code) {
			t.Errorf("step %d: error of the order: %v, want code %q", i, err, step.code)
		}
		if used := server.Counters().UsedBytes; used != step.used {
			t.Errorf("step %d: %d bytes in use, want %d", i, used, step.used)
		}
	}
	if c := weights.Counters(); c.Models != 1 || c.Adapters != 1 {
		t.Errorf("counters of the weight store: %+v, want 1 model and 1 adapter", c)
	}
}
