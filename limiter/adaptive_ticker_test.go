package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a loop that does not wake up for work, and against an idle loop that keeps ticking often.
func TestPacer(t *testing.T) {
	ticker := newAdaptiveTicker(2*time.Millisecond, 50*time.Millisecond)
	now := time.Unix(100, 0)
	require.Equal(t, ticker.idleInterval, ticker.nextInterval(now))
	ticker.recordWork(now)
	select {
	case <-ticker.wake:
	default:
		t.Fatal("work does not wake an idling loop")
	}
	require.Equal(t, ticker.busyInterval, ticker.nextInterval(now))
	require.Equal(t, ticker.busyInterval, ticker.nextInterval(now.Add(busyPeriod-1)))
	require.Equal(t, ticker.idleInterval, ticker.nextInterval(now.Add(busyPeriod)))
}
