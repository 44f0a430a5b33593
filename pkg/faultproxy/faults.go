package faultproxy

// Faults are the switches of a proxy.
type Faults struct {
	// Refuse closes the listening port, so that connects are refused; open connections stay.
	Refuse bool `json:"refuse"`
	// HoldToTarget and HoldToClient keep back all bytes and closes of one direction until switched off, as a
	// network does that loses all packets: neither side sees an error, and held bytes arrive later.
	HoldToTarget bool `json:"hold_to_target"`
	HoldToClient bool `json:"hold_to_client"`
	// DelayMillis delays the bytes of both directions without bounding their rate.
	DelayMillis int `json:"delay_millis"`
	// ResetAfterBytes resets new connections after this many bytes to the client; 0 means never.
	ResetAfterBytes int `json:"reset_after_bytes"`
	// Resets counts the connections that ResetAfterBytes applies to; 0 with the former set means all.
	Resets int `json:"resets"`
}
