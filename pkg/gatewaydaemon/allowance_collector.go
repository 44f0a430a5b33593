package gatewaydaemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"trefoilferry.example/ferry/pkg/allowance"
)

// allowanceCollector exports this daemon's totals of each shared allowance. The configuration bounds the number of labels.
type allowanceCollector struct {
	table *allowance.Table
	units *prometheus.Desc
}

func newAllowanceCollector(table *allowance.Table) *allowanceCollector {
	return &allowanceCollector{table: table, units: prometheus.NewDesc("ferry_gateway_allowance_units_total",
		"Units of a shared allowance at this daemon: asked by requests, taken by them, refused to them, lent by the lease holder, and lapsed unused.",
		[]string{"allowance", "what"}, nil)}
}

// Describe implements prometheus.Collector.
func (c *allowanceCollector) Describe(out chan<- *prometheus.Desc) { out <- c.units }

// Collect implements prometheus.Collector.
func (c *allowanceCollector) Collect(out chan<- prometheus.Metric) {
	for name, s := range c.table.Stats() {
		for what, units := range map[string]float64{"asked": s.Asked, "taken": s.Taken, "refused": s.Refused, "lent": s.Lent, "lapsed": s.Lapsed} {
			out <- prometheus.MustNewConstMetric(c.units, prometheus.CounterValue, units, name, what)
		}
	}
}
