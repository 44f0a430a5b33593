package fleet

// Service is a set of equal backend servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one backend server accepts from all callers.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}
