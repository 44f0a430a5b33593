package bench

// Class is a kind of request in the load.
type Class string

// Classes of requests.
const (
	// Dossier has a long prompt with a shared prefix and a long answer.
	Dossier Class = "dossier"
	// Question has a short prompt and a short answer.
	Question Class = "question"
	// AdapterQuestion is a short request to an adapter.
	AdapterQuestion Class = "adapter"
	// ServiceCall is a non-idempotent call of a plain service with an idempotency key.
	ServiceCall Class = "service"
)

// Classes returns all classes in report order.
func Classes() []Class { return []Class{Dossier, Question, AdapterQuestion, ServiceCall} }
