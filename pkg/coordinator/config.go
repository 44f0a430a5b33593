package coordinator

// Config are the settings of a coordinator.
type Config struct {
	// Holder names this host in orders.
	Holder string
	// RegionOf maps failure domains to regions.
	RegionOf map[string]string
	Loads    LoadLimits
}
