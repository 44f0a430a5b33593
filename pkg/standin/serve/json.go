package serve

import (
	"encoding/json"
	"net/http"
)

// WriteJSON sends a response with the given status and value encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
