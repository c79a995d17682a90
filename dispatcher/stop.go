package dispatcher

import (
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
)

// stoppingReason is the reason of a refusal of a request that may take longer than this process runs.
const stoppingReason = "entry is shutting down and the request may take longer"

// boundLatestStart bounds the latest start of a request whose deadline is after the end of the process, so that the request
// ends before the process does. The caller holds the lock.
func (d *Dispatcher) boundLatestStart(w *waiter) {
	end := d.cfg.StopsAt()
	if end.IsZero() || !w.req.Deadline.After(end) {
		return
	}
	latest := end.Add(-d.core.pool(w.req.Service).latencyOf(w.req.Route).planned())
	if latest.Before(w.latestStart) {
		w.latestStart, w.boundByStop = latest, true
	}
}

// boundQueue bounds the latest starts of the waiting requests, and refuses those that may take longer than the process runs.
func (d *Dispatcher) boundQueue(now time.Time, service string) {
	if d.cfg.StopsAt().IsZero() {
		return
	}
	list := d.queue[service]
	for _, w := range list {
		d.boundLatestStart(w)
	}
	list = slices.DeleteFunc(list, func(w *waiter) bool {
		late := w.tooLateToFinish(now)
		if late {
			d.reject(w, d.refuseStopping(w))
		}
		return late
	})
	slices.SortStableFunc(list, compareWaiters)
	d.queue[service] = list
}

// tooLateToFinish reports whether a request that starts now may take longer than this process runs.
func (w *waiter) tooLateToFinish(now time.Time) bool {
	return w.boundByStop && now.After(w.latestStart)
}

// timeToStart is the time left until the request has to start if it takes the planned time.
func (w *waiter) timeToStart(now time.Time, planned time.Duration) time.Duration {
	left := w.req.Deadline.Sub(now) - planned
	if w.boundByStop {
		left = min(left, w.latestStart.Sub(now))
	}
	return left
}

// refuseLate refuses a request for the reason. If the end of the process bounds its start, that is the reason instead: other
// entries may have more time for it.
func (d *Dispatcher) refuseLate(v *view, w *waiter, reason string) *sycamorevane.RefusedError {
	if w.boundByStop && reason == noServerInTime {
		return d.refuseStopping(w)
	}
	return d.refuse(w.req, reason, d.retryAfter(v, w))
}

// refuseStopping refuses a request that may take longer than this process runs. Other entries can serve it at once.
func (d *Dispatcher) refuseStopping(w *waiter) *sycamorevane.RefusedError {
	return d.refuse(w.req, stoppingReason, 0)
}
