package timing

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns a clock reading that never goes back and that counts the time in
// which the machine is suspended, unlike the monotonic reading of time.Now. Only
// differences between readings in one process mean anything.
func Boot() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every supported kernel has this clock; without it, suspensions go unseen.
		return time.Now()
	}
	return time.Unix(now.Unix())
}
