// Package frame encodes and verifies the messages between entry hosts and agents.
//
// An exec call is an HTTP POST to Path. The request body is one length-delimited ExecRequest
// followed by body_bytes raw bytes; the answer has status 200 and consists of length-delimited frames.
package frame

const (
	// Path is the HTTP path of the exec call at the agent.
	Path = "/v1/exec"
	// ContentType is the media type of the exec call and of its answer.
	ContentType = "application/x-ferry-exec"
	// MaxFrameBytes bounds one encoded frame in bytes.
	MaxFrameBytes = 1 << 20
	// MaxRequestBytes bounds one encoded ExecRequest without its body in bytes; resume_text is the largest part.
	MaxRequestBytes = 8 << 20
	// MaxPayloadBytes is the largest payload of one data frame in bytes; Writer splits larger payloads.
	MaxPayloadBytes = 256 << 10
)
