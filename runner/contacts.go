package runner

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

// contacts spreads over time when sessions with other hosts are opened.
type contacts struct {
	// due is when the session with each wanted host may be opened.
	due map[string]time.Time
}

// ready lists the wanted hosts whose time has come. The time of a host that is new among them is settled by delay.
func (c *contacts) ready(now time.Time, wanted sycamorevane.Set[string], delay func(name string) time.Duration) []string {
	due := make(map[string]time.Time, len(wanted))
	var list []string
	for _, name := range wanted.Sorted() {
		at, known := c.due[name]
		if !known {
			at = now.Add(delay(name))
		}
		due[name] = at
		if !at.After(now) {
			list = append(list, name)
		}
	}
	c.due = due
	return list
}
