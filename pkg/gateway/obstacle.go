package gateway

// obstacle is why a request is not sent to another server.
type obstacle string

const (
	// obstacleAttempts means that the request was sent or refused as often as is permitted.
	obstacleAttempts obstacle = "attempts"
	// obstacleBudget means that the retry budget of the service is spent.
	obstacleBudget obstacle = "retry_budget"
	// obstacleQuota means that the quota of the workspace does not cover another run.
	obstacleQuota obstacle = "quota"
	// obstaclePrompt means that the prompt of the request may crash servers.
	obstaclePrompt obstacle = "prompt"
	// obstacleServer means that no other server can serve the request in time.
	obstacleServer obstacle = "server"
	// obstacleSlow means that no other server is expected to begin within the time for which two may have the request.
	obstacleSlow obstacle = "slow"
	// obstacleFinal means that another attempt can't remedy the failure or would repeat work that must not be repeated.
	obstacleFinal obstacle = "final"
)
