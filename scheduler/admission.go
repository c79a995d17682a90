package scheduler

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the smoothed rates.
	rateWindow = time.Second
	// maxLateWaitShare is the share of its remaining time that a late request may be expected to wait.
	maxLateWaitShare = 0.15
	// maxRetryShare is the share of its remaining time that a rejected caller waits before it returns.
	maxRetryShare = 0.33
	// retrySpread randomizes when rejected callers return.
	retrySpread = 0.2
	// minRetryAfter keeps rejected callers from returning before any room can have come.
	minRetryAfter = 50 * time.Millisecond
	// defaultRetryAfter is when callers without a deadline return.
	defaultRetryAfter = time.Second
	// maxWaiting bounds the waiting requests.
	maxWaiting = 4096
	// minCapacityShare is the least share of the capacity that is assumed to be left for a priority.
	minCapacityShare = 0.02
	// usualCapacityShare is the share of the room that runs at a time when requests start on fast hosts only.
	usualCapacityShare = 0.7
)

// ReasonNoServer is the reason of a rejection because no server of the pool is usable. The entry then uses the servers
// that it may use by its own rules, such as cold ones.
const ReasonNoServer = "no server can take the request"

// rate is a smoothed rate per second of requests and of their work.
type rate struct {
	count, work float64
	at          time.Time
}

func (r *rate) refresh(now time.Time) {
	weight := decay(now.Sub(r.at), rateWindow)
	r.count, r.work, r.at = r.count*weight, r.work*weight, now
}

func (c *Core) countArrival(now time.Time, w *waiter) {
	r := c.arrivals[w.Priority]
	if r == nil {
		r = &rate{at: now}
		c.arrivals[w.Priority] = r
	}
	r.add(now, w.work)
}

func (r *rate) add(now time.Time, work time.Duration) {
	r.refresh(now)
	r.count += 1 / rateWindow.Seconds()
	r.work += work.Seconds() / rateWindow.Seconds()
}

// capacity is the work in seconds that the pool can start in a second while it is congested: what it has granted in the
// last second, or what is usual when few requests came.
func (c *Core) capacity(now time.Time) float64 {
	c.granted.refresh(now)
	return max(c.granted.work, usualCapacityShare*float64(max(1, c.totalLimit(now))))
}

// hopeless reports whether the request is expected to wait longer than it can to be in time. At half of that wait the
// value fell by 0.03 at twice the capacity; at 1.5 times the wait a quarter of the rejections came after 190 ms.
func (c *Core) hopeless(now time.Time, w *waiter) bool {
	if !c.congested(now) {
		return false
	}
	ahead, capacity := 0.0, c.capacity(now)
	for _, class := range c.inTime.classes {
		if class.priority <= w.Priority {
			ahead += class.workBefore(w).Seconds()
		}
	}
	left := capacity
	for priority, r := range c.arrivals {
		if priority < w.Priority {
			r.refresh(now)
			left -= r.work
		}
	}
	left = max(left, minCapacityShare*capacity)
	return ahead > left*w.latestStart.Sub(now).Seconds()
}

// admit rejects the request at once if it cannot be finished.
func (c *Core) admit(now time.Time, w *waiter) {
	switch {
	case !c.anyUsable():
		c.reject(now, w, ReasonNoServer)
	case len(c.waiting) > maxWaiting:
		c.reject(now, w, "queue is full")
	case now.Add(w.work).After(w.Deadline) && !w.Deadline.IsZero():
		c.reject(now, w, "deadline cannot be met")
	case w.late && !w.Deadline.IsZero() && c.lateWait(now) > w.maxLateWait(now):
		c.reject(now, w, "no server becomes free in time")
	}
}

// maxLateWait is how long a late request may be expected to wait.
func (w *waiter) maxLateWait(now time.Time) time.Duration {
	return time.Duration(maxLateWaitShare * float64(w.Deadline.Sub(now)))
}

func (c *Core) anyUsable() bool {
	for _, s := range c.list {
		if s.Usable {
			return true
		}
	}
	return false
}

// lateWait is the expected wait of a late request that is added now.
func (c *Core) lateWait(now time.Time) time.Duration {
	if !c.congested(now) {
		return 0
	}
	return time.Duration(float64(c.late.count) * float64(c.lateInterval(now)))
}

// lateInterval is the mean time between two grants to late requests during congestion.
func (c *Core) lateInterval(now time.Time) time.Duration {
	return time.Duration(float64(c.meanWork()) / (lateShare * c.capacity(now)))
}

// meanWork is the mean work of the requests that arrive.
func (c *Core) meanWork() time.Duration {
	count, work := 0.0, 0.0
	for _, r := range c.arrivals {
		count += r.count
		work += r.work
	}
	if count == 0 {
		return defaultWork
	}
	return time.Duration(work / count * float64(time.Second))
}

// reject tells the caller of a waiting request to return when the room of the late requests has come to it.
func (c *Core) reject(now time.Time, w *waiter, reason string) {
	c.drop(w, 0)
	earliest := now.Add(max(minRetryAfter, c.lateWait(now)))
	if c.nextReturn.Before(earliest) {
		c.nextReturn = earliest
	}
	retryAfter := c.nextReturn.Sub(now)
	latest := defaultRetryAfter
	if !w.Deadline.IsZero() {
		latest = max(minRetryAfter, time.Duration(maxRetryShare*float64(w.Deadline.Sub(now))))
	}
	if retryAfter > latest {
		retryAfter = latest
	} else {
		c.nextReturn = c.nextReturn.Add(c.lateInterval(now))
	}
	retryAfter = time.Duration(float64(retryAfter) * (1 - retrySpread*c.cfg.Rand.Float64()))
	c.decisions = append(c.decisions, Decision{Key: w.Key, RetryAfter: retryAfter, Reason: reason})
}

// Summary implements Pool.
func (c *Core) Summary(now time.Time) Summary {
	s := Summary{Waiting: c.inTime.count + c.late.count, Running: len(c.runs), ExpectedLatency: time.Duration(float64(c.meanWork()) * c.slowdownMean())}
	mostUrgent := math.MaxInt
	for priority, r := range c.arrivals {
		r.refresh(now)
		s.Demand += r.count
		if r.count > 0.5 && priority < mostUrgent {
			mostUrgent, s.UrgentDemand = priority, r.count
		}
	}
	limit := 0
	for _, server := range c.list {
		if !server.Usable || now.Before(server.pausedUntil) {
			continue
		}
		s.Servers++
		limit += server.limit(now, false)
		s.Room += max(0, server.limit(now, false)-int(server.occupied(now)+0.5))
	}
	s.Capacity = float64(limit) / max(0.001, s.ExpectedLatency.Seconds())
	s.ExpectedWait = time.Duration(float64(s.Waiting) / max(1, s.Capacity) * float64(time.Second))
	if s.Room > s.Waiting {
		s.ExpectedWait = 0
	}
	return s
}
