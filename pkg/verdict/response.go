package verdict

import "net/http"

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

// NotRun reports whether the response shows that its request was not run. Status 421 means that the address belongs to
// another server or that the model is not resident.
func (r Response) NotRun() bool { return r.Declared || r.Status == http.StatusMisdirectedRequest }
