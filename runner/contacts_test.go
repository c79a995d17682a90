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
	spread := (&Open{}).spread
	none := func(string) time.Duration { return 0 }
	first, all := 0, 0
	for range entries {
		var c contacts
		first += len(c.ready(start, wanted, spread))
		half := c.ready(start.Add(500*time.Millisecond), wanted, spread)
		all += len(half)
		require.Len(t, c.ready(start.Add(time.Second), wanted, spread), 3)
	}
	require.Less(t, first, entries*3/100)
	require.InDelta(t, entries*3/2, all, entries*3/10)
	t.Run("a host that is not wanted any more is forgotten", func(t *testing.T) {
		var c contacts
		c.ready(start, wanted, spread)
		require.Empty(t, c.ready(start, sycamorevane.NewSet[string](), none))
		require.Len(t, c.ready(start.Add(time.Hour), wanted, none), 3, fmt.Sprint(c.due))
	})
}
