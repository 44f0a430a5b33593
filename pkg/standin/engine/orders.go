package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/faults"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

// serveOrder executes an order. The order is completed even if its client disconnects.
func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, failure.BadRequest, "cannot decode the order: "+err.Error())
		return
	}
	if s.Faults.Take(func(f *faults.Switches) *int { return &f.DropOrder }) {
		s.updateCounters(func(c *Counters) { c.DroppedOrders++ })
		faults.CloseConn(w)
		return
	}
	time.Sleep(time.Duration(s.Faults.Get().DelayOrderMillis) * time.Millisecond)
	if err := s.execute(order); err != nil {
		writeError(w, orderStatus(err.Code), err.Code, err.Message)
		return
	}
	serve.WriteJSON(w, http.StatusOK, struct{}{})
}

// Execute executes an order without HTTP, and so without the faults of orders, for tests and demos that start with
// loaded models.
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
	s.updateCounters(func(c *Counters) { c.Orders[order.Kind]++ })
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
		return failure.New(failure.BadRequest, failure.NotRun, fmt.Sprintf("unknown order kind %q", order.Kind))
	}
}

// checkFencing refuses a fencing token below the highest one seen, and records a higher one. It accepts all tokens
// unless the engine honours fencing.
func (s *Server) checkFencing(fencing uint64) *failure.Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.config.HonourFencing {
		return nil
	}
	if fencing < s.fencing {
		s.counters.FencedOrders++
		return failure.New(failure.OrderFenced, failure.NotRun, fmt.Sprintf("order has an old fencing number: %d, newest is %d", fencing, s.fencing))
	}
	s.fencing = fencing
	s.recordReport()
	return nil
}

func (s *Server) loadModel(order engine.Order) *failure.Failure {
	key := copyKey{model: order.Model, version: order.Version}
	alreadyLoaded, err := s.reserveModel(key, order)
	if err != nil || alreadyLoaded {
		return err
	}
	fetchErr := s.fetch("model", order.Model, order.Bytes)
	if fetchErr == nil {
		time.Sleep(s.config.LoadTime)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishLoading(key)
	if fetchErr != nil {
		s.memory.free(order.Bytes)
	} else {
		s.memory.add(key, order.Bytes, order.ID)
		s.counters.Loads++
	}
	s.recordReport()
	return fetchErr
}

// reserveModel reserves the memory of a load, or returns alreadyLoaded. While another order loads the same version, it
// waits for the end of that load.
func (s *Server) reserveModel(key copyKey, order engine.Order) (alreadyLoaded bool, err *failure.Failure) {
	for {
		s.mu.Lock()
		loadDone, loading := s.loading[key]
		if loading {
			s.mu.Unlock()
			<-loadDone
			continue
		}
		defer s.mu.Unlock()
		if s.memory.copies[key] != nil {
			return true, nil
		}
		if !s.memory.reserve(order.Bytes) {
			return false, failure.New(failure.MemoryExhausted, failure.NotRun,
				fmt.Sprintf("model %s does not fit: needs %d bytes, %d of %d are used", order.Model, order.Bytes, s.memory.used, s.memory.size))
		}
		s.loading[key] = make(chan struct{})
		s.recordReport()
		return false, nil
	}
}

// finishLoading wakes up orders that wait for the end of this load. The caller must hold s.mu.
func (s *Server) finishLoading(key copyKey) {
	close(s.loading[key])
	delete(s.loading, key)
}

// unloadModel frees a model. If no version of the model remains, its requests are aborted and counted and its cache
// blocks are evicted.
func (s *Server) unloadModel(order engine.Order) *failure.Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.memory.remove(order.Model, order.Version) {
		s.counters.Unloads++
	}
	if s.memory.newest(order.Model) == nil {
		s.counters.CutRequests += s.batch.abortModel(order.Model)
		s.cache.evictModel(time.Now(), order.Model, s.Faults.Get().DropCacheEvents)
	}
	s.recordReport()
	return nil
}

func (s *Server) loadAdapter(order engine.Order) *failure.Failure {
	alreadyLoaded, err := s.reserveAdapter(order)
	if err != nil || alreadyLoaded {
		return err
	}
	fetchErr := s.fetch("adapter", order.Adapter, order.Bytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.recordReport()
	model := s.memory.newest(order.Model)
	_, present := adapterBytes(model, order.Adapter)
	if fetchErr != nil || model == nil || present {
		s.memory.free(order.Bytes)
	}
	switch {
	case fetchErr != nil:
		return fetchErr
	case model == nil:
		return failure.New(failure.NotLoaded, failure.NotRun, "model "+order.Model+" was unloaded during the load of adapter "+order.Adapter)
	case !present:
		model.adapters[order.Adapter] = order.Bytes
		s.counters.AdapterLoads++
	}
	return nil
}

// reserveAdapter reserves the memory of a load, or returns alreadyLoaded.
func (s *Server) reserveAdapter(order engine.Order) (alreadyLoaded bool, err *failure.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	model := s.memory.newest(order.Model)
	if model == nil {
		return false, failure.New(failure.NotLoaded, failure.NotRun, "model "+order.Model+" of adapter "+order.Adapter+" is not loaded")
	}
	if _, present := adapterBytes(model, order.Adapter); present {
		return true, nil
	}
	if !s.memory.reserve(order.Bytes) {
		return false, failure.New(failure.MemoryExhausted, failure.NotRun,
			fmt.Sprintf("adapter %s does not fit: needs %d bytes, %d of %d are used", order.Adapter, order.Bytes, s.memory.used, s.memory.size))
	}
	s.recordReport()
	return false, nil
}

func (s *Server) unloadAdapter(order engine.Order) *failure.Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	model := s.memory.newest(order.Model)
	if bytes, ok := adapterBytes(model, order.Adapter); ok {
		delete(model.adapters, order.Adapter)
		s.memory.free(bytes)
		s.recordReport()
	}
	return nil
}

// adapterBytes returns the size of a loaded adapter and whether it is loaded. The model may be nil.
func adapterBytes(model *loadedModel, name string) (uint64, bool) {
	if model == nil {
		return 0, false
	}
	bytes, ok := model.adapters[name]
	return bytes, ok
}

// fetch fetches weights from the weight store; without a store it does nothing.
func (s *Server) fetch(kind, name string, bytes uint64) *failure.Failure {
	if s.store == nil {
		return nil
	}
	if err := s.store.Fetch(context.Background(), kind, name, bytes); err != nil {
		return failure.Wrap(failure.OrderFailed, failure.NotRun, "cannot fetch the weights of "+kind+" "+name, err)
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

// writeError responds with an error in the format of the OpenAI API.
func writeError(w http.ResponseWriter, status int, code failure.Code, message string) {
	detail := engine.ErrorDetail{Message: message, Type: "engine_error", Code: code}
	serve.WriteJSON(w, status, engine.ErrorBody{Error: detail})
}
