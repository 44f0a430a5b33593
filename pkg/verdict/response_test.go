package verdict

import (
	"net/http"
	"testing"

	"trefoilferry.example/ferry/pkg/failure"
)

// Guards against a request that counts as not run, or whose caller is told so, though its server may have run it: by a
// status without the declaration, by a declaration in a response that says the opposite, or by something else at the
// address of the server.
func TestJudgementOfEveryResponse(t *testing.T) {
	const declared, signed, encoded = 1, 2, 4
	type row struct {
		status int
		// flags lists the combinations of declared, signed and encoded that the row covers.
		flags       []int
		outcome     failure.Outcome
		deliverable bool
		evidence    Evidence
	}
	all := []int{0, declared, signed, declared | signed, encoded, declared | encoded, signed | encoded, declared | signed | encoded}
	withDeclaration := []int{declared, declared | signed, declared | encoded, declared | signed | encoded}
	foreign := []int{0, encoded, signed | encoded}
	rows := []row{
		{421, all, failure.NotRun, false, EvidenceMisdirected},
	}
	for _, status := range []int{400, 408, 429, 503} {
		rows = append(rows, row{status, withDeclaration, failure.NotRun, false, EvidenceDeclared}, row{status, foreign, failure.Unknown, false, EvidenceForeign})
	}
	for _, status := range []int{408, 429, 503} {
		rows = append(rows, row{status, []int{signed}, failure.Ran, false, EvidenceUndeclared})
	}
	for _, status := range []int{200, 204, 206, 301, 304, 404, 409, 410, 413, 425, 499, 500, 501, 502, 504, 507, 599} {
		rows = append(rows, row{status, withDeclaration, failure.Unknown, false, EvidenceContradictory}, row{status, foreign, failure.Unknown, false, EvidenceForeign},
			row{status, []int{signed}, failure.Ran, true, EvidenceAnswered})
	}
	rows = append(rows, row{400, []int{signed}, failure.Ran, true, EvidenceAnswered})
	for _, r := range rows {
		for _, flags := range r.flags {
			in := Response{Status: r.status, Declared: flags&declared != 0, Signed: flags&signed != 0, Encoded: flags&encoded != 0}
			got := Judge(in)
			if got.Outcome != r.outcome || got.Deliverable != r.deliverable || got.Evidence != r.evidence {
				t.Errorf("%+v: %+v, want outcome %s, deliverable %v, evidence %s", in, got, r.outcome, r.deliverable, r.evidence)
			}
			if failed := got.Code != ""; failed != (!got.Deliverable || r.status >= 500) {
				t.Errorf("%+v: code %q", in, got.Code)
			}
			if got.Deliverable && (PromisesNotRun(r.status) || !in.Signed || in.Declared) {
				t.Errorf("%+v is delivered", in)
			}
		}
	}
}

// Guards against an unlisted status that counts as a refusal, with or without the declaration.
func TestNoOtherStatusIsARefusal(t *testing.T) {
	refusals := map[int]bool{http.StatusBadRequest: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}
	for status := 200; status < 600; status++ {
		got := Judge(Response{Status: status, Declared: true, Signed: true})
		if (got.Outcome == failure.NotRun) != refusals[status] {
			t.Errorf("status %d with the declaration: %+v", status, got)
		}
	}
}
