package configlog

// Reasons for the refusal of a change set, as recorded in the history.
const (
	// ReasonConflict means that an object has another version than the set builds on.
	ReasonConflict = "conflict"
	// ReasonInvalid means that the set is malformed or the resulting whole set breaks the rules.
	ReasonInvalid = "invalid"
	// ReasonUnknownRules means that this software does not know the rules version of the set.
	ReasonUnknownRules = "unknown_rules"
)
