package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the host booted, including time spent suspended.
func Uptime() time.Duration {
	var ts unix.Timespec
	// CLOCK_BOOTTIME exists on every supported kernel, so the call cannot fail.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}
