package bench

import (
	"maps"
	"slices"
)

// Usage is what one daemon used in a window.
type Usage struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// CPUSeconds is the processor time in the window; CPUShare is that per second, 1 being one core.
	CPUSeconds float64 `json:"cpu_seconds"`
	CPUShare   float64 `json:"cpu_share"`
	RSSBytes   int     `json:"rss_bytes"`
	// ControlBytesPerSecond is the control traffic in both directions.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
}

// SystemUsage is what the daemons, the log and the machine did in a window.
type SystemUsage struct {
	Seconds             float64 `json:"seconds"`
	Daemons             []Usage `json:"daemons"`
	LogAppendsPerSecond float64 `json:"log_appends_per_second"`
	LogReadsPerSecond   float64 `json:"log_reads_per_second"`
	// MachineBusy is the busy share of all cores, other processes included.
	MachineBusy float64 `json:"machine_busy"`
}

// usageBetween returns the usage between two readings. A daemon that was restarted counts from its start.
func usageBetween(from, to readings) SystemUsage {
	seconds := to.at.Sub(from.at).Seconds()
	u := SystemUsage{Seconds: seconds}
	if seconds <= 0 {
		return u
	}
	for _, name := range slices.Sorted(maps.Keys(to.daemons)) {
		u.Daemons = append(u.Daemons, daemonUsage(name, from.daemons[name], to.daemons[name], seconds))
	}
	u.LogAppendsPerSecond = float64(to.log.Appends-from.log.Appends) / seconds
	u.LogReadsPerSecond = float64(to.log.Reads-from.log.Reads) / seconds
	if total := to.total - from.total; total > 0 {
		u.MachineBusy = (to.busy - from.busy) / total
	}
	return u
}

func daemonUsage(name string, from, to reading, seconds float64) Usage {
	if from.pid != to.pid {
		from = reading{}
	}
	cpu := to.cpu - from.cpu
	return Usage{
		Name:                  name,
		Role:                  to.role,
		CPUSeconds:            cpu,
		CPUShare:              cpu / seconds,
		RSSBytes:              to.rss,
		ControlBytesPerSecond: max(0, to.control-from.control) / seconds,
	}
}

// RoleUsage is the mean usage of the daemons of one role.
type RoleUsage struct {
	Daemons               int     `json:"daemons"`
	CPUShare              float64 `json:"cpu_share"`
	RSSBytes              float64 `json:"rss_bytes"`
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
}

// Mean returns the mean usage of the daemons of a role.
func (u SystemUsage) Mean(role Role) RoleUsage {
	var out RoleUsage
	for _, d := range u.Daemons {
		if d.Role != role {
			continue
		}
		out.Daemons++
		out.CPUShare += d.CPUShare
		out.RSSBytes += float64(d.RSSBytes)
		out.ControlBytesPerSecond += d.ControlBytesPerSecond
	}
	n := float64(max(1, out.Daemons))
	out.CPUShare /= n
	out.RSSBytes /= n
	out.ControlBytesPerSecond /= n
	return out
}
