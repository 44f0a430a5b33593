package settings

import "runtime/debug"

// Runtime configures the garbage collector of the Go runtime.
type Runtime struct {
	// GCPercent trades CPU time for memory: the heap may grow by this percentage of the live data, about 7 MB at the
	// target size, before garbage is collected.
	GCPercent int `key:"gc_percent" default:"50" min:"10" max:"1000" doc:"Growth of the heap, in percent of the live data, after which garbage is collected."`
	// MemoryLimit makes garbage collections more frequent as the limit is approached. The default is far above the size
	// of the control state, because the bodies of requests in progress count as well.
	MemoryLimit Bytes `key:"memory_limit" default:"512MiB" min:"16MiB" doc:"Soft limit of the memory that the Go runtime uses."`
}

// Apply applies the settings to the Go runtime of this process.
func (r Runtime) Apply() {
	debug.SetGCPercent(r.GCPercent)
	debug.SetMemoryLimit(int64(r.MemoryLimit))
}
