package main

import "encoding/json"

// model is the model that all requests of the language model service name.
const model = "model-1"

// putConfig writes the operator's configuration: the routes of a small deployment with the figures of the sheet.
func (w *world) putConfig(version int) error { return w.putConfigWith(version, "order-desk") }

// putConfigWith is putConfig with the service that bookings are sent to.
func (w *world) putConfigWith(version int, desk string) error {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-survey", "host": host, "path_prefix": "/survey/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 1000, "priority": 1, "service": "spec-models", "max_attempts": 2, "sticky": true, "resumable": true, "gap_aim_ms": 600},
			{"name": "r-clinic", "host": host, "path_prefix": "/clinic/", "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 3000, "priority": 1, "service": "spec-models", "max_attempts": 1, "sticky": true, "resumable": false, "gap_aim_ms": 600},
			{"name": "r-book", "host": host, "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 1000, "target_latency_ms": 400, "priority": 2, "service": desk, "max_attempts": 1},
			{"name": "r-status", "host": host, "path_prefix": "/status/", "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 400, "priority": 2, "service": "order-desk", "max_attempts": 2},
		},
		"services": []map[string]any{
			{"name": "spec-models", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 232000, "weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 2.1,
				"models": []map[string]any{{"name": model, "weights_mb": 65500.0, "load_s": 1.2, "adapters": 0, "adapter_mb": 40.0, "warm_s": 0.38, "disk_s": 0.49}}}},
			{"name": "new-desk", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
			{"name": "order-desk", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	w.store.put(w.names.get("topic_config"), "config", data)
	return nil
}
