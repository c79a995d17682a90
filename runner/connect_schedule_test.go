package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// Guards against hundreds of entries opening sessions with all control hosts at the same moment after a restart. The
// control hosts then also have to send the state and the catalog of servers to the entries.
func TestContactsAreSpread(t *testing.T) {
	const entries = 400
	start := time.Unix(1_000, 0)
	wanted := sycamorevane.NewSet("a", "b", "c")
	none := func(string) time.Duration { return 0 }
	dueAtOnce, dueAtHalf := 0, 0
	preferredCounts := make(map[string]int)
	for i := range entries {
		p := &DiscoveryProcess{selector: newControlSelector(fmt.Sprintf("entry-%d", i))}
		p.selector.selectTargets(start, wanted.Sorted(), sycamorevane.NewSet[string]())
		var schedule connectSchedule
		due := schedule.dueHosts(start, wanted, p.connectDelay)
		require.Contains(t, due, p.selector.preferred(), "the preferred control host is due without delay")
		preferredCounts[p.selector.preferred()]++
		dueAtOnce += len(due) - 1
		dueAtHalf += len(schedule.dueHosts(start.Add(500*time.Millisecond), wanted, p.connectDelay)) - 1
		require.Len(t, schedule.dueHosts(start.Add(time.Second), wanted, p.connectDelay), 3)
	}
	require.Less(t, dueAtOnce, entries*2/100)
	require.InDelta(t, entries, dueAtHalf, entries*2/10)
	for name := range wanted {
		require.InDelta(t, entries/3, preferredCounts[name], entries/9, "the preferred hosts of the entries are spread evenly")
	}
	t.Run("a host that is not wanted any more is forgotten", func(t *testing.T) {
		var schedule connectSchedule
		schedule.dueHosts(start, wanted, none)
		require.Empty(t, schedule.dueHosts(start, sycamorevane.NewSet[string](), none))
		require.Len(t, schedule.dueHosts(start.Add(time.Hour), wanted, none), 3, fmt.Sprint(schedule.dueAt))
	})
}
