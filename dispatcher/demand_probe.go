package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
)

const (
	// freshReportAge is the maximum age of a load report that counts as fresh. How long a request takes depends on
	// the load of the host at its start, which changes several times a second.
	freshReportAge = 10 * time.Millisecond
	// freshReportWait is how long a request waits for the answers of the probed servers; the slowest servers of
	// the deployments take 6 ms. After that it is placed by the last reports.
	freshReportWait = 20 * time.Millisecond
	// probesPerRequest is the number of probes that may be pending at a time for one waiting request,
	// probesPerService the number for all requests of a service.
	probesPerRequest = 2
	probesPerService = 16
	// demandProbesPerSecond bounds the probes of a server for waiting requests, over all entries. Together with
	// backgroundProbesPerSecond it stays below the limit of 60 per second that deployments set.
	demandProbesPerSecond = 40
	// slowCheckInterval is how often WaitWhileSlow checks the server, slowProbeInterval how often it probes the
	// server.
	slowCheckInterval = 5 * time.Millisecond
	slowProbeInterval = 40 * time.Millisecond
	// timelyWeight is the weight of one probe in the share of probes that are answered in time. Requests stop waiting
	// for answers when the share falls below minTimelyShare, and wait again from resumeTimelyShare on. While this
	// host is short of CPU time, probes would only make it slower.
	timelyWeight      = 0.05
	minTimelyShare    = 0.5
	resumeTimelyShare = 0.8
)

// versionChoice is the version that a request goes to while the state stays the same. If it were drawn again for each
// attempt while the request waits, the version with fewer servers would get less than its share.
type versionChoice struct {
	version      string
	trial        bool
	stateVersion uint64
}

// demandProbes lists the servers to probe for the waiting requests. The caller holds the lock.
func (d *Dispatcher) demandProbes(v *view, service string) []Probe {
	if d.cfg.SendProbe == nil {
		return nil
	}
	svc := v.state.Config.Service(service)
	if svc == nil || svc.HealthPath == "" {
		return nil
	}
	if d.cfg.Scheduler != nil {
		v.skipProbe = func(s *server) bool { return d.decidedByScheduler(v, s) }
	}
	var probes []Probe
	p := d.core.pool(service)
	available := probesPerService - p.pendingProbes(v.now)
	waiters := d.queue[service]
	if v.hasWorkspaces() {
		waiters = slices.Clone(waiters)
		p.turns.sort(waiters)
	}
	for _, w := range waiters {
		if available <= 0 {
			break
		}
		servers := d.core.serversToProbe(v, w, p, svc, min(probesPerRequest, available))
		for _, s := range servers {
			w.probed = append(w.probed, s)
			probes = append(probes, d.startProbe(v.now, s, svc))
		}
		available -= len(servers)
	}
	return probes
}

// serversToProbe lists the servers to probe for the request, of which up to n may be pending at a time: servers of the subset
// until freshUntil, and as long as the request waits, servers outside the subset when there are none of the subset to ask.
func (c *core) serversToProbe(v *view, w *waiter, p *pool, svc *sycamorevane.Service, n int) []*server {
	pending := w.pendingProbes(v.now)
	if v.position.ranked() && v.now.Before(w.freshUntil) {
		if servers := c.probeCandidates(v, w, p, svc, true, n-pending); len(servers) > 0 {
			return servers
		}
	}
	if pending > 0 || v.position.entries == 0 {
		return nil // Without the number of entries, no budget is known.
	}
	p.refillOutsideSubsetProbes(v)
	servers := c.probeCandidates(v, w, p, svc, false, min(n, int(p.outsideSubsetProbes.tokens)))
	p.outsideSubsetProbes.tokens -= float64(len(servers))
	return servers
}

func (p *pool) refillOutsideSubsetProbes(v *view) {
	b := &p.outsideSubsetProbes
	b.size = outsideSubsetBurst
	if p.congestedAt(v.now) {
		b.size = max(1, b.tokens) // What has been saved up before remains.
	}
	b.refill(v.now, p.outsideSubsetRate(v))
}

// pendingProbes returns the number of probed servers of the service that may still answer in time.
func (p *pool) pendingProbes(now time.Time) int {
	n := 0
	for _, s := range p.servers {
		if s.mayAnswerInTime(now) {
			n++
		}
	}
	return n
}

// pendingProbes returns the number of servers probed for this request that may still answer in time.
func (w *waiter) pendingProbes(now time.Time) int {
	w.probed = slices.DeleteFunc(w.probed, func(s *server) bool { return !s.mayAnswerInTime(now) })
	return len(w.probed)
}

// mayAnswerInTime reports whether a probe of the server is pending and may still be answered in time.
func (s *server) mayAnswerInTime(now time.Time) bool {
	return s.probePending && now.Sub(s.probedAt) < freshReportWait
}

// probeCandidates lists up to n servers of the lowest cost, in the subset or outside of it, that the request may go to and
// that have no fresh load report.
func (c *core) probeCandidates(v *view, w *waiter, p *pool, svc *sycamorevane.Service, inSubset bool, n int) []*server {
	if n <= 0 {
		return nil
	}
	type option struct {
		s    *server
		cost float64
	}
	var list []option
	meanLatency := p.latencyOf(w.req.Route).mean
	congested := p.congestedAt(v.now)
	minAge, minInterval := freshReportAge, time.Duration(min(entriesPerServer, v.entriesPerDC()))*time.Second/demandProbesPerSecond
	if !inSubset {
		minAge, minInterval = outsideSubsetReportAge, outsideSubsetReportAge
	}
	for _, s := range p.servers {
		if v.skipProbe != nil && v.skipProbe(s) {
			continue
		}
		if s.probePending || v.now.Sub(s.reportedAt) <= minAge || v.now.Sub(s.probedAt) < minInterval ||
			s.pausedAt(v.now) || s.record.LeaseExpired {
			continue
		}
		if !usable(v, s, w.versionChoice.version, w.req.ExcludedServers) || c.asksFreely(v, s) != inSubset || s.isLeaving() || s.limited() {
			continue
		}
		cold := isCold(v, s, svc)
		if cold && !c.allowsCold(v, s, svc) {
			continue
		}
		cost := s.cost(v.now, meanLatency, c.dc, cold) * (1 + costJitter*c.rand.Float64())
		if !s.hasCapacity(v.now, meanLatency, v.position.entries, s.limitFor(congested)) {
			cost *= fullCostFactor
		}
		list = append(list, option{s, cost})
	}
	slices.SortFunc(list, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	var found []*server
	for _, o := range list[:min(n, len(list))] {
		found = append(found, o.s)
	}
	return found
}

// asksFreely reports whether probes of the server are limited by their interval only. A server outside the subset may be
// asked by all entries, whose number limits their probes.
func (c *core) asksFreely(v *view, s *server) bool { return v.position.ranked() && c.inSubset(v, s) }

// recordTimeliness records whether a probe was answered in time.
func (d *Dispatcher) recordTimeliness(inTime bool) {
	value := 0.0
	if inTime {
		value = 1
	} else {
		d.lateAnswers.Inc(1)
	}
	d.timelyShare += timelyWeight * (value - d.timelyShare)
	if d.skipFreshWait && d.timelyShare < resumeTimelyShare || !d.skipFreshWait && d.timelyShare >= minTimelyShare {
		return
	}
	d.skipFreshWait = !d.skipFreshWait
	d.cfg.Log.Info("requests wait for the load of servers", "waiting", !d.skipFreshWait, "intime", d.timelyShare)
}

// freshUntil returns until when a request that arrives now waits for fresh load reports.
func (d *Dispatcher) freshUntil(now time.Time) time.Time {
	if d.cfg.SendProbe == nil || d.skipFreshWait {
		return now
	}
	return now.Add(freshReportWait)
}

// send sends the probes without waiting for answers.
func (d *Dispatcher) send(probes []Probe) {
	d.probesSent.Inc(int64(len(probes)))
	for _, p := range probes {
		d.cfg.SendProbe(p)
	}
}

// WaitWhileSlow returns when a fresh load report says that the server is not slow, at until, or when the context
// ends, whichever is first. It does not wait for servers that do not report their load, nor while too few probes are
// answered in time.
func (d *Dispatcher) WaitWhileSlow(ctx context.Context, server string, until time.Time) {
	t := time.NewTicker(slowCheckInterval)
	defer t.Stop()
	for now := time.Now(); now.Before(until); {
		ready, probes := d.mayStart(now, server)
		if ready {
			return
		}
		d.send(probes)
		select {
		case now = <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// mayStart reports whether a request may start on the server, and lists the server if it has to be probed.
func (d *Dispatcher) mayStart(now time.Time, server string) (bool, []Probe) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.core.byID[server]
	if s == nil || !s.reportsLoad || d.cfg.SendProbe == nil || d.skipFreshWait || s.requestedPauseAt(now) || s.isLeaving() || s.limited() {
		return true, nil
	}
	age := now.Sub(s.reportedAt)
	if age <= freshReportAge {
		return s.slowdown < slowThreshold, nil
	}
	st := d.cfg.State()
	svc := st.Config.Service(s.record.Server.Service)
	if svc == nil || svc.HealthPath == "" {
		return true, nil
	}
	if s.probePending || now.Sub(s.probedAt) < slowProbeInterval {
		return false, nil
	}
	return false, []Probe{d.startProbe(now, s, svc)}
}
