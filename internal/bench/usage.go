package bench

import (
	"maps"
	"slices"
)

// Usage holds the resources that one daemon used in a time window.
type Usage struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// CPUSeconds is the processor time in the window; CPUShare is CPUSeconds per second, so 1 is one core fully used.
	CPUSeconds float64 `json:"cpu_seconds"`
	CPUShare   float64 `json:"cpu_share"`
	RSSBytes   int     `json:"rss_bytes"`
	// ControlBytesPerSecond is the control traffic, both directions.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
}

// SystemUsage holds the usage of all daemons, the log and the machine in a time window.
type SystemUsage struct {
	Seconds             float64 `json:"seconds"`
	Daemons             []Usage `json:"daemons"`
	LogAppendsPerSecond float64 `json:"log_appends_per_second"`
	LogReadsPerSecond   float64 `json:"log_reads_per_second"`
	// MachineBusy is the used share of the processor time of all cores, other processes included.
	MachineBusy float64 `json:"machine_busy"`
}

// usageBetween returns the usage between two readings. The usage of a daemon that was restarted counts from its restart.
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
	if total := to.totalSeconds - from.totalSeconds; total > 0 {
		u.MachineBusy = (to.busySeconds - from.busySeconds) / total
	}
	return u
}

func daemonUsage(name string, from, to reading, seconds float64) Usage {
	if from.pid != to.pid {
		from = reading{}
	}
	cpu := to.cpuSeconds - from.cpuSeconds
	return Usage{
		Name:                  name,
		Role:                  to.role,
		CPUSeconds:            cpu,
		CPUShare:              cpu / seconds,
		RSSBytes:              to.rssBytes,
		ControlBytesPerSecond: max(0, to.controlBytes-from.controlBytes) / seconds,
	}
}

// RoleUsage is the mean usage of the daemons of one role.
type RoleUsage struct {
	Daemons               int     `json:"daemons"`
	CPUShare              float64 `json:"cpu_share"`
	RSSBytes              float64 `json:"rss_bytes"`
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
}

// Mean returns the mean usage over the daemons of a role.
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
