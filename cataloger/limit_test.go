package cataloger

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// Guards against a statement of a server about its request limit that is lost, outlives a later one, or is repeated to all
// entries without a change.
func TestLimitsInTheCatalog(t *testing.T) {
	now := time.Unix(1_000, 0)
	report := Report{Server: sycamorevane.Server{ID: "x", Service: "s", Addr: "x:1", Slots: 4}, Sequence: 1}
	limit := func(rate float64, age time.Duration) LimitReport {
		return LimitReport{RequestLimit: sycamorevane.RequestLimit{Limited: rate >= 0, Rate: max(0, rate)}, Server: "x", Age: age}
	}
	newCatalog := func() *Catalog {
		c := NewCatalog()
		c.Merge(report, now)
		c.MergeLimit(limit(2, time.Second), now)
		return c
	}
	expectRate := func(t *testing.T, c *Catalog, rate float64) {
		t.Helper()
		rec, ok := c.Get("x")
		require.True(t, ok)
		require.NotNil(t, rec.Limit)
		require.Equal(t, rate, rec.Limit.Rate)
	}
	t.Run("the latest counts", func(t *testing.T) {
		c := newCatalog()
		c.MergeLimit(limit(5, 2*time.Second), now)
		expectRate(t, c, 2)
		c.MergeLimit(limit(1, 500*time.Millisecond), now)
		expectRate(t, c, 1)
		c.MergeLimit(limit(-1, 0), now)
		rec, _ := c.Get("x")
		require.False(t, rec.Limit.Limited)
	})
	t.Run("only changes are pushed", func(t *testing.T) {
		c := newCatalog()
		revision := c.Revision()
		c.MergeLimit(limit(2, 0), now)
		require.Equal(t, revision, c.Revision())
		c.MergeLimit(limit(3, 0), now.Add(time.Second))
		require.Len(t, c.ChangedSince(revision, now), 1)
	})
	t.Run("it outlives the server's reports", func(t *testing.T) {
		c := newCatalog()
		later := report
		later.Sequence = 2
		require.True(t, c.Merge(later, now))
		expectRate(t, c, 2)
		c.Merge(completeReport(*c.servers["x"], Report{Draining: true}), now.Add(time.Second))
		rec, _ := c.Get("x")
		require.Equal(t, now.Add(-time.Second), rec.LimitStatedAt)
	})
	t.Run("an entry gets it with its age", func(t *testing.T) {
		c := newCatalog()
		list := decode(encode(c.ChangedSince(0, now.Add(time.Second))))
		require.Len(t, list, 1)
		require.Equal(t, 2*time.Second, list[0].Limit.Age)
		follower := NewCatalog()
		follower.Merge(list[0], now)
		expectRate(t, follower, 2)
		list[0].Limit = &LimitReport{RequestLimit: sycamorevane.RequestLimit{Limited: true, Rate: 4}, Age: time.Second}
		follower.Merge(list[0], now)
		expectRate(t, follower, 4)
	})
	t.Run("a full push without it means that the control host does not know it", func(t *testing.T) {
		c := newCatalog()
		f := NewFollower(FollowerConfig{Transport: newFakeTransports("entry")["entry"], OnChange: func() {}})
		full := &encoder.CatalogPush{Epoch: 1, Full: true, Records: encode(c.ChangedSince(0, now))}
		require.True(t, f.apply(full))
		require.NotNil(t, f.All()[0].Limit)
		f.apply(&encoder.CatalogPush{Epoch: 1, Records: encode([]Report{report})})
		require.NotNil(t, f.All()[0].Limit)
		full.Records[0].Limit = nil
		f.apply(full)
		require.Nil(t, f.All()[0].Limit)
	})
	t.Run("it survives a restart of the control host, with its age", func(t *testing.T) {
		f := File{Path: filepath.Join(t.TempDir(), "catalog")}
		require.NoError(t, f.save(newCatalog().ChangedSince(0, now), now))
		list, err := f.load(now.Add(5 * time.Second))
		require.NoError(t, err)
		require.Equal(t, 6*time.Second, list[0].Limit.Age)
		list, err = f.load(now.Add(-5 * time.Second))
		require.NoError(t, err)
		require.Equal(t, time.Second, list[0].Limit.Age, "the clock was set back")
	})
	t.Run("of an unknown server", func(t *testing.T) {
		c := NewCatalog()
		c.MergeLimit(limit(2, 0), now)
		require.Empty(t, c.All())
	})
	t.Run("from an entry", func(t *testing.T) {
		c := &ControlCatalog{catalog: newCatalog()}
		c.MergeLimits([]*encoder.ServerLimit{{Id: "x", Limited: true, Rate: 7, Age: 100}}, time.Second)
		expectRate(t, c.catalog, 7)
	})
}
