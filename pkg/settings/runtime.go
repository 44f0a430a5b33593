package settings

import "runtime/debug"

// Runtime tunes the memory management of the process.
type Runtime struct {
	// GCPercent trades processor time for memory: live state of about 7 MB at the target size may grow by this share.
	GCPercent int `key:"gc_percent" default:"50" min:"10" max:"1000" doc:"Growth of the heap, in percent of the live data, after which garbage is collected."`
	// MemoryLimit makes collections more frequent near the limit; it is far above the control state, because bodies of
	// requests in progress count as well.
	MemoryLimit Bytes `key:"memory_limit" default:"512MiB" min:"16MiB" doc:"Soft limit of the memory that the Go runtime uses."`
}

// Apply puts the settings in force for the whole process.
func (r Runtime) Apply() {
	debug.SetGCPercent(r.GCPercent)
	debug.SetMemoryLimit(int64(r.MemoryLimit))
}
