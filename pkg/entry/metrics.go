package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/retry"
)

// Metrics are the daemon's metrics.
type Metrics struct {
	requests      *prometheus.CounterVec
	attempts      prometheus.Counter
	failures      *prometheus.CounterVec
	retries       *prometheus.CounterVec
	resumes       prometheus.Counter
	firstToken    prometheus.Histogram
	betweenTokens prometheus.Histogram
	probes        *prometheus.HistogramVec
	configOffset  prometheus.Gauge
	controlBytes  *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests:      counters("ferry_entry_requests_total", "Callers' requests.", "kind", "outcome", "code"),
		attempts:      prometheus.NewCounter(prometheus.CounterOpts{Name: "ferry_entry_attempts_total", Help: "Exec calls."}),
		failures:      counters("ferry_entry_attempt_failures_total", "Failed attempts.", "code", "outcome"),
		retries:       counters("ferry_entry_retries_total", "Decisions to try again.", "action"),
		resumes:       prometheus.NewCounter(prometheus.CounterOpts{Name: "ferry_entry_resumes_total", Help: "Continued generations."}),
		firstToken:    histogram("ferry_entry_first_token_seconds", "Time from the request to the first data.", 0.005),
		betweenTokens: histogram("ferry_entry_between_tokens_seconds", "Time between data.", 0.001),
		probes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "ferry_entry_probe_seconds",
			Help:    "Time of probes.",
			Buckets: prometheus.ExponentialBuckets(0.00025, 2, 12),
		}, []string{"answered"}),
		configOffset: prometheus.NewGauge(prometheus.GaugeOpts{Name: "ferry_entry_config_offset", Help: "Configuration offset in force."}),
		controlBytes: counters("ferry_entry_control_bytes_total", "Bytes of control messages.", "direction"),
	}
	r.MustRegister(m.requests, m.attempts, m.failures, m.retries, m.resumes, m.firstToken, m.betweenTokens, m.probes, m.configOffset, m.controlBytes)
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// histogram has 14 buckets that double from start seconds.
func histogram(name, help string, start float64) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    name,
		Help:    help,
		Buckets: prometheus.ExponentialBuckets(start, 2, 14),
	})
}

func (m *Metrics) request(kind, outcome, code string) {
	m.requests.WithLabelValues(kind, outcome, code).Inc()
}

func (m *Metrics) attemptFailed(f *failure.Failure) {
	m.failures.WithLabelValues(string(f.Code), string(f.Outcome)).Inc()
}

func (m *Metrics) retried(action retry.Action) {
	m.retries.WithLabelValues(string(action)).Inc()
}

func (m *Metrics) probe(d time.Duration, answered bool) {
	m.probes.WithLabelValues(strconv.FormatBool(answered)).Observe(d.Seconds())
}
