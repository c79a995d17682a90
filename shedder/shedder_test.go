package shedder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

// arrive counts requests of 0.1 s of work at a rate per second until the given time.
func arrive(s *Shedder, g Group, perSecond float64, from, until time.Duration) {
	for at := from; at < until; at += time.Duration(float64(time.Second) / perSecond) {
		s.Count(start.Add(at), g, 0.1, time.Second)
	}
}

func requireShare(t *testing.T, want float64, s *Shedder, g Group, at time.Duration, queued float64) {
	t.Helper()
	require.InDelta(t, want, s.Admissible(start.Add(at), g, 10, queued), 0.05)
}

// The capacity is 10, or 100 requests per second, in all cases.
func TestAdmissible(t *testing.T) {
	all := Group{}
	t.Run("without demand", func(t *testing.T) {
		requireShare(t, 1, New(), all, 0, 0)
	})
	t.Run("below the capacity", func(t *testing.T) {
		s := New()
		arrive(s, all, 90, 0, 5*time.Second)
		requireShare(t, 1, s, all, 5*time.Second, 5)
	})
	t.Run("twice the capacity", func(t *testing.T) {
		s := New()
		arrive(s, all, 200, 0, 5*time.Second)
		requireShare(t, 0.5, s, all, 5*time.Second, 0)
		requireShare(t, 0.25, s, all, 5*time.Second, 5)
		requireShare(t, 0, s, all, 5*time.Second, 20)
	})
	t.Run("a burst that is finished in time", func(t *testing.T) {
		s := New()
		arrive(s, all, 10_000, 0, 9*time.Millisecond)
		requireShare(t, 1, s, all, 10*time.Millisecond, 9)
	})
	t.Run("a burst that is over", func(t *testing.T) {
		s := New()
		arrive(s, all, 400, 0, 400*time.Millisecond)
		arrive(s, all, 20, 400*time.Millisecond, 800*time.Millisecond)
		requireShare(t, 1, s, all, 800*time.Millisecond, 9)
	})
	t.Run("more urgent requests", func(t *testing.T) {
		s, less := New(), Group{Priority: 1}
		arrive(s, all, 75, 0, 5*time.Second)
		arrive(s, less, 50, 0, 5*time.Second)
		requireShare(t, 1, s, all, 5*time.Second, 0)
		requireShare(t, 0.5, s, less, 5*time.Second, 0)
	})
	t.Run("workspaces", func(t *testing.T) {
		s, small, large := New(), Group{Workspace: "small"}, Group{Workspace: "large"}
		arrive(s, small, 40, 0, 5*time.Second)
		arrive(s, large, 120, 0, 5*time.Second)
		requireShare(t, 1, s, small, 5*time.Second, 0)
		requireShare(t, 0.5, s, large, 5*time.Second, 0)
	})
	t.Run("demand that has ended", func(t *testing.T) {
		s := New()
		arrive(s, all, 200, 0, 5*time.Second)
		requireShare(t, 1, s, all, time.Minute, 0)
	})
}

// Guards against demand that seems to have arrived at another time after the wall clock has been set.
func TestDemandFollowsTheMonotonicClock(t *testing.T) {
	s, now := New(), time.Now()
	s.Count(now, Group{}, 0.1, time.Second)
	require.NotEqual(t, s.startedAt.Round(0), s.startedAt, "without a monotonic clock reading")
	require.Equal(t, time.Second, s.elapsed(now.Add(time.Second)))
}

func TestForecast(t *testing.T) {
	s := New()
	arrive(s, Group{}, 50, 0, 5*time.Second)
	s.Count(start.Add(5*time.Second), Group{Priority: 1}, 0.1, time.Second)
	f := s.Forecast(start.Add(5*time.Second), 1, 10)
	require.InDelta(t, 5, f.Urgent, 0.3)
	require.InDelta(t, time.Second, f.Wait(5), float64(100*time.Millisecond))
	require.Equal(t, 10*time.Millisecond, f.Interval(0.1))
	require.True(t, f.MayStart(time.Second, 4.5, 0.1))
	require.False(t, f.WillStart(time.Second, 4.5, 0.1), "more of the urgent requests may come")
	require.True(t, f.WillStart(time.Second, 1.5, 0.1))
	require.False(t, f.MayStart(time.Second, 6, 0.1))
	require.False(t, f.MayStart(-time.Millisecond, 0, 0.1))
	require.Equal(t, longestWait, Forecast{Capacity: 1, Urgent: 2}.Wait(1))
}

// Guards against a rate of urgent requests that seems lower than it is after the start of an entry.
func TestForecastAfterTheStart(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		rate  float64
	}{
		"within the period":         {400 * time.Millisecond, 5},
		"after the period":          {2 * time.Second, 5},
		"too soon to know the rate": {50 * time.Millisecond, 1.2},
	} {
		t.Run(name, func(t *testing.T) {
			s := New()
			arrive(s, Group{}, 50, 0, c.after)
			now := start.Add(c.after)
			s.Count(now, Group{Priority: 1}, 0.1, time.Second)
			require.InDelta(t, c.rate, s.Forecast(now, 1, 10).Urgent, 0.5)
		})
	}
}

func TestThroughput(t *testing.T) {
	t.Run("idle servers are assumed", func(t *testing.T) {
		require.InDelta(t, 8, (&Throughput{}).Capacity(8), 0)
	})
	t.Run("slow servers", func(t *testing.T) {
		var p Throughput
		for range 200 {
			p.Finish(100*time.Millisecond, 200*time.Millisecond)
		}
		require.InDelta(t, 4, p.Capacity(8), 0.01)
	})
	t.Run("servers that are not used while requests wait", func(t *testing.T) {
		var p Throughput
		for at := range 100 {
			p.Update(start.Add(time.Duration(at)*100*time.Millisecond), true, 6, 8)
		}
		require.InDelta(t, 6, p.Capacity(8), 0.01)
	})
	t.Run("servers that are not needed", func(t *testing.T) {
		var p Throughput
		for at := range 100 {
			p.Update(start.Add(time.Duration(at)*100*time.Millisecond), false, 1, 8)
		}
		require.InDelta(t, 8, p.Capacity(8), 0)
	})
}

// Guards against callers that all return at the same time, and later than they are willing to.
func TestReturns(t *testing.T) {
	var r Returns
	require.Equal(t, 250*time.Millisecond, r.Reserve(start, 200*time.Millisecond, 50*time.Millisecond))
	require.Equal(t, 300*time.Millisecond, r.Reserve(start, 200*time.Millisecond, 50*time.Millisecond))
	require.Equal(t, 150*time.Millisecond, r.Reserve(start.Add(200*time.Millisecond), 0, 50*time.Millisecond))
	require.Equal(t, DefaultRetryAfter, r.Reserve(start, time.Minute, 50*time.Millisecond))

	require.Equal(t, time.Second, RetryAfter(time.Second, 0, 0))
	require.Equal(t, 800*time.Millisecond, RetryAfter(time.Second, 0, 1))
	require.Equal(t, 300*time.Millisecond, RetryAfter(time.Second, 900*time.Millisecond, 0))
	require.Positive(t, RetryAfter(0, time.Second, 1))
}
