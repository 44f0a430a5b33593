package routing

import "time"

// Candidate is a runner that could serve a request.
type Candidate struct {
	Runner string
	// Address is the IP address and port of the agent.
	Address string
	// Incarnation identifies one run of the agent's process.
	Incarnation   string
	Region        string
	FailureDomain string
	// Version is that of the model that the runner has loaded; empty for services.
	Version string
	// Draining is set when the host list or the configuration drains the runner.
	Draining bool
	// PauseLeft is how long the server wants no requests; 0 if it takes them.
	PauseLeft time.Duration
	// LimitUsed is the used share of the limit of requests that the server names; 0 without a limit.
	LimitUsed float64
	// Prediction is nil if the runner was not probed or did not respond to the probe.
	Prediction *Prediction
}

// Prediction is how a runner is expected to serve the request: an agent's response to a probe, or an estimate.
type Prediction struct {
	Accepts bool
	// Code is the failure code if the agent would refuse the request.
	Code string
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// BacklogTokens is the number of prompt tokens that the runner has to process, including those of the request.
	BacklogTokens int
	// Slowness is how long work takes at the runner, as a multiple of the usual time; 0 if unknown. FirstToken includes it.
	Slowness float64
	// Streams is the number of requests in flight at the runner.
	Streams int
	// AdapterResident is set if the runner has loaded the adapter that the request names.
	AdapterResident bool
}
