package agent

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
)

// Metrics are the Prometheus metrics of an agent. Times are in seconds, sizes in bytes.
type Metrics struct {
	Registry *prometheus.Registry

	exec              *prometheus.CounterVec
	execSeconds       *prometheus.HistogramVec
	firstTokenSeconds prometheus.Histogram
	queueWaitSeconds  prometheus.Histogram
	queueLength       prometheus.Gauge
	running           prometheus.Gauge
	orders            *prometheus.CounterVec
	moves             *prometheus.CounterVec
	memory            *prometheus.GaugeVec
	keyAppends        prometheus.Counter
	configOffset      prometheus.Gauge
	controlBytes      *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered in a new registry.
func NewMetrics() *Metrics {
	m := &Metrics{Registry: prometheus.NewRegistry()}
	m.exec = counters("ferry_agent_exec_total", "Exec requests by kind, outcome and failure code.", "kind", "outcome", "code")
	m.execSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "ferry_agent_exec_seconds", Help: "Time of exec requests.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 15),
	}, []string{"kind"})
	m.firstTokenSeconds = histogram("ferry_agent_first_token_seconds", "Time from the arrival of a generation to its first token.")
	m.queueWaitSeconds = histogram("ferry_agent_queue_wait_seconds", "Time in the admission queue.")
	m.queueLength = gauge("ferry_agent_queue_length", "Requests that wait for a slot.")
	m.running = gauge("ferry_agent_running", "Requests that hold a slot.")
	m.orders = counters("ferry_agent_orders_total", "Orders to the engine by kind and result.", "kind", "result")
	m.moves = counters("ferry_agent_moves_total", "Loads and unloads of models and adapters that the engine carried out.", "kind")
	m.memory = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "ferry_agent_memory_bytes", Help: "Memory for models by state."}, []string{"state"})
	m.keyAppends = prometheus.NewCounter(prometheus.CounterOpts{Name: "ferry_agent_key_appends_total", Help: "Appends of idempotency records."})
	m.configOffset = gauge("ferry_agent_config_offset", "Offset of the configuration in force.")
	m.controlBytes = counters("ferry_agent_control_bytes_total", "Bytes of control traffic by direction.", "direction")
	m.Registry.MustRegister(m.exec, m.execSeconds, m.firstTokenSeconds, m.queueWaitSeconds, m.queueLength, m.running,
		m.orders, m.moves, m.memory, m.keyAppends, m.configOffset, m.controlBytes)
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.001, 2, 15)})
}

func (m *Metrics) execDone(kind string, outcome failure.Outcome, code failure.Code, elapsed time.Duration) {
	m.exec.WithLabelValues(kind, string(outcome), string(code)).Inc()
	m.execSeconds.WithLabelValues(kind).Observe(elapsed.Seconds())
}

func (m *Metrics) queueWait(d time.Duration) { m.queueWaitSeconds.Observe(d.Seconds()) }

func (m *Metrics) firstToken(d time.Duration) { m.firstTokenSeconds.Observe(d.Seconds()) }

func (m *Metrics) setLoad(waiting, running int) {
	m.queueLength.Set(float64(waiting))
	m.running.Set(float64(running))
}

func (m *Metrics) orderDone(kind engine.OrderKind, err error) {
	result := "done"
	if err != nil {
		result = string(failure.From(err).Code)
	} else if kind != engine.Fence {
		m.moves.WithLabelValues(string(kind)).Inc()
	}
	m.orders.WithLabelValues(string(kind), result).Inc()
}

func (m *Metrics) setView(view *View) {
	m.memory.WithLabelValues("committed").Set(float64(view.CommittedBytes))
	m.memory.WithLabelValues("held").Set(float64(view.HeldBytes))
	m.memory.WithLabelValues("capacity").Set(float64(view.MemoryBytes))
	m.configOffset.Set(float64(view.ConfigOffset()))
}
