package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// Guards against hundreds of entries that open sessions with all control hosts at the same moment after a restart, while
// these have to hand out the state and the servers.
func TestContactsAreSpread(t *testing.T) {
	const entries = 400
	start := time.Unix(1_000, 0)
	wanted := sycamorevane.NewSet("a", "b", "c")
	none := func(string) time.Duration { return 0 }
	first, half := 0, 0
	preferred := make(map[string]int)
	for i := range entries {
		o := &DiscoveryProcess{homes: newHomes(fmt.Sprintf("entry-%d", i))}
		o.homes.choose(start, wanted.Sorted(), sycamorevane.NewSet[string]())
		var c contacts
		list := c.ready(start, wanted, o.spread)
		require.Contains(t, list, o.homes.first(), "the one to follow")
		preferred[o.homes.first()]++
		first += len(list) - 1
		half += len(c.ready(start.Add(500*time.Millisecond), wanted, o.spread)) - 1
		require.Len(t, c.ready(start.Add(time.Second), wanted, o.spread), 3)
	}
	require.Less(t, first, entries*2/100)
	require.InDelta(t, entries, half, entries*2/10)
	for name := range wanted {
		require.InDelta(t, entries/3, preferred[name], entries/9, "entries prefer different hosts")
	}
	t.Run("a host that is not wanted any more is forgotten", func(t *testing.T) {
		var c contacts
		c.ready(start, wanted, none)
		require.Empty(t, c.ready(start, sycamorevane.NewSet[string](), none))
		require.Len(t, c.ready(start.Add(time.Hour), wanted, none), 3, fmt.Sprint(c.due))
	})
}
