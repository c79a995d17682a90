package runner

import (
	"math/rand/v2"
	"time"

	"sycamorevane.example/sycamorevane"
)

// contacts spreads over time when sessions with other hosts are opened.
type contacts struct {
	// due is when the session with each wanted host may be opened.
	due map[string]time.Time
}

// ready lists the wanted hosts whose time has come. Hosts that are new among them come at a random time within spread.
func (c *contacts) ready(now time.Time, wanted sycamorevane.Set[string], spread time.Duration) []string {
	due := make(map[string]time.Time, len(wanted))
	var list []string
	for _, name := range wanted.Sorted() {
		at, known := c.due[name]
		if !known {
			at = now.Add(time.Duration(rand.Float64() * float64(spread)))
		}
		due[name] = at
		if !at.After(now) {
			list = append(list, name)
		}
	}
	c.due = due
	return list
}
