package verdict

import (
	"net/http"

	"trefoilferry.example/ferry/pkg/failure"
)

// Response is what the head of a backend server's response tells about its request. The zero value stands for no response.
type Response struct {
	Status int
	// Declared is set if the server declares that it did not run the request.
	Declared bool
	// Signed is set if the response carries the signature of a backend server.
	Signed bool
	// Encoded is set if the body has a content coding; backend servers send none.
	Encoded bool
}

// Judgement is what follows from a response.
type Judgement struct {
	Outcome failure.Outcome
	// Code is that of the attempt's failure; empty if the response is a success.
	Code failure.Code
	// Deliverable is set if the caller may get the response as it is.
	Deliverable bool
	Evidence    Evidence
}

// Evidence names what a judgement goes by, for logs and metrics.
type Evidence string

const (
	// EvidenceDeclared is a refusal that declares that the request was not run.
	EvidenceDeclared Evidence = "declared"
	// EvidenceMisdirected is status 421, which needs no declaration: the request was for another server.
	EvidenceMisdirected Evidence = "misdirected"
	// EvidenceContradictory is a declaration in a response whose status says that the request was run.
	EvidenceContradictory Evidence = "contradictory"
	// EvidenceUndeclared is a status that promises callers "not run", from a server that does not declare it.
	EvidenceUndeclared Evidence = "undeclared"
	// EvidenceForeign is a response that does not come from a backend server.
	EvidenceForeign Evidence = "foreign"
	// EvidenceAnswered is a response of a backend server that ran the request.
	EvidenceAnswered Evidence = "answered"
)

// Judge judges a response whose head is complete.
//
// A response that promises "not run" without declaring it is withheld from callers of every kind: the server may have run
// the request, and a caller that trusts the status sends it again as new work. The server's status cannot be changed under
// its signature either, so the caller gets a failure of the gateway, which promises nothing.
func Judge(r Response) Judgement {
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		return Judgement{Outcome: failure.NotRun, Code: failure.WrongIncarnation, Evidence: EvidenceMisdirected}
	case r.Declared && refuses(r.Status):
		return Judgement{Outcome: failure.NotRun, Code: failure.Overloaded, Evidence: EvidenceDeclared}
	case r.Declared:
		return Judgement{Outcome: failure.Unknown, Code: failure.FrameMismatch, Evidence: EvidenceContradictory}
	case !r.Signed || r.Encoded:
		return Judgement{Outcome: failure.Unknown, Code: failure.FrameMismatch, Evidence: EvidenceForeign}
	case PromisesNotRun(r.Status):
		return Judgement{Outcome: failure.Ran, Code: failure.EngineFailed, Evidence: EvidenceUndeclared}
	case r.Status >= http.StatusInternalServerError:
		return Judgement{Outcome: failure.Ran, Code: failure.EngineFailed, Deliverable: true, Evidence: EvidenceAnswered}
	default:
		return Judgement{Outcome: failure.Ran, Deliverable: true, Evidence: EvidenceAnswered}
	}
}

// refuses reports whether a server refuses requests with the status before it runs them. Every other status says that the
// request was run, or was taken for something else.
func refuses(status int) bool {
	return status == http.StatusBadRequest || PromisesNotRun(status)
}
