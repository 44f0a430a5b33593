package bench

// Class is a class of requests in the load.
type Class string

// Classes of requests.
const (
	// Dossier is a request with a long prompt, which shares a long prefix with others, and a long response.
	Dossier Class = "dossier"
	// Question is a request to a model with a short prompt and a short response.
	Question Class = "question"
	// AdapterQuestion is a request to an adapter with a short prompt and a short response.
	AdapterQuestion Class = "adapter"
	// ServiceCall is a non-idempotent call to a plain service, sent with an idempotency key.
	ServiceCall Class = "service"
)

// Classes returns all classes in the order of the report.
func Classes() []Class { return []Class{Dossier, Question, AdapterQuestion, ServiceCall} }
