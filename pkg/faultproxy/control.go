package faultproxy

import (
	"encoding/json"
	"net/http"
)

// Counters is the response to GET /counters.
type Counters struct {
	// Total is the number of connections accepted so far, Open the number open now.
	Total int `json:"total"`
	Open  int `json:"open"`
}

// Control returns the HTTP handler for remote control of the proxy: GET and POST /faults, POST /cut and GET /counters.
// A POST to /faults changes the switches named in its body and keeps the others. POST /cut resets all open connections.
func (p *Proxy) Control() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Faults()) })
	routes.HandleFunc("POST /faults", p.serveFaults)
	routes.HandleFunc("POST /cut", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int{"cut": p.ResetConnections()})
	})
	routes.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, Counters{Total: p.TotalConnections(), Open: p.OpenConnections()})
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
	if err := p.SetFaults(next); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, p.Faults())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
