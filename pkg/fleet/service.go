package fleet

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one backend server accepts in total, from all callers.
	MaxConnections int
	// Engine is nil for services that run no models.
	Engine *Engine
}
