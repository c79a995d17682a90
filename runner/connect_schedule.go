package runner

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

// connectSchedule spreads the opening of sessions with other hosts over time.
type connectSchedule struct {
	// dueAt maps each wanted host to the time from which its session may be opened.
	dueAt map[string]time.Time
}

// dueHosts returns the wanted hosts whose session may be opened by now. A host that was not wanted in the last call becomes
// due after delay(name).
func (c *connectSchedule) dueHosts(now time.Time, wanted sycamorevane.Set[string], delay func(name string) time.Duration) []string {
	dueAt := make(map[string]time.Time, len(wanted))
	var dueNames []string
	for _, name := range wanted.Sorted() {
		hostDueAt, known := c.dueAt[name]
		if !known {
			hostDueAt = now.Add(delay(name))
		}
		dueAt[name] = hostDueAt
		if !hostDueAt.After(now) {
			dueNames = append(dueNames, name)
		}
	}
	c.dueAt = dueAt
	return dueNames
}
