package entry

import (
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// adminHandler serves liveness (/healthz), readiness (/readyz) and Prometheus metrics (/metrics).
func adminHandler(snapshots *Snapshots, gatherer prometheus.Gatherer) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !snapshots.Load().Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	router.Handle("/metrics", promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}))
	return router
}
