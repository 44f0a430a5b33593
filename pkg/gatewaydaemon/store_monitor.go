package gatewaydaemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/lease"
)

// StoreMonitor tells when the platform's store was restored from an earlier copy of its content.
type StoreMonitor interface {
	// OnRestore sets what is called after each restore that a response shows, with the numbers of restores known before
	// and after it. It must be set before the first call to the store.
	OnRestore(f func(previous, current int64))
}

// watchStore logs and counts the restores of the store and tells the elector of them.
func watchStore(clients *Clients, elector *lease.Elector, registry *prometheus.Registry, l *eventlog.Logger) {
	restores := prometheus.NewCounter(prometheus.CounterOpts{Name: "ferry_gateway_store_restores_total",
		Help: "Restores of the platform's store from an earlier copy that its responses have shown."})
	registry.MustRegister(restores)
	clients.Store.OnRestore(func(previous, current int64) {
		restores.Add(float64(current - previous))
		l.Log(eventlog.StoreRestored, "previous", previous, "current", current)
		elector.RecordStoreRestored()
	})
}
