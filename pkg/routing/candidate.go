package routing

import "time"

// Candidate is a runner that could serve a request.
type Candidate struct {
	Runner string
	// Address is the IP address and port of the agent.
	Address string
	// Incarnation of the agent.
	Incarnation   string
	Region        string
	FailureDomain string
	// Version of the model that the runner holds; empty for services.
	Version string
	// Leaving is set when the host list or the configuration takes the runner out of service.
	Leaving bool
	// Prediction is nil when no probe answered.
	Prediction *Prediction
}

// Prediction is the answer of an agent to a probe.
type Prediction struct {
	Accepts bool
	// Code is the failure code of a refusal.
	Code string
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Backlog is the number of prompt tokens that the runner has to process, those of the request included.
	Backlog int
	// Streams is the number of requests in progress at the runner.
	Streams int
	// AdapterResident is set when the runner holds the adapter that the request names.
	AdapterResident bool
}
