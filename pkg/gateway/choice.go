package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// choice is the server that was chosen for an attempt and why.
type choice struct {
	server     fleet.Server
	candidates int
	// predicted is the expected time to the first byte.
	predicted time.Duration
	// prefill is the number of prompt tokens that the server has to process.
	prefill int
	// age of the server's last report.
	reportAge time.Duration
}
