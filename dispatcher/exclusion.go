package dispatcher

import (
	"time"

	"github.com/uber-go/tally/v4"

	"sycamorevane.example/sycamorevane"
)

// exclusion is the reason why a server is not chosen for a request.
type exclusion uint8

const (
	notExcluded exclusion = iota
	// excludedUnusable servers must not get the request, whatever their load.
	excludedUnusable
	// excludedHedge servers have stated a request limit, and what they accept is for requests that run nowhere yet.
	excludedHedge
	// excludedOldReport servers are outside the subset and have not reported their load recently, and the request does not
	// accept old reports or this entry runs another one there.
	excludedOldReport
	// excludedScheduled servers are granted by the scheduler only.
	excludedScheduled
	// excludedCold servers are cold, and this entry may not send them a request now.
	excludedCold
	// excludedFull servers have no capacity left, by the estimate of this entry.
	excludedFull
	// excludedSlow servers are expected to take longer than the request accepts.
	excludedSlow
	// excludedStale servers may be free but have no fresh load report, or their fresh report says that they are slow.
	excludedStale
	exclusionCount
)

var exclusionNames = [exclusionCount]string{"none", "unusable", "hedge", "oldreport", "scheduled", "cold", "full", "slow", "stale"}

func (e exclusion) String() string { return exclusionNames[e] }

// unusable reports whether the server cannot take the request, however long it waits.
func (e exclusion) unusable() bool { return e == excludedUnusable || e == excludedHedge }

// selection holds what the choice of a server for a request depends on, the same for all servers.
type selection struct {
	req       *sycamorevane.Request
	version   string
	svc       *sycamorevane.Service
	latency   *routeLatency
	congested bool
	// longest is the longest expected latency that the request accepts.
	longest     time.Duration
	skipLeaving bool
	// acceptsOldReports is set when the request may go to a server outside the subset by an old report.
	acceptsOldReports bool
}

func (c *core) newSelection(v *view, req *sycamorevane.Request, p *pool, version string) *selection {
	latency := p.latencyOf(req.Route)
	sel := &selection{
		req: req, version: version, latency: latency, congested: p.congestedAt(v.now),
		longest:     p.longestLatency(v, req, version, latency),
		skipLeaving: p.anyNotLeaving(v, version, req.ExcludedServers),
	}
	if v.state != nil {
		sel.svc = v.state.Config.Service(req.Service)
	}
	if p.oldReportsSuffice(v) {
		sel.acceptsOldReports = p.oldReportBudget.hasToken(v.now, p.oldReportRate(v, latency.mean))
	}
	return sel
}

// assessment tells whether a server may be chosen for a request, and what its cost then depends on besides its load.
type assessment struct {
	excluded exclusion
	// outsideSubset is set for servers that get requests of this entry only shortly after a load report, unless the request
	// accepts old reports. Limited servers are placed by their limits instead.
	outsideSubset bool
	// oldReport is set for servers outside the subset that have not reported their load recently.
	oldReport bool
	cold      bool
}

// assess decides whether the server may be chosen for the request. For an excluded server, the fields after excluded may be
// unset.
func (c *core) assess(v *view, sel *selection, s *server) assessment {
	limited := s.limited()
	switch {
	case !usable(v, s, sel.version, sel.req.ExcludedServers) || sel.skipLeaving && s.isLeaving():
		return assessment{excluded: excludedUnusable}
	case limited && sel.req.Hedge:
		return assessment{excluded: excludedHedge}
	}
	var a assessment
	a.outsideSubset = !limited && !c.inSubset(v, s)
	a.oldReport = a.outsideSubset && s.reportsLoad && v.now.Sub(s.reportedAt) > outsideSubsetReportAge
	if a.oldReport && (!sel.acceptsOldReports || len(s.startTimes) > 0) {
		a.excluded = excludedOldReport
		return a
	}
	a.cold = isCold(v, s, sel.svc)
	a.excluded = c.excludeUsable(v, sel, s, a)
	return a
}

// excludeUsable returns why a usable server without an old report, or with one that suffices, is not chosen for the request.
func (c *core) excludeUsable(v *view, sel *selection, s *server, a assessment) exclusion {
	entries := v.position.entries // They may all take the free slots of the server at the same moment.
	if a.oldReport {
		entries = 1 // What they send by old reports is bounded by their budgets instead.
	}
	switch {
	case v.unscheduledOnly && c.grantedByScheduler(s, a.cold):
		return excludedScheduled
	case a.cold && !c.allowsCold(v, s, sel.svc):
		return excludedCold
	case !s.hasCapacity(v.now, sel.latency.mean, entries, s.limitFor(sel.congested)):
		return excludedFull
	case s.expectedNextLatency(v.now, sel.latency.base, sel.latency.mean) > sel.longest:
		return excludedSlow
	case v.requireFresh && s.reportsLoad && !s.limited() && (v.now.Sub(s.reportedAt) > freshReportAge || s.slowdown >= slowThreshold):
		return excludedStale
	}
	return notExcluded
}

// oldReportsSuffice reports whether the request need not wait for load reports of servers outside the subset: the servers are
// mostly free, or do not answer probes.
func (p *pool) oldReportsSuffice(v *view) bool {
	if v.requireFresh || v.waited < oldReportWait && p.outsideSubsetProbes.hasToken(v.now, p.outsideSubsetRate(v)) {
		return false
	}
	return p.fullShare <= maxFullShare || v.now.Sub(p.answeredAt) > unansweredPeriod
}

// oldReportRate is the rate of requests that this entry sends by old reports at most: its equal part of what the servers
// complete, so that all entries together do not overload them.
func (p *pool) oldReportRate(v *view, meanLatency time.Duration) float64 {
	return p.usableLimit(v) / float64(max(1, v.position.entries)) / max(meanLatency.Seconds(), 0.001)
}

// waitCounters counts waits by the most frequent reason for which servers were not chosen.
type waitCounters [exclusionCount]tally.Counter

func newWaitCounters(scope tally.Scope, name string) *waitCounters {
	var counters waitCounters
	for reason := range counters {
		counters[reason] = scope.Counter(name + "_" + exclusion(reason).String())
	}
	return &counters
}

func (c *waitCounters) add(w *waiter) { c[w.excluded.mostFrequent()].Inc(1) }

// exclusions counts the servers of a service by the reason why they are not chosen for a request.
type exclusions [exclusionCount]int

// mostFrequent returns the most frequent reason for which usable servers are not chosen.
func (e *exclusions) mostFrequent() exclusion {
	most := excludedUnusable
	for reason := excludedOldReport; reason < exclusionCount; reason++ {
		if n := e[reason]; n > 0 && (most == excludedUnusable || n > e[most]) {
			most = reason
		}
	}
	return most
}

// logValues lists the counts of all reasons as keys and values of a log line.
func (e *exclusions) logValues() []any {
	var list []any
	for reason := excludedUnusable; reason < exclusionCount; reason++ {
		list = append(list, "skip"+reason.String(), e[reason])
	}
	return list
}
