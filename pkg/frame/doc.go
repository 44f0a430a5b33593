// Package frame encodes and verifies the messages of exec calls, with which entry hosts send requests to agents.
//
// An exec call is an HTTP POST to Path. The request body is one length-delimited ExecRequest
// followed by body_bytes raw bytes. The response has status 200 and consists of length-delimited frames:
// one accepted frame, data frames and an end frame, or a fail frame in place of the rest.
package frame

const (
	// Path is the HTTP path of the exec call at the agent.
	Path = "/v1/exec"
	// ContentType is the media type of the request and the response of an exec call.
	ContentType = "application/x-ferry-exec"
	// MaxFrameBytes is the maximum size of one encoded frame.
	MaxFrameBytes = 1 << 20
	// MaxRequestBytes is the maximum size of one encoded ExecRequest without its body; resume_text is the largest part.
	MaxRequestBytes = 8 << 20
	// MaxPayloadBytes is the maximum payload size of one data frame; Writer splits larger payloads.
	MaxPayloadBytes = 256 << 10
)
