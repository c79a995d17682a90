package cataloger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane"
)

var start = time.Unix(1_000, 0)

func report(id, addr string, startedAt int64, sequence uint64) Report {
	return Report{
		Server:    sycamorevane.Server{ID: id, InstanceName: id, Service: "flagboard", Version: "v1", Addr: addr, DC: "a", Slots: 4},
		StartedAt: startedAt, Sequence: sequence,
	}
}

func expectUsable(t require.TestingT, c *Catalog, want ...string) {
	var got []string
	for _, e := range c.All() {
		if !e.Leaving() {
			got = append(got, e.Server.ID)
		}
	}
	require.Equal(t, want, got)
}

func TestCatalog(t *testing.T) {
	t.Run("a late report does not undo a later one", func(t *testing.T) {
		c := NewCatalog()
		drain := report("s", "1", 1, 5)
		drain.Draining = true
		require.True(t, c.Merge(drain, start))
		require.False(t, c.Merge(report("s", "1", 1, 4), start))
		expectUsable(t, c)
		require.True(t, c.Merge(report("s", "1", 1, 6), start), "a later report is merged")
		expectUsable(t, c)
	})
	t.Run("the end of a server counts whatever its sequence", func(t *testing.T) {
		c := NewCatalog()
		c.Merge(report("s", "1", 1, 9), start)
		end := report("s", "1", 1, 0)
		end.Ended = true
		require.True(t, c.Merge(end, start))
		expectUsable(t, c)
	})
	t.Run("a delayed report of a former holder of the address is refused", func(t *testing.T) {
		c := NewCatalog()
		require.True(t, c.Merge(report("new", "1", 20, 1), start))
		require.False(t, c.Merge(report("old", "1", 10, 7), start))
		expectUsable(t, c, "new")
	})
	t.Run("a new holder of the address ends the former one", func(t *testing.T) {
		c := NewCatalog()
		c.Merge(report("old", "1", 10, 7), start)
		c.Merge(report("new", "1", 20, 1), start)
		c.Merge(report("old", "1", 10, 8), start)
		expectUsable(t, c, "new")
	})
	t.Run("silence is noticed, and forgotten by the next report", func(t *testing.T) {
		c := NewCatalog()
		c.Merge(report("s", "1", 1, 1), start)
		require.Zero(t, c.ExpireLeases(start.Add(time.Second), 2*time.Second))
		require.Equal(t, 1, c.ExpireLeases(start.Add(3*time.Second), 2*time.Second))
		require.Zero(t, c.ExpireLeases(start.Add(4*time.Second), 2*time.Second))
		c.Merge(report("s", "1", 1, 2), start.Add(5*time.Second))
		e, ok := c.Get("s")
		require.True(t, ok)
		require.False(t, e.LeaseExpired)
		require.Equal(t, []string{"s"}, c.RemoveUnreported(start.Add(time.Hour), time.Minute))
	})
	t.Run("a report that changes nothing is not passed on", func(t *testing.T) {
		c := NewCatalog()
		c.Merge(report("s", "1", 1, 1), start)
		before := c.Revision()
		require.True(t, c.Merge(report("s", "1", 1, 2), start.Add(time.Second)))
		require.Equal(t, before, c.Revision())
		cold := report("s", "1", 1, 3)
		cold.ColdRemaining = 3 * time.Second
		c.Merge(cold, start.Add(2*time.Second))
		require.Len(t, c.ChangedSince(before, start), 1)
	})
}

// Guards against control hosts and entries whose catalogs differ permanently because reports arrived in different orders.
func TestReportsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []Report
		for i := range rapid.IntRange(2, 12).Draw(t, "reports") {
			startedAt := int64(rapid.IntRange(1, 4).Draw(t, "born"))
			addr := fmt.Sprint("addr-", rapid.IntRange(1, 2).Draw(t, "addr"))
			r := report(fmt.Sprintf("%s@%d", addr, startedAt), addr, startedAt, uint64(rapid.IntRange(1, 4).Draw(t, "sequence")))
			r.Draining = i%5 == 4
			reports = append(reports, r)
		}
		first, second := NewCatalog(), NewCatalog()
		for _, r := range reports {
			first.Merge(r, start)
		}
		for _, i := range rapid.Permutation(indexes(len(reports))).Draw(t, "order") {
			second.Merge(reports[i], start)
		}
		var want []string
		for _, e := range first.All() {
			if !e.Leaving() {
				want = append(want, e.Server.ID)
			}
		}
		expectUsable(t, second, want...)
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}
