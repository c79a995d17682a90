package dispatcher

import (
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/shedder"
)

// limitWait describes when the limited servers that could take a request accept the next ones of this entry.
type limitWait struct {
	// limits holds the limits of which this entry has a share, share their sum.
	limits []*serverLimit
	share  float64
	// total is the sum of all limits, which entries share.
	total   float64
	entries int
}

func (w *limitWait) add(l *serverLimit, position entryPosition) {
	w.total += max(l.Rate, minLimitRate)
	w.entries = max(1, position.entries)
	if l.share > 0 {
		w.limits = append(w.limits, l)
		w.share += l.share
	}
}

// rate is the rate at which callers should return. For an entry without a share it is that of an equal share, since
// callers return to any entry.
func (w *limitWait) rate() float64 {
	if w.share > 0 {
		return w.share
	}
	return w.total / float64(max(1, w.entries))
}

// startsBy returns how many requests may start until the given time.
func (w *limitWait) startsBy(now, until time.Time) int {
	n := 0
	for _, l := range w.limits {
		if next := l.nextRequestAt(now); !next.After(until) {
			n += 1 + int(until.Sub(next).Seconds()*l.share)
		}
	}
	return n
}

// startAt estimates when a request starts that has the given number of others before it.
func (w *limitWait) startAt(now time.Time, before int) time.Time {
	first := now.Add(time.Duration(float64(time.Second) / w.total)) // The next request that any entry may send.
	for i, l := range w.limits {
		if next := l.nextRequestAt(now); i == 0 || next.Before(first) {
			first = next
		}
	}
	return first.Add(time.Duration(float64(before) / w.rate() * float64(time.Second)))
}

// refuseUnlessSoon refuses a request whose servers have all asked for a pause or have no room within their limits, unless
// limits allow it to start in time after those that wait before it and the more urgent ones that are to be expected. It
// returns nil if the request should wait.
func (d *Dispatcher) refuseUnlessSoon(now time.Time, w *waiter, got choice, before int) error {
	if got.limit.rate() <= 0 {
		return d.refuseUntilPauseEnds(now, w.req, got.requestedPauseEnd)
	}
	latest := w.latestStart.Add(-queueRetryInterval)
	within := max(0, latest.Sub(now))
	urgent := d.core.pool(w.req.Service).arrivals.Forecast(now, w.req.Priority, 0)
	moreUrgent := urgent.Urgent*within.Seconds() + shedder.Deviations*urgent.UrgentDeviation(within, 1)
	if float64(got.limit.startsBy(now, latest)) >= float64(before+1)+moreUrgent {
		return nil
	}
	at := got.limit.startAt(now, before)
	if !got.requestedPauseEnd.IsZero() && got.requestedPauseEnd.Before(at) {
		return d.refuseUntilPauseEnds(now, w.req, got.requestedPauseEnd)
	}
	at = d.core.pool(w.req.Service).reserveReturn(at, w.req, got.limit.rate())
	return d.refuse(w.req, "all servers limit their requests", at.Sub(now))
}

// reserveReturn returns when a refused caller should return, not before at, and at intervals that the rate allows.
// Callers whose deadline is earlier are not expected to return.
func (p *pool) reserveReturn(at time.Time, req *sycamorevane.Request, rate float64) time.Time {
	if p.nextReturn.After(at) {
		at = p.nextReturn
	}
	if !req.Hedge && at.Before(req.Deadline) {
		p.nextReturn = at.Add(time.Duration(float64(time.Second) / rate))
	}
	return at
}
