package faultproxy

// Faults selects the faults that a proxy injects.
type Faults struct {
	// Refuse closes the listening port, so that new connections are refused; open connections stay.
	Refuse bool `json:"refuse"`
	// HoldToTarget and HoldToClient hold back all data and connection closes of one direction until switched off. This
	// imitates a network that loses all packets: neither side sees an error, and the held data arrives later.
	HoldToTarget bool `json:"hold_to_target"`
	HoldToClient bool `json:"hold_to_client"`
	// DelayMillis delays the data of both directions without limiting the throughput.
	DelayMillis int `json:"delay_millis"`
	// ResetAfterBytes resets new connections after this many bytes were sent to the client; 0 means never.
	ResetAfterBytes int `json:"reset_after_bytes"`
	// Resets is the number of connections that ResetAfterBytes applies to; 0 means all.
	Resets int `json:"resets"`
}
