// Package adopter decides which version serves a service outside of rollouts: the first one that is announced, and
// another one only when the serving version has had no servers for a while.
package adopter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
)

// Grace is how long the serving version may be without servers before another one takes its place. It covers a
// restart of all its servers and the rebuilding of the lease tables.
const Grace = 15 * time.Second

// Change is a version to record for a service; FromVersion is the version recorded before.
type Change struct {
	Service     string
	FromVersion string
	ToVersion   string
}

// Core is the pure decision; it remembers since when a serving version has had no servers.
type Core struct {
	missing map[string]time.Time
}

// NewCore returns a core without memory.
func NewCore() *Core { return &Core{missing: make(map[string]time.Time)} }

// Decide compares the recorded versions with the announced slots per service and version.
func (c *Core) Decide(now time.Time, st *sycamorevane.State, slots func(service string) map[string]int) []Change {
	var changes []Change
	for i := range st.Config.Services {
		name := st.Config.Services[i].Name
		if r, ok := st.Rollouts[name]; ok && !r.Phase.Terminal() {
			delete(c.missing, name)
			continue
		}
		serving, announced := st.ServingVersions[name], slots(name)
		if announced[serving] > 0 || len(announced) == 0 {
			delete(c.missing, name)
			continue
		}
		if serving != "" && !c.lasting(now, name) {
			continue
		}
		changes = append(changes, Change{Service: name, FromVersion: serving, ToVersion: largest(announced)})
	}
	return changes
}

// lasting reports whether the serving version of the service has been without servers for the grace time.
func (c *Core) lasting(now time.Time, service string) bool {
	since, ok := c.missing[service]
	if !ok {
		c.missing[service] = now
		return false
	}
	return now.Sub(since) >= Grace
}

// largest is the version with the most slots; the lower name wins a tie, so that every host decides alike.
func largest(slots map[string]int) string {
	return slices.MinFunc(slices.Sorted(maps.Keys(slots)), func(a, b string) int { return cmp.Compare(slots[b], slots[a]) })
}
