package entry

import (
	"encoding/json"
	"net/http"

	"trefoilferry.example/ferry/pkg/failure"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels lists models and adapters under the names that requests use.
func (s *Server) listModels(w http.ResponseWriter, _ *http.Request, _ string) *failure.Failure {
	config := s.snapshots.Load().Config
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range config.Models() {
		list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: "ferry"})
	}
	for _, a := range config.Adapters() {
		list.Data = append(list.Data, modelItem{ID: a.Name, Object: "model", OwnedBy: "ferry"})
	}
	// Encoding cannot fail: the list has only strings and numbers.
	data, _ := json.Marshal(list)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerOutcome, string(failure.Ran))
	_, _ = w.Write(data)
	return nil
}
