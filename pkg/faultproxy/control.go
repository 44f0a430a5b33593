package faultproxy

import (
	"encoding/json"
	"net/http"
)

// Counters are the figures at GET /counters.
type Counters struct {
	Total int `json:"total"`
	Open  int `json:"open"`
}

// Control returns the handler of a control server: GET and POST /faults, POST /cut and GET /counters. A POST to
// /faults changes the switches it names and keeps the others.
func (p *Proxy) Control() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Faults()) })
	routes.HandleFunc("POST /faults", p.serveFaults)
	routes.HandleFunc("POST /cut", func(w http.ResponseWriter, _ *http.Request) { reply(w, map[string]int{"cut": p.Cut()}) })
	routes.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, Counters{Total: p.Total(), Open: p.Open()})
	})
	return routes
}

func (p *Proxy) serveFaults(w http.ResponseWriter, r *http.Request) {
	next := p.Faults()
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.Set(next); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	reply(w, p.Faults())
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
