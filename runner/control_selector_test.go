package runner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

func hostNames(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("10.1.0.%d:7720", i))
	}
	return list
}

// Guards against a number of sessions that grows with the number of control hosts, and against an entry that stays
// without a working session.
func TestHomesOfAnEntry(t *testing.T) {
	members := hostNames(10)
	all := sycamorevane.NewSet(members...)
	selector := newControlSelector("entry")

	start := time.Unix(1_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }

	t.Run("a few of many, also before they are reached", func(t *testing.T) {
		onlySeed := sycamorevane.NewSet("seed")
		require.Len(t, selector.selectTargets(at(0), members, onlySeed), targetSessionCount)
		require.Len(t, selector.selectTargets(at(connectSpread), members, onlySeed), targetSessionCount)
		require.Len(t, selector.selectTargets(at(connectSpread), members, all), targetSessionCount)
		require.Equal(t, selector.selectTargets(at(time.Minute), members, all), selector.selectTargets(at(time.Minute), members, all))
	})
	t.Run("further ones for those that are lost, one by one", func(t *testing.T) {
		now := 2 * time.Minute
		alive := sycamorevane.NewSet(members...)
		first := selector.selectTargets(at(now), members, alive)
		delete(alive, first[0])
		delete(alive, first[2])
		require.Equal(t, first, selector.selectTargets(at(now+expandInterval/2), members, alive))
		require.Len(t, selector.selectTargets(at(now+expandInterval), members, alive), targetSessionCount+1)
		expanded := selector.selectTargets(at(now+2*expandInterval), members, alive)
		require.Len(t, expanded, targetSessionCount+2)
		require.Subset(t, expanded, first, "the lost hosts are still dialled")
		require.Equal(t, expanded, selector.selectTargets(at(now+time.Minute), members, alive), "enough sessions, so no further hosts are added")
		require.Equal(t, first, selector.selectTargets(at(now+time.Minute), members, all))
	})
	t.Run("soon when it has none at all", func(t *testing.T) {
		selector := newControlSelector("entry")
		noneAlive := sycamorevane.NewSet[string]()
		selector.selectTargets(at(0), members, noneAlive)
		require.Len(t, selector.selectTargets(at(isolatedExpandInterval), members, noneAlive), targetSessionCount+1)
	})
	t.Run("several at once when all it has are not in contact with a leader", func(t *testing.T) {
		selector := newControlSelector("entry")
		targets := selector.selectTargets(at(0), members, all)
		alive := sycamorevane.NewSet(targets...)
		require.Equal(t, targets, selector.selectTargets(at(time.Second), members, alive))
		for _, name := range targets {
			selector.setDetached(name, true)
		}
		selector.selectTargets(at(time.Second+isolatedExpandInterval/2), members, alive)
		expanded := selector.selectTargets(at(time.Second+isolatedExpandInterval), members, alive)
		require.Len(t, expanded, targetSessionCount+detachedExpandCount)
		for _, name := range expanded[:targetSessionCount+1] {
			alive.Add(name)
		}
		source, _ := selector.selectSource(at(2*time.Second), alive)
		require.Equal(t, expanded[targetSessionCount], source)
		for _, name := range targets {
			selector.setDetached(name, false)
		}
		require.Equal(t, targets, selector.selectTargets(at(3*time.Second), members, alive))
	})
	t.Run("all of few", func(t *testing.T) {
		require.Len(t, newControlSelector("entry").selectTargets(at(0), members[:2], all), 2)
	})
	t.Run("spread over the control hosts", func(t *testing.T) {
		const entries = 449
		counts := make(map[string]int)
		for i := range entries {
			for _, name := range newControlSelector(fmt.Sprintf("10.2.0.%d:7720", i)).selectTargets(start, members, all) {
				counts[name]++
			}
		}
		for _, name := range members {
			require.InDelta(t, entries*targetSessionCount/len(members), counts[name], 45)
		}
	})
}

// Guards against an entry that keeps a source which is lost or not in contact with a leader, and against needless
// changes of the source, each of which makes the new source send the whole catalog.
func TestFollowedHost(t *testing.T) {
	members := hostNames(10)
	alive := sycamorevane.NewSet(members...)
	selector := newControlSelector("entry")
	start := time.Unix(1_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	name, changed := selector.selectSource(at(0), sycamorevane.NewSet[string]())
	require.Empty(t, name)
	require.False(t, changed)

	t.Run("the first of its own, when that is reached in time", func(t *testing.T) {
		selector := newControlSelector("entry")
		name, changed := selector.selectSource(at(0), sycamorevane.NewSet("seed"))
		require.Empty(t, name, "a seed is not selected at once: all entries reach the few seeds first")
		require.False(t, changed)
		targets := selector.selectTargets(at(0), members, sycamorevane.NewSet("seed"))
		require.Equal(t, targets[0], selector.preferred())
		name, changed = selector.selectSource(at(preferredSourceWait/2), sycamorevane.NewSet("seed", targets[0]))
		require.Equal(t, targets[0], name)
		require.True(t, changed)
	})
	selector.selectSource(at(0), sycamorevane.NewSet("seed"))
	seed, changed := selector.selectSource(at(preferredSourceWait), sycamorevane.NewSet("seed"))
	require.Equal(t, "seed", seed)
	require.True(t, changed)

	targets := selector.selectTargets(start, members, sycamorevane.NewSet[string]())
	seedAndFirst := sycamorevane.NewSet("seed", targets[0])
	selector.selectTargets(start, members, seedAndFirst)
	name, changed = selector.selectSource(at(time.Hour), seedAndFirst)
	require.Equal(t, "seed", name, "the seed stays the source until the entry has enough sessions")
	require.False(t, changed)
	selector.selectTargets(start, members, alive)
	first, changed := selector.selectSource(at(time.Hour), alive)
	require.Equal(t, targets[0], first)
	require.True(t, changed, "the seed is not one of the targets")
	_, changed = selector.selectSource(at(time.Hour), alive)
	require.False(t, changed)

	selector.setDetached(first, true)
	second, changed := selector.selectSource(at(time.Hour), alive)
	require.Equal(t, targets[1], second)
	require.True(t, changed)
	selector.setDetached(first, false)
	name, changed = selector.selectSource(at(time.Hour), alive)
	require.Equal(t, second, name, "the entry keeps the source that has sent it the catalog")
	require.False(t, changed)

	delete(alive, second)
	selector.selectTargets(start.Add(time.Minute), members, alive)
	name, changed = selector.selectSource(at(time.Hour), alive)
	require.Equal(t, first, name)
	require.True(t, changed)
	require.Equal(t, first, selector.relays()[0])

	t.Run("hosts without a leader are asked last", func(t *testing.T) {
		before := selector.relays()
		selector.setDetached(before[0], true)
		defer selector.setDetached(before[0], false)
		require.Equal(t, append(slices.Clone(before[1:]), before[0]), selector.relays())
	})
	t.Run("nobody knows a leader", func(t *testing.T) {
		for _, name := range members {
			selector.setDetached(name, true)
		}
		name, changed := selector.selectSource(at(time.Hour), alive)
		require.Equal(t, first, name)
		require.False(t, changed)
	})
}
