package capacity

import (
	"fmt"
	"time"

	"github.com/shirou/gopsutil/v4/process"

	"trefoilferry.example/ferry/pkg/failure"
)

// Usage holds the resources that a daemon used during one measurement.
type Usage struct {
	// CPUPercent is the processor time in percent of one core.
	CPUPercent float64 `json:"cpu_percent"`
	// RSSMB is the resident memory at the end, in MB (10^6 bytes).
	RSSMB float64 `json:"rss_mb"`
	// LogBytesPerSecond, HostListBytesPerSecond and PeerBytesPerSecond are the control traffic with the log, the host
	// list and other daemons, both directions, headers included.
	LogBytesPerSecond      float64 `json:"log_bytes_per_second"`
	HostListBytesPerSecond float64 `json:"host_list_bytes_per_second"`
	PeerBytesPerSecond     float64 `json:"peer_bytes_per_second"`
}

// ControlBytesPerSecond returns the control traffic with the log, the host list and other daemons together.
func (u Usage) ControlBytesPerSecond() float64 {
	return u.LogBytesPerSecond + u.HostListBytesPerSecond + u.PeerBytesPerSecond
}

// reading holds the values of all counters at one time.
type reading struct {
	at         time.Time
	cpuSeconds float64
	rssBytes   uint64
	// log, host and peer are bytes of control traffic so far.
	log, host, peer int64
}

// takeReading reads the counters of the process with the given ID. children counts the traffic of calls to the daemon,
// which belongs to the traffic with other daemons.
func (e *environment) takeReading(pid int, children *meter) (reading, error) {
	p, err := process.NewProcess(int32(pid))
	if err != nil {
		return reading{}, failure.Wrap(failure.Internal, failure.NotRun, fmt.Sprintf("process %d not found", pid), err)
	}
	times, err := p.Times()
	if err != nil {
		return reading{}, failure.Wrap(failure.Internal, failure.NotRun, fmt.Sprintf("cannot read the processor time of process %d", pid), err)
	}
	memory, err := p.MemoryInfo()
	if err != nil {
		return reading{}, failure.Wrap(failure.Internal, failure.NotRun, fmt.Sprintf("cannot read the memory use of process %d", pid), err)
	}
	return reading{
		at: time.Now(), cpuSeconds: times.User + times.System, rssBytes: memory.RSS,
		log: e.logMeter.totalBytes(), host: e.hostsMeter.totalBytes(), peer: e.peerMeter.totalBytes() + children.totalBytes(),
	}, nil
}

// usageBetween returns the usage between the readings a and b.
func usageBetween(a, b reading) Usage {
	seconds := b.at.Sub(a.at).Seconds()
	return Usage{
		CPUPercent:             100 * (b.cpuSeconds - a.cpuSeconds) / seconds,
		RSSMB:                  float64(b.rssBytes) / 1e6,
		LogBytesPerSecond:      float64(b.log-a.log) / seconds,
		HostListBytesPerSecond: float64(b.host-a.host) / seconds,
		PeerBytesPerSecond:     float64(b.peer-a.peer) / seconds,
	}
}
