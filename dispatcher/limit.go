package dispatcher

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
)

const (
	// minLimitRate is the rate of requests to a server that accepts fewer, since only its responses tell that its limit
	// has ended.
	minLimitRate = 0.25
	// limitBurst is how many requests, in addition to those of one second, all entries together may send to a limited
	// server at once.
	limitBurst = 3
	// minLimitSenders is how many entries share a limit below one request per second. With more, each could send so few
	// requests that the end of the limit would be noticed late; with one, the server would depend on that entry.
	minLimitSenders = 2
	// limitCheckInterval is the time since the last statement of a limited server after which it is preferred for a
	// request, so that the end of its limit is noticed.
	limitCheckInterval = 5 * time.Second
	// limitReportPeriod is how long a changed limit is reported to the control hosts. Several reports are sent within this
	// time, since one may be lost.
	limitReportPeriod = 10 * time.Second
	// unknownLimitExpiry is how long an entry keeps a limit that another entry was told and that its control host does not
	// know. After a loss of all control hosts the entries report their limits again within a few seconds.
	unknownLimitExpiry = 10 * time.Second
	// isolatedShare is the part of its share of a limit that an isolated entry uses.
	isolatedShare = 0.25
)

// serverLimit is what is known of the request limit of a server, and this entry's share of it. The rate is divided
// among a few entries, since each must be able to send at least one request at once.
type serverLimit struct {
	sycamorevane.RequestLimit
	hash uint64
	// statedAt is when the last response that stated the limit, or that there is none, was received.
	statedAt time.Time
	// shared is set when the response was received by another entry.
	shared bool
	// unknownSince is since when the control host has not known the limit; zero while it does.
	unknownSince time.Time
	// changedAt is when RequestLimit last changed. requests and probes count what this entry has sent since.
	changedAt        time.Time
	requests, probes int
	// share is the rate of requests that this entry may send; 0 when it may not send any.
	share  float64
	bucket tokenBucket
}

// limitShare is what an entry may send to a limited server.
type limitShare struct {
	// rate is in requests per second, burst the number of requests at once.
	rate, burst float64
	// phase is the part of the interval between two requests by which this entry is ahead, from 0 to 1. It differs between
	// the entries of a server and between servers, so that requests are accepted at regular intervals.
	phase float64
}

// divideLimit returns the share of the entry in the given position; its rate is 0 when the entry may not send any requests.
func divideLimit(rate float64, hash uint64, position entryPosition) limitShare {
	rate = max(rate, minLimitRate)
	senders := min(position.entries, int(min(rate, float64(position.entries)))+minLimitSenders)
	if position.rank >= position.entries {
		return limitShare{}
	}
	index := offset(hash, position.rank, position.entries)
	if index >= senders {
		return limitShare{}
	}
	_, phase := math.Modf(float64(uint32(hash))/(1<<32) + float64(index)/float64(senders))
	share := limitShare{rate: rate / float64(senders), burst: (rate + limitBurst) / float64(senders), phase: phase}
	if position.isolated {
		share.rate, share.burst = isolatedShare*share.rate, 1
	}
	return share
}

// updateShare applies a changed limit or position. When the server has just told this entry of a new limit, it may use a part
// of its first token. An entry that gets a share in another way begins in debt, since the others may just have used theirs:
// after a change of its position, or when it learns of the limit from others, as it does when it joins.
func (l *serverLimit) updateShare(now time.Time, position entryPosition, newLimit bool) {
	l.bucket.refill(now, l.share)
	var share limitShare
	if l.Limited {
		share = divideLimit(l.Rate, l.hash, position)
	}
	switch {
	case newLimit:
		l.bucket.tokens = share.phase
	case l.share == 0:
		l.bucket.tokens = share.phase - 1
	}
	l.share, l.bucket.size = share.rate, share.burst
	l.bucket.tokens = min(l.bucket.tokens, l.bucket.size)
}

// nextRequestAt is when this entry may send the next request. The entry must have a share.
func (l *serverLimit) nextRequestAt(now time.Time) time.Time {
	l.bucket.refill(now, l.share)
	return now.Add(time.Duration(max(0, 1-l.bucket.tokens) / l.share * float64(time.Second)))
}

// applyLimit applies what a response states about the request limit of a server. It reports whether the limit changed,
// and what was known before.
func (c *core) applyLimit(now time.Time, id string, statement *sycamorevane.LimitStatement) (previous serverLimit, changed bool) {
	l, known := c.limits[id]
	if !known && !statement.Limited {
		return serverLimit{}, false
	}
	if !known {
		l = c.addLimit(now, id)
	}
	if !statement.Limited && statement.RequestedAt.Before(l.statedAt) {
		return *l, false // The server may have named its limit after it had written this response.
	}
	previous = *l
	l.shared = false
	return previous, c.setLimit(now, id, l, statement.RequestLimit, now)
}

// adoptLimit applies what a response to another entry states, unless a later statement is known. It reports the same as
// applyLimit.
func (c *core) adoptLimit(now time.Time, record *cataloger.ServerRecord) (previous serverLimit, changed bool) {
	id := record.Server.ID
	l, known := c.limits[id]
	if record.Limit == nil {
		return c.expireUnknown(now, id)
	}
	if !known && !record.Limit.Limited || known && !record.LimitStatedAt.After(l.statedAt) {
		return serverLimit{}, false
	}
	if !known {
		l = c.addLimit(now, id)
	}
	previous = *l
	l.unknownSince = time.Time{}
	l.shared = l.shared || l.RequestLimit != record.Limit.RequestLimit
	return previous, c.setLimit(now, id, l, record.Limit.RequestLimit, record.LimitStatedAt)
}

// expireUnknown ends a limit that another entry was told and that the control host has not known for unknownLimitExpiry:
// this entry may have missed its end. An entry with a share asks the server itself.
func (c *core) expireUnknown(now time.Time, id string) (previous serverLimit, changed bool) {
	l, known := c.limits[id]
	if !known || !l.Limited || !l.shared || l.share > 0 {
		return serverLimit{}, false
	}
	if l.unknownSince.IsZero() {
		l.unknownSince = now
	}
	if now.Sub(l.unknownSince) <= unknownLimitExpiry {
		return serverLimit{}, false
	}
	previous = *l
	return previous, c.setLimit(now, id, l, sycamorevane.RequestLimit{}, l.statedAt)
}

func (c *core) addLimit(now time.Time, id string) *serverLimit {
	l := &serverLimit{hash: xxhash.Sum64String(id), changedAt: now}
	c.limits[id] = l
	return l
}

// setLimit sets a limit that was stated at the given time, and reports whether that changes it.
func (c *core) setLimit(now time.Time, id string, l *serverLimit, limit sycamorevane.RequestLimit, statedAt time.Time) bool {
	previous := l.RequestLimit
	l.RequestLimit, l.statedAt = limit, statedAt
	if s := c.byID[id]; s != nil {
		s.limit = l
	}
	if l.RequestLimit == previous {
		return false
	}
	l.updateShare(now, c.position, !previous.Limited && !l.shared)
	l.changedAt, l.requests, l.probes = now, 0, 0
	return true
}

// statedLimits lists what responses to this entry have stated, if that is a recent change or not what the control host
// knows.
func (c *core) statedLimits(now time.Time) []cataloger.LimitReport {
	var list []cataloger.LimitReport
	for id, l := range c.limits {
		s := c.byID[id]
		if s == nil || l.shared || now.Sub(l.changedAt) > limitReportPeriod && l.RequestLimit == s.catalogedLimit() {
			continue
		}
		list = append(list, cataloger.LimitReport{RequestLimit: l.RequestLimit, Server: id, Age: now.Sub(l.statedAt)})
	}
	return list
}

// forgetLimits drops the limits of servers that have been missing from the catalog for long.
func (c *core) forgetLimits(now time.Time) {
	maps.DeleteFunc(c.limits, func(id string, l *serverLimit) bool {
		return c.byID[id] == nil && now.Sub(l.statedAt) > leavingRetention
	})
}

// setPosition divides all limits anew when the position of this entry has changed.
func (c *core) setPosition(now time.Time, position entryPosition) {
	if c.position == position {
		return
	}
	c.position = position
	for _, l := range c.limits {
		l.updateShare(now, position, false)
	}
}

// catalogedLimit is the limit of the server that the control host knows.
func (s *server) catalogedLimit() sycamorevane.RequestLimit {
	if s.record.Limit == nil {
		return sycamorevane.RequestLimit{}
	}
	return s.record.Limit.RequestLimit
}

func (s *server) limited() bool { return s.limit != nil && s.limit.Limited }

// withinLimit reports whether this entry may send the server a request now.
func (s *server) withinLimit(now time.Time) bool {
	return !s.limited() || s.limit.share > 0 && s.limit.bucket.hasToken(now, s.limit.share)
}

// limitCheckDue reports whether the limit of the server has not been confirmed for limitCheckInterval.
func (s *server) limitCheckDue(now time.Time) bool {
	return s.limited() && now.Sub(s.limit.statedAt) >= limitCheckInterval && !s.pausedAt(now) && !s.record.LeaseExpired
}

// handleLimit applies a limit statement and logs a change together with what this entry has sent under the previous one.
func (d *Dispatcher) handleLimit(now time.Time, id string, statement *sycamorevane.LimitStatement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if previous, changed := d.core.applyLimit(now, id, statement); changed {
		d.logLimit(now, id, &previous)
	}
}

// adoptLimits applies what responses to other entries state according to the catalog. The caller holds the lock.
func (d *Dispatcher) adoptLimits(now time.Time, records []cataloger.ServerRecord) {
	for i := range records {
		if previous, changed := d.core.adoptLimit(now, &records[i]); changed {
			d.logLimit(now, records[i].Server.ID, &previous)
		}
	}
	d.core.forgetLimits(now)
}

// logLimit logs a changed limit together with what this entry has sent under the previous one.
func (d *Dispatcher) logLimit(now time.Time, id string, previous *serverLimit) {
	l := d.core.limits[id]
	d.cfg.Log.Info("server changes its request limit", "server", id, "limited", l.Limited, "rate", l.Rate, "share", l.share,
		"shared", l.shared, "agems", now.Sub(l.statedAt).Milliseconds(), "previous", previous.Rate,
		"ms", now.Sub(previous.changedAt).Milliseconds(), "requests", previous.requests, "probes", previous.probes)
}

// StatedLimits lists what servers have stated about their request limits in responses to this entry, for the other
// entries.
func (d *Dispatcher) StatedLimits() []cataloger.LimitReport {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.statedLimits(now)
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
