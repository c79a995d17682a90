package dispatcher

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

// serverLimit is what is known of the request limit of a server.
type serverLimit struct {
	sycamorevane.RequestLimit
	// statedAt is when the last response that stated the limit, or that there is none, was received.
	statedAt time.Time
	// changedAt is when RequestLimit last changed. requests and probes count what this entry has sent since.
	changedAt        time.Time
	requests, probes int
}

// applyLimit applies what a response states about the request limit of a server. It reports whether the limit changed,
// and what was known before.
func (c *core) applyLimit(now time.Time, id string, statement *sycamorevane.LimitStatement) (previous serverLimit, changed bool) {
	l, known := c.limits[id]
	if !known && !statement.Limited {
		return serverLimit{}, false
	}
	if !known {
		l = &serverLimit{changedAt: now}
		c.limits[id] = l
	}
	if s := c.byID[id]; s != nil {
		s.limit = l
	}
	if !statement.Limited && statement.RequestedAt.Before(l.statedAt) {
		return *l, false // The server may have named its limit after it had written this response.
	}
	previous = *l
	l.RequestLimit, l.statedAt = statement.RequestLimit, now
	if l.RequestLimit == previous.RequestLimit {
		return previous, false
	}
	l.changedAt, l.requests, l.probes = now, 0, 0
	return previous, true
}

func (s *server) limited() bool { return s.limit != nil && s.limit.Limited }

// handleLimit applies a limit statement and logs a change together with what this entry has sent under the previous one.
func (d *Dispatcher) handleLimit(now time.Time, id string, statement *sycamorevane.LimitStatement) {
	d.mu.Lock()
	previous, changed := d.core.applyLimit(now, id, statement)
	d.mu.Unlock()
	if !changed {
		return
	}
	d.cfg.Log.Info("server changes its request limit", "server", id, "limited", statement.Limited, "rate", statement.Rate,
		"previous", previous.Rate, "ms", now.Sub(previous.changedAt).Milliseconds(), "requests", previous.requests, "probes", previous.probes)
}

// countRequest counts a request that is sent to the server.
func (d *Dispatcher) countRequest(s *server) {
	if s.limited() {
		s.limit.requests++
		d.limitedRequests.Inc(1)
	}
}

// startProbe records that the server is probed.
func (d *Dispatcher) startProbe(now time.Time, s *server, svc *sycamorevane.Service) Probe {
	s.probedAt, s.probePending = now, true
	if s.limited() {
		s.limit.probes++
		d.limitedProbes.Inc(1)
	}
	return Probe{Server: withMaxConns(s.record.Server, svc), Path: svc.HealthPath}
}
