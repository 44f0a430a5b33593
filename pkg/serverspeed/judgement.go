package serverspeed

// Judgement is a change in what a server counts as.
type Judgement string

// Judgements.
const (
	// Unchanged means that the server counts as what it did before.
	Unchanged Judgement = ""
	// TurnedSlow means that the server is now judged slow beside the others of its service.
	TurnedSlow Judgement = "slow"
	// TurnedFit means that the server is no longer judged slow.
	TurnedFit Judgement = "fit"
)

const (
	// slowFactor and fitFactor are the multiples of the median of the service at which a server is judged slow and fit
	// again; the gap between them keeps a server at the border from being told of again and again.
	slowFactor = 1.5
	fitFactor  = 1.2
)
