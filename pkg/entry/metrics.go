package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/retry"
)

// Metrics are the Prometheus metrics of the daemon.
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

// NewMetrics returns metrics that are registered with r. It panics if they are registered already.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests:      newCounterVec("ferry_entry_requests_total", "Callers' requests.", "kind", "outcome", "code"),
		attempts:      prometheus.NewCounter(prometheus.CounterOpts{Name: "ferry_entry_attempts_total", Help: "Exec calls."}),
		failures:      newCounterVec("ferry_entry_attempt_failures_total", "Failed attempts.", "code", "outcome"),
		retries:       newCounterVec("ferry_entry_retries_total", "Decisions to try again.", "action"),
		resumes:       prometheus.NewCounter(prometheus.CounterOpts{Name: "ferry_entry_resumes_total", Help: "Continued generations."}),
		firstToken:    newHistogram("ferry_entry_first_token_seconds", "Time from the request to the first data.", 0.005),
		betweenTokens: newHistogram("ferry_entry_between_tokens_seconds", "Time between data.", 0.001),
		probes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "ferry_entry_probe_seconds",
			Help:    "Time of probes.",
			Buckets: prometheus.ExponentialBuckets(0.00025, 2, 12),
		}, []string{"answered"}),
		configOffset: prometheus.NewGauge(prometheus.GaugeOpts{Name: "ferry_entry_config_offset", Help: "Configuration offset in force."}),
		controlBytes: newCounterVec("ferry_entry_control_bytes_total", "Bytes of control messages.", "direction"),
	}
	r.MustRegister(m.requests, m.attempts, m.failures, m.retries, m.resumes, m.firstToken, m.betweenTokens, m.probes, m.configOffset, m.controlBytes)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// newHistogram returns a histogram with 14 exponential buckets; the first bound is start, in seconds, and each further
// one is twice the previous.
func newHistogram(name, help string, start float64) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    name,
		Help:    help,
		Buckets: prometheus.ExponentialBuckets(start, 2, 14),
	})
}

func (m *Metrics) recordRequest(kind, outcome, code string) {
	m.requests.WithLabelValues(kind, outcome, code).Inc()
}

func (m *Metrics) recordAttemptFailure(f *failure.Failure) {
	m.failures.WithLabelValues(string(f.Code), string(f.Outcome)).Inc()
}

func (m *Metrics) recordRetry(action retry.Action) {
	m.retries.WithLabelValues(string(action)).Inc()
}

func (m *Metrics) observeProbe(d time.Duration, answered bool) {
	m.probes.WithLabelValues(strconv.FormatBool(answered)).Observe(d.Seconds())
}
