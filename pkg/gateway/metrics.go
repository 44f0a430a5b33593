package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"trefoilferry.example/ferry/pkg/failure"
)

// Metrics are the counters and latency histograms of the daemon.
type Metrics struct {
	requests   *prometheus.CounterVec
	results    *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	durations  *prometheus.HistogramVec
	firstEvent prometheus.Histogram
	aborted    *prometheus.CounterVec
	silences   *prometheus.CounterVec
	handovers  *prometheus.CounterVec
	crashes    prometheus.Counter
	suspects   prometheus.Histogram
	pauses     prometheus.Counter
	told       *prometheus.CounterVec
	turned     *prometheus.CounterVec
	prediction *prometheus.HistogramVec
	services   labelNames
	backlogs   prometheus.Histogram
	slow       *prometheus.CounterVec
}

// latencyBuckets are bucket bounds in seconds, from plain responses of some milliseconds to long streams.
var latencyBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8}

// predictionBuckets are the bounds of the ratios of actual to predicted times, in steps of the square root of 2 around 1.
var predictionBuckets = []float64{0.125, 0.25, 0.35, 0.5, 0.71, 1, 1.41, 2, 2.83, 4, 8, 16}

// NewMetrics registers the metrics.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{
		requests:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ferry_gateway_requests_total", Help: "Accepted requests."}, []string{"kind"}),
		results:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ferry_gateway_results_total", Help: "Ended requests by result code."}, []string{"kind", "code"}),
		attempts:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ferry_gateway_failed_attempts_total", Help: "Failed attempts by code and outcome."}, []string{"code", "outcome"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "ferry_gateway_request_seconds", Help: "Time of served requests.", Buckets: latencyBuckets}, []string{"kind"}),
	}
	m.firstEvent = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "ferry_gateway_first_event_seconds", Help: "Time to the first event of served streams.", Buckets: latencyBuckets})
	m.aborted = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ferry_gateway_aborted_responses_total", Help: "Connections of callers closed before a complete response, by code."}, []string{"code"})
	m.silences = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ferry_gateway_silent_servers_total", Help: "Attempts whose server was silent for longer than expected, by what kept the request there; none if it was offered to another server."}, []string{"not_moved"})
	m.crashes = prometheus.NewCounter(prometheus.CounterOpts{Name: "ferry_gateway_server_crashes_total", Help: "Servers that ended with requests of this daemon in progress."})
	m.suspects = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "ferry_gateway_crash_suspects", Help: "Requests at a server that crashed without a response that it survived.", Buckets: prometheus.ExponentialBuckets(1, 2, 7)})
	m.pauses = prometheus.NewCounter(prometheus.CounterOpts{Name: "ferry_gateway_pause_refusals_total", Help: "Requests refused because all servers that can run them pause or leave."})
	m.turned = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ferry_gateway_turned_attempts_total", Help: "Attempts for which a server that could run the request was passed over, because it leaves or pauses."}, []string{"reason"})
	m.told = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ferry_gateway_failures_told_total", Help: "Failed requests by the status that callers were told, 0 for an aborted stream, and by whether a backend server may have run them."}, []string{"status", "outcome"})
	m.prediction = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "ferry_gateway_prediction_ratio", Help: "Time to the first event, or to the whole of a buffered response, as a multiple of the predicted one, by service.", Buckets: predictionBuckets}, []string{"service"})
	m.backlogs = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "ferry_gateway_backlog_bytes", Help: "Most bytes held for the caller of a stream that did not keep up.", Buckets: prometheus.ExponentialBuckets(1<<10, 4, 6)})
	m.slow = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ferry_gateway_slow_callers_total", Help: "Responses ended because their callers read too slowly, by reason."}, []string{"reason"})
	m.handovers = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ferry_gateway_handovers_total", Help: "Requests of silent servers that were offered to another one, by who has them then: move is the other server, stay and withdraw the silent one."}, []string{"result"})
	registry.MustRegister(m.prediction, m.backlogs, m.slow, m.told, m.requests, m.results, m.attempts, m.durations, m.firstEvent, m.aborted, m.silences, m.handovers, m.crashes, m.suspects, m.pauses, m.turned)
	return m
}

func (m *Metrics) recordPrediction(j *job, c *choice, took time.Duration) {
	if c.predicted > 0 {
		m.prediction.WithLabelValues(m.services.name(j.service.Name)).Observe(float64(took) / float64(c.predicted))
	}
}

func (m *Metrics) recordRequest(j *job) { m.requests.WithLabelValues(string(j.route.Kind)).Inc() }

func (m *Metrics) recordServed(j *job, took, first time.Duration) {
	m.results.WithLabelValues(string(j.route.Kind), "served").Inc()
	m.durations.WithLabelValues(string(j.route.Kind)).Observe(took.Seconds())
	if first > 0 {
		m.firstEvent.Observe(first.Seconds())
	}
}

func (m *Metrics) recordFailure(j *job, fail *failure.Failure) {
	m.results.WithLabelValues(string(j.route.Kind), string(fail.Code)).Inc()
}

func (m *Metrics) recordRefusal(fail *failure.Failure) {
	m.results.WithLabelValues("none", string(fail.Code)).Inc()
}

func (m *Metrics) recordAborted(fail *failure.Failure) {
	m.aborted.WithLabelValues(string(fail.Code)).Inc()
}

// recordSilence counts a silent server; an empty obstacle means that its request was offered to another one.
func (m *Metrics) recordSilence(why obstacle) {
	if why == "" {
		why = "none"
	}
	m.silences.WithLabelValues(string(why)).Inc()
}

// recordHandover counts an offer of a silent server's request to another one by how it was settled.
func (m *Metrics) recordHandover(step handoverStep) { m.handovers.WithLabelValues(string(step)).Inc() }

func (m *Metrics) recordAttemptFailure(fail *failure.Failure) {
	m.attempts.WithLabelValues(string(fail.Code), string(fail.Outcome)).Inc()
}

// recordTold counts a failed request by the status that its caller is told.
func (m *Metrics) recordTold(status int, outcome failure.Outcome) {
	m.told.WithLabelValues(strconv.Itoa(status), string(outcome)).Inc()
}

func (m *Metrics) recordPauseRefusal() { m.pauses.Inc() }

// recordTurned counts an attempt for which servers were passed over.
func (m *Metrics) recordTurned(c *choice) {
	if c.leaving {
		m.turned.WithLabelValues("leaving").Inc()
	}
	if c.paused {
		m.turned.WithLabelValues("paused").Inc()
	}
}

func (m *Metrics) recordBacklog(peak int) { m.backlogs.Observe(float64(peak)) }

func (m *Metrics) recordSlowCaller(reason slowReason) { m.slow.WithLabelValues(string(reason)).Inc() }

func (m *Metrics) recordCrash(suspects int) {
	m.crashes.Inc()
	m.suspects.Observe(float64(suspects))
}
