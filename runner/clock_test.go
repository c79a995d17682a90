package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a clock that stops, goes backwards, or does not start at the wall-clock time.
func TestSteadyClock(t *testing.T) {
	c := monotonicClock{start: time.Now()}
	require.WithinDuration(t, time.Now(), c.Now(), 100*time.Millisecond)
	last := c.Now()
	for range 1000 {
		now := c.Now()
		require.False(t, now.Before(last))
		last = now
	}
	before := c.Now()
	time.Sleep(20 * time.Millisecond)
	require.GreaterOrEqual(t, c.Now().Sub(before), 20*time.Millisecond)
}
