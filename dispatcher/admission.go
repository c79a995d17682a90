package dispatcher

import (
	"math/rand/v2"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane/shedder"
)

// noServerInTime is the reason of a refusal of a request that is not expected to start in time.
const noServerInTime = "no server becomes free in time"

// admit returns why a request that would have to wait is refused; empty if it may wait.
func (d *Dispatcher) admit(v *view, w *waiter) string {
	p := d.core.pool(w.req.Service)
	limit := p.entryLimit(v)
	if limit <= 0 {
		return "" // Without usable servers nothing is known about when there will be some.
	}
	if len(d.queue[w.req.Service]) < d.freeServers(v, w) {
		return "" // It waits for load reports only.
	}
	latency, forecast := p.latencyOf(w.req.Route), p.forecast(v.now, w.req.Priority, limit)
	if !forecast.WillStart(w.timeToStart(v.now, latency.planned()), d.workAhead(v, w), latency.mean.Seconds()) {
		return noServerInTime
	}
	queued := d.queuedWork(w)
	if forecast.Wait(queued) < latency.mean {
		return "" // Such a queue forms without overload as well.
	}
	if rand.Float64() >= p.shedder.Admissible(v.now, groupOf(w), forecast.Capacity, queued) {
		return "more requests arrive than can be served"
	}
	return ""
}

// forecast is what requests of the priority can expect if this entry may run the given number of requests.
func (p *pool) forecast(now time.Time, priority int, limit float64) shedder.Forecast {
	return p.shedder.Forecast(now, priority, p.throughput.Capacity(limit))
}

// freeServers is the number of servers that have room for the request.
func (d *Dispatcher) freeServers(v *view, w *waiter) int {
	p, n := d.core.pool(w.req.Service), 0
	mean, congested := p.latencyOf(w.req.Route).mean, p.congestedAt(v.now)
	for _, s := range p.servers {
		if usable(v, s, w.versionChoice.version, w.req.ExcludedServers) && !s.pausedAt(v.now) && !s.isLeaving() &&
			s.hasCapacity(v.now, mean, v.position.entries, s.limitFor(congested)) {
			n++
		}
	}
	return n
}

func groupOf(w *waiter) shedder.Group {
	return shedder.Group{Priority: w.req.Priority, Workspace: w.req.Workspace}
}

// countDemand counts a request that arrives.
func (p *pool) countDemand(v *view, w *waiter) {
	latency := p.latencyOf(w.req.Route)
	horizon := w.req.Deadline.Sub(v.now) - (latency.planned() - latency.mean)
	p.shedder.Count(v.now, groupOf(w), latency.mean.Seconds(), max(0, horizon))
	p.arrivals.Count(v.now, groupOf(w), 1, max(0, horizon))
}

// entryLimit is the number of requests that this entry may expect to run at once: its equal part of what the usable servers
// run, or what it runs now if other entries leave it more. It is 0 if only limited servers are usable, whose rates say when
// requests start.
func (p *pool) entryLimit(v *view) float64 {
	limit := p.usableLimit(v)
	if limit == 0 {
		return 0
	}
	return max(limit/float64(max(1, v.position.entries)), float64(p.running()))
}

// usableLimit is the number of requests that the usable servers without a request limit run at once.
func (p *pool) usableLimit(v *view) float64 {
	limit := 0.0
	for _, s := range p.servers {
		if usable(v, s, "", nil) && !s.pausedAt(v.now) && !s.isLeaving() && !s.limited() {
			limit += s.concurrencyLimit()
		}
	}
	return limit
}

// work is the expected time of the request on a server, in seconds.
func (d *Dispatcher) work(w *waiter) float64 {
	return d.core.pool(w.req.Service).latencyOf(w.req.Route).mean.Seconds()
}

// workAhead is the work in seconds of the requests that are served before w, which need not be in the queue.
func (d *Dispatcher) workAhead(v *view, w *waiter) float64 {
	list := d.queue[w.req.Service]
	if v.hasWorkspaces() {
		list = append(slices.Clone(list), w)
		d.core.pool(w.req.Service).turns.sort(list)
	}
	ahead := 0.0
	for _, other := range list {
		if other == w || !v.hasWorkspaces() && compareWaiters(other, w) > 0 {
			break
		}
		ahead += d.work(other)
	}
	return ahead
}

// queuedWork is the work in seconds of the waiting requests that are as urgent as w or more urgent.
func (d *Dispatcher) queuedWork(w *waiter) float64 {
	work := 0.0
	for _, other := range d.queue[w.req.Service] {
		if other.req.Priority <= w.req.Priority {
			work += d.work(other)
		}
	}
	return work
}

// expire refuses the waiting requests that are not expected to start in time, and records how long others have to wait.
func (d *Dispatcher) expire(v *view, service string) {
	p := d.core.pool(service)
	limit := p.entryLimit(v)
	list := slices.Clone(d.queue[service])
	if v.hasWorkspaces() {
		p.turns.sort(list)
	}
	waiting, ahead := false, 0.0
	var forecast shedder.Forecast
	for i, w := range list {
		waiting = waiting || v.now.Sub(w.queuedAt) >= congestedAfter
		if i == 0 || list[i-1].req.Priority != w.req.Priority {
			forecast = p.forecast(v.now, w.req.Priority, limit)
		}
		if limit > 0 && !w.req.Hedge && !forecast.MayStart(w.latestStart.Sub(v.now), ahead, d.work(w)) {
			err := d.refuseLate(v, w, noServerInTime)
			d.remove(w)
			d.reject(w, err)
			continue
		}
		ahead += d.work(w)
	}
	if waiting {
		p.lastCongested = v.now
		d.logNoCapacity(v, list[0])
	}
	p.throughput.Update(v.now, waiting, p.running(), limit)
}

func (p *pool) running() int {
	n := 0
	for _, s := range p.servers {
		n += len(s.startTimes)
	}
	return n
}

// retryAfter is when the caller of a refused request should return: when there is expected to be room for it, after the
// callers that were told so before.
func (d *Dispatcher) retryAfter(v *view, w *waiter) time.Duration {
	p := d.core.pool(w.req.Service)
	delay := shedder.DefaultRetryAfter
	if limit := p.entryLimit(v); limit > 0 {
		forecast := p.forecast(v.now, w.req.Priority, limit)
		excess := forecast.Wait(d.workAhead(v, w)) - max(0, w.latestStart.Sub(v.now))
		delay = p.returns.Reserve(v.now, max(0, excess), forecast.Interval(d.work(w)))
	}
	return shedder.RetryAfter(delay, w.req.Deadline.Sub(v.now), rand.Float64())
}

// remove takes the request out of the queue.
func (d *Dispatcher) remove(w *waiter) {
	d.queue[w.req.Service] = slices.DeleteFunc(d.queue[w.req.Service], func(other *waiter) bool { return other == w })
}
