package limiter

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

// waiter is one request that has no slot yet.
type waiter struct {
	id  uint64
	req sycamorevane.Request
	// drawn is true when the share gave the request to the trial version.
	drawn bool
	since time.Time
}

// workspaceQueue holds the waiting requests of one workspace in order of arrival.
type workspaceQueue struct {
	name    string
	weight  float64
	waiting []*waiter
	running int
	// use counts the running requests per data centre and version.
	use []usage
	// gap is the smoothed time between two starts of waiting requests; last is the last one.
	gap  time.Duration
	last time.Time
	// arrivals is the pace of the workspace's requests.
	arrivals pace
	// blocked is true while no free slot suits the workspace's waiting requests.
	blocked bool
	// served is the slot time used so far divided by the weight; it decides between equal shares.
	served float64
}

// started notes that a request that waited since the given time got a slot.
func (q *workspaceQueue) started(now, since time.Time) {
	// Only starts out of one backlog tell how fast the queue moves: the request must have waited at the last start
	// already. Requests that wait now and then, one at a time, would make a short queue look slow.
	const backlog = 100 * time.Millisecond
	if gap := now.Sub(q.last); gap < backlog && since.Before(q.last) {
		q.gap = smoothTime(q.gap, max(gap, time.Microsecond))
	}
	q.last = now
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

// usage is the number of running requests on one version in one data centre.
type usage struct {
	dc, version string
	n           int
}

func (q *workspaceQueue) count(s *sycamorevane.Server, n int) {
	q.running += n
	for i := range q.use {
		if q.use[i].dc == s.DC && q.use[i].version == s.Version {
			q.use[i].n += n
			return
		}
	}
	q.use = append(q.use, usage{dc: s.DC, version: s.Version, n: n})
}

// pace is the smoothed time between events.
type pace struct {
	last time.Time
	gap  time.Duration
}

func (p *pace) note(now time.Time) {
	if !p.last.IsZero() {
		p.gap += (now.Sub(p.last) - p.gap) / 16
	}
	p.last = now
}

// rate is the number of events per second.
func (p *pace) rate(now time.Time) float64 {
	if p.gap == 0 {
		return 0
	}
	return 1 / max(p.gap, now.Sub(p.last)/4).Seconds()
}

// slower reports whether the events come less often than every d, or have stopped.
func (p *pace) slower(now time.Time, d time.Duration) bool {
	return p.gap == 0 || max(p.gap, now.Sub(p.last)/4) > d
}
