package configlog

// Reasons for refusing a change set, as recorded in the history.
const (
	// ReasonConflict means that the current version of an object differs from its base version in the change set.
	ReasonConflict = "conflict"
	// ReasonInvalid means that the change set is malformed or that the resulting configuration violates the rules.
	ReasonInvalid = "invalid"
	// ReasonUnknownRules means that this software does not support the change set's version of the rules.
	ReasonUnknownRules = "unknown_rules"
)
