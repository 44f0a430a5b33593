package lease

// StateHandover exports and imports the state that one holder hands over to the next.
type StateHandover interface {
	// Carry returns the encoded state of the current holder.
	Carry() string
	// Inherit replaces the local state by the state of the previous holder.
	Inherit(carry string)
}
