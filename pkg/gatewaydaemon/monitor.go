package gatewaydaemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/lease"
)

// Monitor tells what the clients of the platform find out about records of others. What is called must be set before the
// first call of a client.
type Monitor interface {
	// OnRestore sets what is called after each restore of the store from an earlier copy that a response shows, with the
	// numbers of restores known before and after it.
	OnRestore(f func(previous, current int64))
	// OnRefusal sets what is called for records that cannot be used: with their kind and key, the reason, and the number of
	// refusals that were not told before, because there were too many.
	OnRefusal(f func(record, key, reason string, omitted int))
}

// watchRecords logs refused records and restores of the store. It counts the restores and tells the elector of them.
func watchRecords(clients *Clients, elector *lease.Elector, registry *prometheus.Registry, l *eventlog.Logger) {
	restores := prometheus.NewCounter(prometheus.CounterOpts{Name: "ferry_gateway_store_restores_total",
		Help: "Restores of the platform's store from an earlier copy that its responses have shown."})
	registry.MustRegister(restores)
	clients.Monitor.OnRestore(func(previous, current int64) {
		restores.Add(float64(current - previous))
		l.Log(eventlog.StoreRestored, "previous", previous, "current", current)
		elector.RecordStoreRestored()
	})
	clients.Monitor.OnRefusal(func(record, key, reason string, omitted int) {
		l.Log(eventlog.OutsideRecordRefused, "record", record, "key", key, "reason", reason, "omitted", omitted)
	})
}
