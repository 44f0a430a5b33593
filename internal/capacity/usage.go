package capacity

import (
	"time"

	"github.com/shirou/gopsutil/v4/process"

	"trefoilferry.example/ferry/pkg/failure"
)

// Usage is what a daemon spent during one measurement.
type Usage struct {
	// CPU is the share of one core, in percent.
	CPU float64 `json:"cpu_percent"`
	// RSS is the resident memory at the end, in MB.
	RSS float64 `json:"rss_mb"`
	// LogBytes, HostBytes and PeerBytes are control bytes a second in both directions, headers included, with the log, the host list and
	// other daemons.
	LogBytes  float64 `json:"log_bytes_per_second"`
	HostBytes float64 `json:"host_list_bytes_per_second"`
	PeerBytes float64 `json:"peer_bytes_per_second"`
}

// Bytes returns all control bytes a second.
func (u Usage) Bytes() float64 { return u.LogBytes + u.HostBytes + u.PeerBytes }

// reading is the state of the counters at one moment.
type reading struct {
	at              time.Time
	cpu             float64
	rss             uint64
	log, host, peer int64
}

// read takes a reading of the process with the given number.
func (s *surroundings) read(pid int, children *meter) (reading, error) {
	p, err := process.NewProcess(int32(pid))
	if err != nil {
		return reading{}, failure.Wrap(failure.Internal, failure.NotRun, "process not found", err)
	}
	times, err := p.Times()
	if err != nil {
		return reading{}, failure.Wrap(failure.Internal, failure.NotRun, "processor time not read", err)
	}
	memory, err := p.MemoryInfo()
	if err != nil {
		return reading{}, failure.Wrap(failure.Internal, failure.NotRun, "memory not read", err)
	}
	return reading{
		at: time.Now(), cpu: times.User + times.System, rss: memory.RSS,
		log: s.logMeter.total(), host: s.hostsMeter.total(), peer: s.peerMeter.total() + children.total(),
	}, nil
}

// between returns the usage between two readings.
func between(a, b reading) Usage {
	seconds := b.at.Sub(a.at).Seconds()
	return Usage{
		CPU:       100 * (b.cpu - a.cpu) / seconds,
		RSS:       float64(b.rss) / 1e6,
		LogBytes:  float64(b.log-a.log) / seconds,
		HostBytes: float64(b.host-a.host) / seconds,
		PeerBytes: float64(b.peer-a.peer) / seconds,
	}
}
