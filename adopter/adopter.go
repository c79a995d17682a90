// Package adopter decides which version serves a service outside of rollouts: the version that is announced first, and
// another one only after the serving version has had no servers for the grace period.
package adopter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
)

// GracePeriod is how long the serving version may have no servers before another version replaces it. It covers a
// restart of all its servers and the rebuilding of the lease tables.
const GracePeriod = 15 * time.Second

// Change is a version to record as the serving one; FromVersion is the one recorded so far, empty if there is none.
type Change struct {
	Service     string
	FromVersion string
	ToVersion   string
}

// Core makes the decisions. It stores since when each serving version has had no servers.
type Core struct {
	missingSince map[string]time.Time
}

// NewCore returns a Core that has not seen any version without servers.
func NewCore() *Core { return &Core{missingSince: make(map[string]time.Time)} }

// Decide returns the changes that follow from the announced slots per version of each service.
func (c *Core) Decide(now time.Time, st *sycamorevane.State, slots func(service string) map[string]int) []Change {
	var changes []Change
	for i := range st.Config.Services {
		name := st.Config.Services[i].Name
		if r, ok := st.Rollouts[name]; ok && !r.Phase.Terminal() {
			delete(c.missingSince, name)
			continue
		}
		serving, announced := st.ServingVersions[name], slots(name)
		if announced[serving] > 0 || len(announced) == 0 {
			delete(c.missingSince, name)
			continue
		}
		if serving != "" && !c.graceExpired(now, name) {
			continue
		}
		changes = append(changes, Change{Service: name, FromVersion: serving, ToVersion: mostSlots(announced)})
	}
	return changes
}

// graceExpired reports whether the serving version of the service has had no servers for GracePeriod. The first call
// starts the period.
func (c *Core) graceExpired(now time.Time, service string) bool {
	since, ok := c.missingSince[service]
	if !ok {
		c.missingSince[service] = now
		return false
	}
	return now.Sub(since) >= GracePeriod
}

// mostSlots returns the version with the most slots. Ties go to the lower name, so that every host decides alike.
func mostSlots(slots map[string]int) string {
	return slices.MinFunc(slices.Sorted(maps.Keys(slots)), func(a, b string) int { return cmp.Compare(slots[b], slots[a]) })
}
