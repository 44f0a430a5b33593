package stream

// Format is the envelope format that this software writes and reads.
const Format uint32 = 1

// Reasons for which a record changes nothing.
const (
	// ReasonUndecodable marks a record that is not an envelope.
	ReasonUndecodable = "undecodable"
	// ReasonFormat marks an envelope of an unknown format.
	ReasonFormat = "unknown_format"
	// ReasonDuplicate marks a further copy of a record that was already applied.
	ReasonDuplicate = "duplicate"
)
