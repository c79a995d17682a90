package runner

import (
	"fmt"
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

// Guards against sessions that grow with the control hosts, and against an entry without one that works.
func TestHomesOfAnEntry(t *testing.T) {
	members := hostNames(10)
	all := sycamorevane.NewSet(members...)
	h := newHomes("entry")

	start := time.Unix(1_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }

	t.Run("a few of many, also before they are reached", func(t *testing.T) {
		none := sycamorevane.NewSet("seed")
		require.Len(t, h.choose(at(0), members, none), homeSessions)
		require.Len(t, h.choose(at(contactSpread), members, none), homeSessions)
		require.Len(t, h.choose(at(contactSpread), members, all), homeSessions)
		require.Equal(t, h.choose(at(time.Minute), members, all), h.choose(at(time.Minute), members, all))
	})
	t.Run("further ones for those that are lost, one by one", func(t *testing.T) {
		now := 2 * time.Minute
		alive := sycamorevane.NewSet(members...)
		first := h.choose(at(now), members, alive)
		delete(alive, first[0])
		delete(alive, first[2])
		require.Equal(t, first, h.choose(at(now+moreAfter/2), members, alive))
		require.Len(t, h.choose(at(now+moreAfter), members, alive), homeSessions+1)
		more := h.choose(at(now+2*moreAfter), members, alive)
		require.Len(t, more, homeSessions+2)
		require.Subset(t, more, first, "the lost ones are dialled on")
		require.Equal(t, more, h.choose(at(now+time.Minute), members, alive), "it has enough")
		require.Equal(t, first, h.choose(at(now+time.Minute), members, all))
	})
	t.Run("soon when it has none at all", func(t *testing.T) {
		h := newHomes("entry")
		alone := sycamorevane.NewSet[string]()
		h.choose(at(0), members, alone)
		require.Len(t, h.choose(at(moreAlone), members, alone), homeSessions+1)
	})
	t.Run("several at once when all it has are not in contact with a leader", func(t *testing.T) {
		h := newHomes("entry")
		list := h.choose(at(0), members, all)
		alive := sycamorevane.NewSet(list...)
		require.Equal(t, list, h.choose(at(time.Second), members, alive))
		for _, name := range list {
			h.heard(name, true)
		}
		h.choose(at(time.Second+moreAlone/2), members, alive)
		more := h.choose(at(time.Second+moreAlone), members, alive)
		require.Len(t, more, homeSessions+apartMore)
		for _, name := range more[:homeSessions+1] {
			alive.Add(name)
		}
		source, _ := h.follow(at(2*time.Second), alive)
		require.Equal(t, more[homeSessions], source)
		for _, name := range list {
			h.heard(name, false)
		}
		require.Equal(t, list, h.choose(at(3*time.Second), members, alive))
	})
	t.Run("all of few", func(t *testing.T) {
		require.Len(t, newHomes("entry").choose(at(0), members[:2], all), 2)
	})
	t.Run("spread over the control hosts", func(t *testing.T) {
		const entries = 449
		counts := make(map[string]int)
		for i := range entries {
			for _, name := range newHomes(fmt.Sprintf("10.2.0.%d:7720", i)).choose(start, members, all) {
				counts[name]++
			}
		}
		for _, name := range members {
			require.InDelta(t, entries*homeSessions/len(members), counts[name], 45)
		}
	})
}

// Guards against an entry that follows a host which is lost or knows of no leader, and against one that has the whole catalog
// sent without need.
func TestFollowedHost(t *testing.T) {
	members := hostNames(10)
	alive := sycamorevane.NewSet(members...)
	h := newHomes("entry")
	start := time.Unix(1_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	name, moved := h.follow(at(0), sycamorevane.NewSet[string]())
	require.Empty(t, name)
	require.False(t, moved)

	t.Run("the first of its own, when that is reached in time", func(t *testing.T) {
		h := newHomes("entry")
		name, moved := h.follow(at(0), sycamorevane.NewSet("seed"))
		require.Empty(t, name, "all entries reach the few seeds first")
		require.False(t, moved)
		list := h.choose(at(0), members, sycamorevane.NewSet("seed"))
		require.Equal(t, list[0], h.first())
		name, moved = h.follow(at(outsideWait/2), sycamorevane.NewSet("seed", list[0]))
		require.Equal(t, list[0], name)
		require.True(t, moved)
	})
	h.follow(at(0), sycamorevane.NewSet("seed"))
	seed, moved := h.follow(at(outsideWait), sycamorevane.NewSet("seed"))
	require.Equal(t, "seed", seed)
	require.True(t, moved)

	list := h.choose(start, members, sycamorevane.NewSet[string]())
	one := sycamorevane.NewSet("seed", list[0])
	h.choose(start, members, one)
	name, moved = h.follow(at(time.Hour), one)
	require.Equal(t, "seed", name, "until it has all its sessions")
	require.False(t, moved)
	h.choose(start, members, alive)
	first, moved := h.follow(at(time.Hour), alive)
	require.Equal(t, list[0], first)
	require.True(t, moved, "the seed is not one of its hosts")
	_, moved = h.follow(at(time.Hour), alive)
	require.False(t, moved)

	h.heard(first, true)
	second, moved := h.follow(at(time.Hour), alive)
	require.Equal(t, list[1], second)
	require.True(t, moved)
	h.heard(first, false)
	name, moved = h.follow(at(time.Hour), alive)
	require.Equal(t, second, name, "it stays with the one that has sent it the catalog")
	require.False(t, moved)

	delete(alive, second)
	h.choose(start.Add(time.Minute), members, alive)
	name, moved = h.follow(at(time.Hour), alive)
	require.Equal(t, first, name)
	require.True(t, moved)
	require.Equal(t, first, h.relays()[0])

	t.Run("nobody knows a leader", func(t *testing.T) {
		for _, name := range members {
			h.heard(name, true)
		}
		name, moved := h.follow(at(time.Hour), alive)
		require.Equal(t, first, name)
		require.False(t, moved)
	})
}
