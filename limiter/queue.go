package limiter

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

// waiter is a request that waits for a slot.
type waiter struct {
	id  uint64
	req sycamorevane.Request
	// drawnForTrial is true when the request belongs to the trial version's share.
	drawnForTrial bool
	arrivedAt     time.Time
}

// workspaceQueue holds the waiting requests of one workspace in order of arrival.
type workspaceQueue struct {
	name    string
	weight  float64
	waiting []*waiter
	running int
	// usage counts the running requests per data centre and version.
	usage []versionUsage
	// startInterval is the smoothed time between two starts of waiting requests, lastStart the time of the last one.
	startInterval time.Duration
	lastStart     time.Time
	arrivals      eventRate
	// noSlotFits is true when no free slot suits the workspace's waiting requests.
	noSlotFits bool
	// weightedSlotSeconds is the slot time used so far divided by the weight. It breaks ties between workspaces that are
	// equally far from their shares.
	weightedSlotSeconds float64
}

// recordStart records that a request that arrived at arrivedAt has got a slot.
func (q *workspaceQueue) recordStart(now, arrivedAt time.Time) {
	// Only two starts from the same backlog show how fast the queue moves: the request must already have been waiting at
	// the previous start. Counting requests that wait occasionally, one at a time, would make a short queue look slow.
	const maxBacklogInterval = 100 * time.Millisecond
	if interval := now.Sub(q.lastStart); interval < maxBacklogInterval && arrivedAt.Before(q.lastStart) {
		q.startInterval = smoothDuration(q.startInterval, max(interval, time.Microsecond))
	}
	q.lastStart = now
}

func (q *workspaceQueue) remove(id uint64) *waiter {
	for i, w := range q.waiting {
		if w.id == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return w
		}
	}
	return nil
}

// versionUsage is the number of running requests on one version in one data centre.
type versionUsage struct {
	dc, version string
	running     int
}

func (q *workspaceQueue) countRunning(s *sycamorevane.Server, n int) {
	q.running += n
	for i := range q.usage {
		if q.usage[i].dc == s.DC && q.usage[i].version == s.Version {
			q.usage[i].running += n
			return
		}
	}
	q.usage = append(q.usage, versionUsage{dc: s.DC, version: s.Version, running: n})
}

// eventRate measures how often an event occurs, as the smoothed interval between events.
type eventRate struct {
	lastEvent time.Time
	interval  time.Duration
}

func (r *eventRate) record(now time.Time) {
	if !r.lastEvent.IsZero() {
		r.interval += (now.Sub(r.lastEvent) - r.interval) / 16
	}
	r.lastEvent = now
}

// perSecond returns the number of events per second.
func (r *eventRate) perSecond(now time.Time) float64 {
	if r.interval == 0 {
		return 0
	}
	return 1 / max(r.interval, now.Sub(r.lastEvent)/4).Seconds()
}

// slowerThan reports whether the events occur less often than once per d, or have stopped.
func (r *eventRate) slowerThan(now time.Time, d time.Duration) bool {
	return r.interval == 0 || max(r.interval, now.Sub(r.lastEvent)/4) > d
}
