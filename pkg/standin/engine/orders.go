package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/faults"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

// serveOrder carries out an order. An order runs to its end also when its sender has gone.
func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		refuse(w, http.StatusBadRequest, failure.BadRequest, "order does not decode")
		return
	}
	if s.Faults.Take(func(f *faults.Switches) *int { return &f.DropOrder }) {
		s.count(func(c *Counters) { c.DroppedOrders++ })
		faults.Hangup(w)
		return
	}
	time.Sleep(time.Duration(s.Faults.Get().DelayOrderMillis) * time.Millisecond)
	if err := s.execute(order); err != nil {
		refuse(w, orderStatus(err.Code), err.Code, err.Message)
		return
	}
	serve.JSON(w, http.StatusOK, struct{}{})
}

// Execute carries out an order without its network; for tests and demos that start with loaded models.
func (s *Server) Execute(order engine.Order) error {
	if err := s.execute(order); err != nil {
		return err
	}
	return nil
}

func (s *Server) execute(order engine.Order) *failure.Failure {
	if err := s.checkFencing(order.Fencing); err != nil {
		return err
	}
	s.count(func(c *Counters) { c.Orders[order.Kind]++ })
	switch order.Kind {
	case engine.LoadModel:
		return s.loadModel(order)
	case engine.UnloadModel:
		return s.unloadModel(order)
	case engine.LoadAdapter:
		return s.loadAdapter(order)
	case engine.UnloadAdapter:
		return s.unloadAdapter(order)
	case engine.Fence:
		return nil
	default:
		return failure.New(failure.BadRequest, failure.NotRun, "order has an unknown kind")
	}
}

// checkFencing refuses an old number when the engine honours fencing, and keeps a newer one.
func (s *Server) checkFencing(fencing uint64) *failure.Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.config.HonourFencing {
		return nil
	}
	if fencing < s.fencing {
		s.counters.FencedOrders++
		return failure.New(failure.OrderFenced, failure.NotRun, "order has an old fencing number")
	}
	s.fencing = fencing
	s.changed()
	return nil
}

func (s *Server) loadModel(order engine.Order) *failure.Failure {
	key := copyKey{model: order.Model, version: order.Version}
	again, err := s.reserveModel(key, order)
	if err != nil || again {
		return err
	}
	fetched := s.fetch("model", order.Model, order.Bytes)
	if fetched == nil {
		time.Sleep(s.config.LoadTime)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadingDone(key)
	if fetched != nil {
		s.memory.free(order.Bytes)
	} else {
		s.memory.add(key, order.Bytes, order.ID)
		s.counters.Loads++
	}
	s.changed()
	return fetched
}

// reserveModel commits the memory of a load. A copy that is loaded already needs nothing, and one that is being
// loaded by another order is waited for.
func (s *Server) reserveModel(key copyKey, order engine.Order) (again bool, err *failure.Failure) {
	for {
		s.mu.Lock()
		busy, loading := s.loading[key]
		if loading {
			s.mu.Unlock()
			<-busy
			continue
		}
		defer s.mu.Unlock()
		if s.memory.copies[key] != nil {
			return true, nil
		}
		if !s.memory.reserve(order.Bytes) {
			return false, failure.New(failure.MemoryExhausted, failure.NotRun, "model does not fit")
		}
		s.loading[key] = make(chan struct{})
		s.changed()
		return false, nil
	}
}

// loadingDone ends a load; the lock is held.
func (s *Server) loadingDone(key copyKey) {
	close(s.loading[key])
	delete(s.loading, key)
}

// unloadModel frees a model. Requests of a model whose last copy goes away are cut and counted.
func (s *Server) unloadModel(order engine.Order) *failure.Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.memory.remove(order.Model, order.Version) {
		s.counters.Unloads++
	}
	if s.memory.newest(order.Model) == nil {
		s.counters.CutRequests += s.batch.remove(order.Model)
		s.cache.forget(time.Now(), order.Model, s.Faults.Get().DropCacheEvents)
	}
	s.changed()
	return nil
}

func (s *Server) loadAdapter(order engine.Order) *failure.Failure {
	again, err := s.reserveAdapter(order)
	if err != nil || again {
		return err
	}
	fetched := s.fetch("adapter", order.Adapter, order.Bytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.changed()
	model := s.memory.newest(order.Model)
	_, present := adapterOf(model, order.Adapter)
	if fetched != nil || model == nil || present {
		s.memory.free(order.Bytes)
	}
	switch {
	case fetched != nil:
		return fetched
	case model == nil:
		return failure.New(failure.NotLoaded, failure.NotRun, "model of the adapter was unloaded")
	case !present:
		model.adapters[order.Adapter] = order.Bytes
		s.counters.AdapterLoads++
	}
	return nil
}

// reserveAdapter commits the memory of a load; an adapter that is loaded already needs nothing.
func (s *Server) reserveAdapter(order engine.Order) (again bool, err *failure.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	model := s.memory.newest(order.Model)
	if model == nil {
		return false, failure.New(failure.NotLoaded, failure.NotRun, "model of the adapter is not loaded")
	}
	if _, present := adapterOf(model, order.Adapter); present {
		return true, nil
	}
	if !s.memory.reserve(order.Bytes) {
		return false, failure.New(failure.MemoryExhausted, failure.NotRun, "adapter does not fit")
	}
	s.changed()
	return false, nil
}

func (s *Server) unloadAdapter(order engine.Order) *failure.Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	model := s.memory.newest(order.Model)
	if bytes, ok := adapterOf(model, order.Adapter); ok {
		delete(model.adapters, order.Adapter)
		s.memory.free(bytes)
		s.changed()
	}
	return nil
}

func adapterOf(model *loaded, name string) (uint64, bool) {
	if model == nil {
		return 0, false
	}
	bytes, ok := model.adapters[name]
	return bytes, ok
}

// fetch gets weights from the store, if there is one.
func (s *Server) fetch(kind, name string, bytes uint64) *failure.Failure {
	if s.store == nil {
		return nil
	}
	if err := s.store.Fetch(context.Background(), kind, name, bytes); err != nil {
		return failure.Wrap(failure.OrderFailed, failure.NotRun, "weights did not arrive", err)
	}
	return nil
}

func orderStatus(code failure.Code) int {
	switch code {
	case failure.BadRequest:
		return http.StatusBadRequest
	case failure.MemoryExhausted:
		return http.StatusInsufficientStorage
	case failure.NotLoaded:
		return http.StatusNotFound
	case failure.OrderFenced:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// refuse answers with an error in the form of the OpenAI interface.
func refuse(w http.ResponseWriter, status int, code failure.Code, message string) {
	detail := engine.ErrorDetail{Message: message, Type: "engine_error", Code: code}
	serve.JSON(w, status, engine.ErrorBody{Error: detail})
}
