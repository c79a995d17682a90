package scheduler

import (
	"math"
	"time"

	"sycamorevane.example/sycamorevane/shedder"
)

const (
	// rateWindow is the time constant of the smoothed rates.
	rateWindow = time.Second
	// maxWaiting bounds the waiting requests.
	maxWaiting = 4096
	// maxRoomAge is the age up to which nextRoom is used.
	maxRoomAge = 10 * time.Millisecond
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
	c.shedder.Count(now, w.group(), w.work.Seconds(), w.horizon(now)+w.work)
}

func (r *rate) add(now time.Time, work time.Duration) {
	r.refresh(now)
	r.count += 1 / rateWindow.Seconds()
	r.work += work.Seconds() / rateWindow.Seconds()
}

// capacity is the work in seconds that the pool can do in a second while requests wait.
func (c *Core) capacity(now time.Time) float64 {
	return c.throughput.Capacity(float64(c.totalLimit(now)))
}

// workAhead is the work in seconds of the waiting requests that go before w.
func (c *Core) workAhead(w *waiter) float64 {
	ahead := 0.0
	for _, class := range c.queue.classes {
		if class.priority <= w.Priority {
			ahead += class.workBefore(w).Seconds()
		}
	}
	return ahead
}

// forecast is what requests of the priority can expect.
func (c *Core) forecast(now time.Time, priority int) shedder.Forecast {
	return c.shedder.Forecast(now, priority, c.capacity(now))
}

// admit rejects a request that has to wait if it is not expected to start in time, or if its part of the capacity is used
// up by others like it.
func (c *Core) admit(now time.Time, w *waiter) {
	if c.queue.count <= c.freeServers(now) {
		return // It waits for load reports only.
	}
	if now.Sub(c.roomUpdatedAt) > maxRoomAge {
		c.updateRoom(now)
	}
	forecast, work := c.forecast(now, w.Priority), w.work.Seconds()
	if now.Add(w.horizon(now)).Before(c.nextRoom) || !forecast.WillStart(w.horizon(now), c.workAhead(w), work) {
		c.reject(now, w, "no server becomes free in time")
		return
	}
	queued := c.queuedWork(w.Priority) - work
	if forecast.Wait(queued) < w.work {
		return // Such a queue forms without overload as well.
	}
	if c.cfg.Rand.Float64() >= c.shedder.Admissible(now, w.group(), forecast.Capacity, queued) {
		c.reject(now, w, "more requests arrive than can be served")
	}
}

// freeServers is the number of servers that have room.
func (c *Core) freeServers(now time.Time) int {
	n, congested := 0, c.congested(now)
	for _, s := range c.list {
		if s.hasRoom(now, c.reportsLoad, congested) {
			n++
		}
	}
	return n
}

// horizon is how long the request can wait and still be expected to end before its deadline, also if it takes longer than
// usual.
func (w *waiter) horizon(now time.Time) time.Duration {
	return max(0, w.latestStart.Sub(now)-w.margin())
}

// queuedWork is the work in seconds of the waiting requests that are as urgent or more urgent.
func (c *Core) queuedWork(priority int) float64 {
	work := 0.0
	for _, class := range c.queue.classes {
		if class.priority <= priority {
			work += class.work.Seconds()
		}
	}
	return work
}

// margin is by how much the request may take longer or shorter than expected.
func (w *waiter) margin() time.Duration { return spreadMargin * w.spread }

func (w *waiter) group() shedder.Group {
	return shedder.Group{Priority: w.Priority, Workspace: w.Workspace}
}

// rejectUnservable rejects the request if no server can take it or if it cannot be finished. It reports whether it did.
func (c *Core) rejectUnservable(now time.Time, w *waiter) bool {
	switch {
	case !c.anyUsable():
		c.reject(now, w, ReasonNoServer)
	case len(c.waiting) > maxWaiting:
		c.reject(now, w, "queue is full")
	case now.After(w.latestStart.Add(w.margin())):
		c.reject(now, w, "deadline cannot be met")
	default:
		return false
	}
	return true
}

// expire rejects the waiting requests that are not expected to finish before their deadline, and records how long others
// have to wait.
func (c *Core) expire(now time.Time) {
	var expired []*waiter
	waiting := false
	ahead := 0.0
	for _, class := range c.queue.classes {
		forecast := c.forecast(now, class.priority)
		for w := range class.next {
			waiting = waiting || now.Sub(w.arrivedAt) > congestedAfter
			latest := w.latestStart.Add(w.margin())
			if latest.Before(c.nextRoom) || !forecast.MayStart(latest.Sub(now), ahead, w.work.Seconds()) {
				expired = append(expired, w)
				continue
			}
			ahead += w.work.Seconds()
		}
	}
	if waiting {
		c.lastCongested = now
	}
	c.throughput.Update(now, waiting, len(c.runs), float64(c.totalLimit(now)))
	c.updateRoom(now)
	for _, w := range expired {
		c.reject(now, w, "deadline cannot be met")
	}
	if !c.anyUsable() {
		for _, w := range c.waiting {
			c.reject(now, w, ReasonNoServer)
		}
	}
}

// updateRoom determines when a server is expected to have room: now, or when the first request ends if all are full.
func (c *Core) updateRoom(now time.Time) {
	c.nextRoom, c.roomUpdatedAt = now, now
	if c.freeServers(now) > 0 {
		return
	}
	var first time.Time
	for _, r := range c.runs {
		if s := c.servers[r.server]; s != nil && s.Usable && (first.IsZero() || r.expectedEnd.Before(first)) {
			first = r.expectedEnd
		}
	}
	c.nextRoom = first
}

func (c *Core) anyUsable() bool {
	for _, s := range c.list {
		if s.Usable {
			return true
		}
	}
	return false
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

// reject rejects a waiting request. Its caller is told to return when there is expected to be room for it, after the
// callers that were told so before.
func (c *Core) reject(now time.Time, w *waiter, reason string) {
	delay := shedder.DefaultRetryAfter
	if reason != ReasonNoServer {
		forecast := c.forecast(now, w.Priority)
		excess := max(c.nextRoom.Sub(now), forecast.Wait(c.workAhead(w))) - max(0, w.latestStart.Sub(now))
		delay = c.returns.Reserve(now, max(0, excess), forecast.Interval(w.work.Seconds()))
	}
	c.drop(w, 0)
	var left time.Duration
	if !w.Deadline.IsZero() {
		left = w.Deadline.Sub(now)
	}
	c.decisions = append(c.decisions, Decision{Key: w.Key, RetryAfter: shedder.RetryAfter(delay, left, c.cfg.Rand.Float64()), Reason: reason})
}

// Summary implements Pool.
func (c *Core) Summary(now time.Time) Summary {
	s := Summary{Waiting: c.queue.count, Running: len(c.runs), ExpectedLatency: time.Duration(float64(c.meanWork()) * c.slowdownMean())}
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
