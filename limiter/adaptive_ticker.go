package limiter

import (
	"sync/atomic"
	"time"
)

// busyPeriod is how long a loop keeps ticking at busyInterval after the last work. It covers the time for which idle
// slots are kept.
const busyPeriod = 300 * time.Millisecond

// adaptiveTicker makes a loop tick often while there is work and rarely otherwise. Without it, an idle entry spends
// most of its CPU time on wake-ups.
type adaptiveTicker struct {
	busyInterval time.Duration
	idleInterval time.Duration
	wake         chan struct{}
	lastWork     atomic.Int64
	// idling is true while the loop waits for idleInterval.
	idling atomic.Bool
}

func newAdaptiveTicker(busy, idle time.Duration) *adaptiveTicker {
	return &adaptiveTicker{busyInterval: busy, idleInterval: idle, wake: make(chan struct{}, 1)}
}

// recordWork records that there is work at the given time and wakes an idling loop.
func (t *adaptiveTicker) recordWork(now time.Time) {
	t.lastWork.Store(now.UnixNano())
	if t.idling.Load() {
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// nextInterval returns the time until the next tick.
func (t *adaptiveTicker) nextInterval(now time.Time) time.Duration {
	t.idling.Store(true)
	if now.UnixNano()-t.lastWork.Load() < int64(busyPeriod) {
		t.idling.Store(false)
		return t.busyInterval
	}
	return t.idleInterval
}
