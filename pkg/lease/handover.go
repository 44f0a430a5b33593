package lease

// Heir gives and takes the state that passes from one holder to the next.
type Heir interface {
	// Carry returns the state of the present holder.
	Carry() string
	// Inherit takes over the state of the previous holder.
	Inherit(carry string)
}
