package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// speedCollector exports the estimated slowness of the servers of each service whose servers are known to differ.
type speedCollector struct {
	tracker *Tracker
	labels  *labelNames
	desc    *prometheus.Desc
}

// WatchSpeeds registers the gauges of the servers' estimated slowness.
func (m *Metrics) WatchSpeeds(registry *prometheus.Registry, tracker *Tracker) {
	registry.MustRegister(&speedCollector{tracker: tracker, labels: &m.services, desc: prometheus.NewDesc("ferry_gateway_server_slowness",
		"Estimated slowness of the fastest, the median and the slowest server of a service whose servers are known to differ; 1 is as usual.",
		[]string{"service", "server"}, nil)})
}

// Describe implements prometheus.Collector.
func (c *speedCollector) Describe(out chan<- *prometheus.Desc) { out <- c.desc }

// Collect implements prometheus.Collector.
func (c *speedCollector) Collect(out chan<- prometheus.Metric) {
	c.tracker.speeds.Summary(time.Now(), func(service string, fastest, median, slowest float64) {
		label := c.labels.name(service)
		if label == otherServices {
			return
		}
		for rank, value := range map[string]float64{"fastest": fastest, "median": median, "slowest": slowest} {
			out <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, value, label, rank)
		}
	})
}
