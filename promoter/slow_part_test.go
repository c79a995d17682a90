package promoter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	usualLatency = 20 * time.Millisecond
	slowLatency  = 8 * usualLatency
)

// window counts 200 calls of the old version and 28 of the new one, with the given numbers of slow ones.
func window(oldSlow, newSlow int) *callCounts {
	return windowOf([2]int{200, 28}, [2]int{oldSlow, newSlow})
}

// windowOf counts calls by side, with the given numbers of slow ones.
func windowOf(calls, slow [2]int) *callCounts {
	c := newCallCounts()
	for side := range calls {
		h := newHistogram()
		_ = h.RecordValues(int64(usualLatency/latencyUnit), int64(calls[side]-slow[side]))
		_ = h.RecordValues(int64(slowLatency/latencyUnit), int64(slow[side]))
		unpackBins(packBins(h), c.bins[side])
		c.calls[side] = float64(calls[side])
		c.ok[side] = c.calls[side]
	}
	return c
}

func addWindows(c *comparison, n int, counts *callCounts) {
	for range n {
		c.add(counts, conditions{fullLoad: true, servers: 20})
	}
}

// TestSlowPartIsNotAccepted guards against a version that takes over although a part of its calls is slow.
func TestSlowPartIsNotAccepted(t *testing.T) {
	for name, tc := range map[string]struct {
		newSlow int
		want    bool
	}{"no slow call": {0, true}, "one slow call": {1, true}, "a quarter": {7, false}, "a half": {14, false}} {
		t.Run(name, func(t *testing.T) {
			c := newComparison()
			addWindows(c, 10, window(0, tc.newSlow))
			require.Equal(t, tc.want, c.meets(weakCriterion))
		})
	}
	t.Run("a quarter beside a slow old version", func(t *testing.T) {
		c := newComparison()
		addWindows(c, 10, window(0, 7))
		addWindows(c, 4, window(60, 7))
		require.False(t, c.meets(weakCriterion))
		addWindows(c, 10, window(0, 7))
		require.False(t, c.meets(weakCriterion), "the slow seconds are not the old version's usual latency")
	})
	t.Run("a fifth beside few calls of the old version", func(t *testing.T) {
		c := newComparison()
		addWindows(c, 20, window(4, 1))
		addWindows(c, 4, windowOf([2]int{30, 270}, [2]int{3, 54}))
		require.False(t, c.meets(weakCriterion))
	})
	t.Run("a version that becomes slow", func(t *testing.T) {
		c := newComparison()
		addWindows(c, 300, window(0, 0))
		addWindows(c, 4, window(0, 14))
		require.False(t, c.meets(weakCriterion), "good calls of the past do not count for ever")
	})
}
