package runner

import "time"

// processClock is the time source of the process.
var processClock = monotonicClock{start: time.Now()}

// monotonicClock takes the wall-clock time once, at start, and advances it by the monotonic clock. Otherwise, setting the
// wall clock while the process runs would end a rollout before its deadline or prolong it.
type monotonicClock struct {
	// start must include a monotonic clock reading.
	start time.Time
}

// Now implements sycamorevane.Clock.
func (c monotonicClock) Now() time.Time { return c.start.Add(time.Since(c.start)) }
