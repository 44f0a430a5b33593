package lease

// StateHandover exports and imports the state that one holder hands over to the next.
type StateHandover interface {
	// ExportState returns the encoded state of the current holder.
	ExportState() string
	// ImportState replaces the local state by the state of the previous holder.
	ImportState(state string)
	// ObserveState tells a daemon that does not hold the lease the state that the holder has written.
	ObserveState(state string)
}
