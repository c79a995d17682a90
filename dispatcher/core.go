package dispatcher

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
	"sycamorevane.example/sycamorevane/shedder"
)

const (
	// initialLatency is the assumed latency of a route without observations.
	initialLatency = 200 * time.Millisecond
	// baseQuantile is the share of responses assumed to be as fast as on an otherwise idle host. baseStepRatio is
	// the relative change of the estimate per response.
	baseQuantile  = 0.3
	baseStepRatio = 0.1
	// meanLatencyWeight is the weight of one response in the mean latency of its route and in its mean deviation.
	meanLatencyWeight = 0.1
	// costJitter randomizes the costs of servers, so that entries with the same information choose different servers.
	costJitter = 0.15
	// entriesPerServer is the number of entries of a data centre that have a given server of that data centre in
	// their subset. With more, each entry sees fewer of the server's load reports; with fewer, an entry has too few
	// servers to choose from.
	entriesPerServer = 3
	// outsideSubsetCostFactor applies to servers of the local data centre outside the subset: a server of the subset
	// is preferred unless it is twice as slow.
	outsideSubsetCostFactor = 2.0
	// outsideSubsetReportAge is the maximum age of the last load report of a server outside the subset, which is asked
	// again after that. Since an older report, many entries may have sent requests to that server.
	outsideSubsetReportAge = 150 * time.Millisecond
	// oldReportWait is how long a request waits for load reports while its entry can ask for them, before it may go to a
	// server outside the subset by an older one: long enough for the answers of two rounds of probes.
	oldReportWait = 2 * freshReportWait
	// unansweredPeriod is the time without a probe answered in time after which old reports are used however full the servers are.
	unansweredPeriod = 3 * time.Second
	// maxFullShare is the share of load reports of a server without room up to which old reports are used. Above it, too many
	// requests that go by them would start on a server at its knee.
	maxFullShare = 0.25
	// minFullShareWeight is the weight of one load report in that share once it is based on many.
	minFullShareWeight = 0.1
	// leaseExpiredCostFactor keeps requests off servers that have not reported to a control host for the duration of
	// their lease, as long as other servers can take them.
	leaseExpiredCostFactor = 20.0
	// pausedCostFactor keeps requests off paused servers in the same way.
	pausedCostFactor = 50.0
	// leavingUseShare is the share of Bounds.DrainTime during which a leaving server still gets requests when no other
	// server is usable. The rest of the time is for requests that are already under way.
	leavingUseShare = 0.4
	// leavingRetention is how long the cutoff of a leaving server is kept: longer than any server takes to stop.
	leavingRetention = time.Hour
	// anyLatency is the bound of a request that starts on any server.
	anyLatency = time.Duration(math.MaxInt64)
	// fullCostFactor lowers the priority of servers that appear to be full when choosing which servers to probe.
	fullCostFactor = 10.0
)

// Bounds are the system-wide limits that the entries enforce together.
type Bounds struct {
	// ColdFactor and ColdSlack bound the requests per second that a cold server gets from all entries: its rate times
	// ColdFactor plus ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// DrainTime is the time after which a server that has announced in a response that it is leaving gets no new
	// requests; 0 means at once.
	DrainTime time.Duration
}

// entryPosition is the rank of this entry among the entries that take requests, and their number. The system-wide
// limits are divided among them.
type entryPosition struct {
	rank, entries int
	// isolated is set when the entry has lost contact with the control hosts. The others may have divided the limits
	// anew without it.
	isolated bool
}

// ranked reports whether callers are sent to this entry.
func (p entryPosition) ranked() bool { return p.rank < p.entries }

// core chooses servers. It does no I/O: time and randomness are passed in.
type core struct {
	dc     string
	bounds Bounds
	rand   *rand.Rand
	pools  map[string]*pool
	// byID holds the servers of all services.
	byID map[string]*server
	// cutoffs holds, for each server that has announced in a response that it is leaving, the time from which it gets
	// no requests. A cutoff outlives the server's catalog record, which may be missing for a while.
	cutoffs map[string]time.Time
	// limits holds the request limits that servers have stated. They outlive catalog records like cutoffs.
	limits map[string]*serverLimit
	// position is the position by which the limits are divided.
	position  entryPosition
	lastGrant uint64
}

// pool holds the servers of one service.
type pool struct {
	servers []*server
	// latencies holds the latency estimates by route.
	latencies map[string]*routeLatency
	// reportsLoad is set once a server of the service has reported its load.
	reportsLoad bool
	// lastRequest is when the last request for the service came.
	lastRequest time.Time
	// lastCongested is when a request had last waited for congestedAfter without getting a server.
	lastCongested time.Time
	// nextReturn is the earliest time at which the next caller that is refused because of limits should return.
	nextReturn time.Time
	// shedder, throughput and returns decide which requests wait, and when the callers of the others return.
	shedder    *shedder.Shedder
	throughput shedder.Throughput
	returns    shedder.Returns
	// arrivals counts the requests, each as one unit of work.
	arrivals *shedder.Shedder
	turns    turns
	// outsideSubsetProbes limits the probes of servers outside the subset, oldReportBudget the requests that go to such
	// servers by an old report.
	outsideSubsetProbes tokenBucket
	oldReportBudget     tokenBucket
	// answeredAt is when a server last answered a probe in time.
	answeredAt time.Time
	// fullShare is the exponentially weighted share of load reports of a server that had no room for a further request.
	fullShare float64
	// reportCount is the number of those reports.
	reportCount int
}

func (p *pool) congestedAt(now time.Time) bool { return now.Sub(p.lastCongested) < congestedPeriod }

// routeLatency estimates the latency of successful responses of a route.
type routeLatency struct {
	// mean is an exponentially weighted mean and spread the mean deviation from it. base is a low quantile, which
	// approximates the latency on an otherwise idle host.
	mean, spread, base time.Duration
	// initialized is set when a response has replaced the initial values.
	initialized bool
}

func (l *routeLatency) add(latency time.Duration) {
	if !l.initialized {
		l.initialized, l.mean, l.base = true, latency, latency
		return
	}
	l.spread += time.Duration(meanLatencyWeight * float64((latency-l.mean).Abs()-l.spread))
	l.mean += time.Duration(meanLatencyWeight * float64(latency-l.mean))
	if latency > l.base {
		l.base += time.Duration(baseStepRatio * baseQuantile * float64(l.base))
		return
	}
	l.base -= time.Duration(baseStepRatio * (1 - baseQuantile) * float64(l.base))
}

// planned is the time that is planned for a request that has to wait. Of about normally distributed latencies, 19 of 20 are
// at most two mean deviations above the mean.
func (l *routeLatency) planned() time.Duration { return l.mean + 2*l.spread }

func newCore(dc string, bounds Bounds, r *rand.Rand) *core {
	return &core{
		dc: dc, bounds: bounds, rand: r, pools: make(map[string]*pool), byID: make(map[string]*server),
		cutoffs: make(map[string]time.Time), limits: make(map[string]*serverLimit),
	}
}

// update replaces the servers. State of servers that remain is kept.
func (c *core) update(records []cataloger.ServerRecord) {
	byID := make(map[string]*server, len(records))
	for _, p := range c.pools {
		p.servers = nil
	}
	for _, record := range records {
		s, ok := c.byID[record.Server.ID]
		if !ok {
			s = newServer(record)
		}
		s.record, s.cutoff, s.limit = record, c.cutoffs[record.Server.ID], c.limits[record.Server.ID]
		byID[record.Server.ID] = s
		p := c.pool(record.Server.Service)
		s.reportsLoad = p.reportsLoad
		p.servers = append(p.servers, s)
	}
	c.byID = byID
}

func (c *core) pool(service string) *pool {
	p, ok := c.pools[service]
	if !ok {
		p = &pool{latencies: make(map[string]*routeLatency), arrivals: shedder.New(), shedder: shedder.New()}
		c.pools[service] = p
	}
	return p
}

// markReportsLoad records that the servers of the service report their load.
func (p *pool) markReportsLoad() {
	if p.reportsLoad {
		return
	}
	p.reportsLoad = true
	for _, s := range p.servers {
		s.reportsLoad = true
	}
}

// recordReport adds a load report that has just been applied to the server.
func (p *pool) recordReport(s *server) {
	full := 0.0
	if s.others+float64(len(s.startTimes))+1 > s.concurrencyLimit() {
		full = 1
	}
	p.reportCount++
	p.fullShare += max(minFullShareWeight, 1/float64(p.reportCount)) * (full - p.fullShare)
}

func (p *pool) latencyOf(route string) *routeLatency {
	latency, ok := p.latencies[route]
	if !ok {
		latency = &routeLatency{mean: initialLatency, base: initialLatency / 2}
		p.latencies[route] = latency
	}
	return latency
}

// choice is the result of a pick. Without a server, anyUsable tells whether usable servers exist, so that waiting may
// help, and stale whether some of them may be free but have no fresh load report.
type choice struct {
	server    *server
	trial     bool
	anyUsable bool
	stale     bool
	excluded  exclusions
	// requestedPauseEnd is when the first of the servers that have asked for a pause takes requests again, limit when
	// limited servers do. They are zero unless all other servers are unusable.
	requestedPauseEnd time.Time
	limit             limitWait
}

// blocked reports whether all servers that could take the request have asked for a pause or have no room within their
// limits.
func (c *choice) blocked(now time.Time) bool {
	return c.server == nil && (c.requestedPauseEnd.After(now) || c.limit.rate() > 0)
}

// view holds what a decision depends on besides the servers.
type view struct {
	now      time.Time
	state    *sycamorevane.State
	position entryPosition
	blocked  func(service, version string) bool
	// undrainedAt holds when each data centre was undrained, by this host's clock.
	undrainedAt map[string]time.Time
	// requireFresh excludes servers that report their load but have no fresh report, or whose fresh report says that
	// they are slow.
	requireFresh bool
	// skipProbe reports whether a server is not probed for waiting requests; nil means that all may be.
	skipProbe func(*server) bool
	// waited is how long the request has waited for a server.
	waited time.Duration
	// unscheduledOnly excludes the servers that the scheduler may grant.
	unscheduledOnly bool
}

// pick chooses a version and a server for a request.
func (c *core) pick(v *view, req *sycamorevane.Request) choice {
	return c.pickWithVersion(v, req, c.chooseVersion(v, req))
}

// chooseVersion chooses the version that a request goes to.
func (c *core) chooseVersion(v *view, req *sycamorevane.Request) *versionChoice {
	version, trial := c.drawVersion(v, req)
	return &versionChoice{version: version, trial: trial, stateVersion: v.state.Version}
}

// pickWithVersion chooses a server of the version that was chosen for the request.
func (c *core) pickWithVersion(v *view, req *sycamorevane.Request, chosen *versionChoice) choice {
	p := c.pools[req.Service]
	if p == nil {
		return choice{}
	}
	p.lastRequest = v.now
	got := c.cheapest(v, req, p, chosen.version)
	if got.server == nil && chosen.trial && !got.stale {
		// A trial request may always go to the old version.
		r := v.state.Rollouts[req.Service]
		return c.cheapest(v, req, p, r.FromVersion)
	}
	got.trial = chosen.trial
	return got
}

// drawVersion draws the version that the request goes to; it is empty when any version will do.
func (c *core) drawVersion(v *view, req *sycamorevane.Request) (name string, trial bool) {
	if req.Version != "" {
		return req.Version, false
	}
	shares := v.state.VersionShares(req.Service)
	if shares == nil {
		return "", false
	}
	if len(shares) == 1 {
		for only := range shares {
			name = only
		}
		return name, false
	}
	r := v.state.Rollouts[req.Service]
	if c.rand.Float64() < shares[r.ToVersion] && !v.blocked(req.Service, r.ToVersion) {
		return r.ToVersion, true
	}
	return r.FromVersion, false
}

// cheapest chooses, among the usable servers with capacity for the request, the one of the lowest cost.
func (c *core) cheapest(v *view, req *sycamorevane.Request, p *pool, version string) choice {
	sel := c.newSelection(v, req, p, version)
	var got choice
	// A server with an old report is taken when no other one has room, and a limited server when neither has.
	var best, outdated, substitute candidate
	for _, s := range p.servers {
		a := c.assess(v, sel, s)
		got.excluded[a.excluded]++
		got.anyUsable = got.anyUsable || !a.excluded.unusable()
		got.stale = got.stale || a.excluded == excludedStale
		if a.excluded != notExcluded {
			continue
		}
		cost := c.placementCost(v, s, sel.latency.mean, a)
		switch {
		case a.oldReport:
			outdated.offer(s, cost, a.cold)
		case !s.limited():
			best.offer(s, cost, a.cold)
		case s.limitCheckDue(v.now):
			best.offer(s, 0, a.cold)
		default:
			substitute.offer(s, cost, a.cold)
		}
	}
	if best.server == nil && outdated.server != nil {
		best = outdated
		p.oldReportBudget.take(v.now, p.oldReportRate(v, sel.latency.mean))
	}
	if best.server == nil && !got.stale {
		best = substitute
	}
	got.server = best.server
	c.takeTokens(v, &best, sel.svc)
	if !got.anyUsable {
		got.requestedPauseEnd, got.limit = p.blockedUntil(v, req, version)
	}
	return got
}

// candidate is the server of the lowest cost so far; server is nil without one.
type candidate struct {
	server *server
	cost   float64
	cold   bool
}

func (b *candidate) offer(s *server, cost float64, cold bool) {
	if b.server == nil || cost < b.cost {
		*b = candidate{s, cost, cold}
	}
}

// placementCost is the cost of the server including the reasons to avoid it, randomized by costJitter.
func (c *core) placementCost(v *view, s *server, meanLatency time.Duration, a assessment) float64 {
	cost := s.cost(v.now, meanLatency, c.dc, a.cold) * (1 + costJitter*c.rand.Float64())
	if a.outsideSubset && s.record.Server.DC == c.dc {
		cost *= outsideSubsetCostFactor
	}
	if s.record.LeaseExpired {
		cost *= leaseExpiredCostFactor
	}
	if s.pausedAt(v.now) {
		cost *= pausedCostFactor
	}
	return cost
}

// takeTokens takes the tokens for a request to the chosen server.
func (c *core) takeTokens(v *view, chosen *candidate, svc *sycamorevane.Service) {
	s := chosen.server
	if s == nil {
		return
	}
	if chosen.cold {
		s.coldBucket.take(v.now, c.coldRate(v, svc))
	}
	if s.limited() {
		s.limit.bucket.take(v.now, s.limit.share)
	}
}

// blockedUntil returns when the servers that only a requested pause or their limit makes unusable take the request. Limited
// servers take no hedges.
func (p *pool) blockedUntil(v *view, req *sycamorevane.Request, version string) (pauseEnd time.Time, limit limitWait) {
	for _, s := range p.servers {
		switch {
		case !eligible(v, s, version, req.ExcludedServers) || s.limited() && req.Hedge:
		case s.requestedPauseAt(v.now):
			if pauseEnd.IsZero() || s.requestedPauseEnd.Before(pauseEnd) {
				pauseEnd = s.requestedPauseEnd
			}
		case s.limited():
			limit.add(s.limit, v.position)
		}
	}
	return pauseEnd, limit
}

// anyNotLeaving reports whether a usable server has not announced that it is leaving.
func (p *pool) anyNotLeaving(v *view, version string, excludedServers []string) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return !s.isLeaving() && usable(v, s, version, excludedServers)
	})
}

// longestLatency is the longest expected latency that the request accepts on a server. It does not start where it would not
// be answered before its deadline. As long as there is time, it does not start on a slow host either, where it would take a
// slot several times as long, before the load of the hosts has been drawn anew, or while others need the room. If no server
// is expected to respond in that time, it accepts any.
func (p *pool) longestLatency(v *view, req *sycamorevane.Request, version string, latency *routeLatency) time.Duration {
	longest := anyLatency
	if !req.Deadline.IsZero() {
		longest = req.Deadline.Sub(v.now)
	}
	if fast := time.Duration(slowThreshold * float64(latency.base)); !req.Hedge && longest > fast+slowdownDecay {
		if (v.waited < slowdownDecay || p.congestedAt(v.now)) && p.anyWithin(v, req, version, latency.base, fast) {
			return fast
		}
	}
	if p.anyWithin(v, req, version, latency.base, longest) {
		return longest
	}
	return anyLatency
}

// anyWithin reports whether a server that is not leaving, free or not, is expected to respond within the time.
func (p *pool) anyWithin(v *view, req *sycamorevane.Request, version string, base, within time.Duration) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return !s.record.LeaseExpired && !s.pausedAt(v.now) && !s.isLeaving() &&
			s.expectedLatency(v.now, base) <= within && usable(v, s, version, req.ExcludedServers)
	})
}

// usable reports whether the server may get the request now, apart from its load.
func usable(v *view, s *server, version string, excludedServers []string) bool {
	return !s.requestedPauseAt(v.now) && eligible(v, s, version, excludedServers) && s.withinLimit(v.now)
}

// eligible reports whether the server may get the request once no requested pause or limit is in the way.
func eligible(v *view, s *server, version string, excludedServers []string) bool {
	record := &s.record
	if record.Leaving() || s.addressReused || s.pastCutoff(v.now) || version != "" && record.Server.Version != version {
		return false
	}
	if v.state.ServerDrained(&record.Server, record.StartedAt) {
		return false
	}
	if _, drained := v.state.DrainedDCs[record.Server.DC]; drained {
		return false
	}
	for _, id := range excludedServers {
		if id == record.Server.ID {
			return false
		}
	}
	return true
}

// isCold reports whether the server is cold: by its own report, or because its data centre was undrained recently and
// the server has not reported since. Its servers may have become cold while the data centre was drained.
func isCold(v *view, s *server, svc *sycamorevane.Service) bool {
	if svc == nil || svc.ColdRate <= 0 {
		return false
	}
	if v.now.Before(s.record.ColdUntil) {
		return true
	}
	since, ok := v.undrainedAt[s.record.Server.DC]
	return ok && v.now.Sub(since) < svc.ColdPeriod && s.record.ReportedAt.Before(since)
}

// inSubset reports whether the server belongs to the subset that this entry probes and sends most of its requests to.
// With few entries the subset is all servers. With many entries, each would otherwise see so few responses of every
// server that its load estimates were useless. The rank works as an index because names of entries are addresses:
// those of one data centre mostly have consecutive ranks and therefore different remainders. An entry without a rank has no
// subset then.
func (c *core) inSubset(v *view, s *server) bool {
	n := v.entriesPerDC()
	if n <= entriesPerServer {
		return true
	}
	if s.record.Server.DC != c.dc || !v.position.ranked() {
		return false
	}
	return s.offset(v.position.rank%n, n) < entriesPerServer
}

// entriesPerDC returns the number of entries per data centre that callers are sent to.
func (v *view) entriesPerDC() int {
	dcs := max(1, len(v.state.Config.DCs))
	return max(1, (v.position.entries+dcs-1)/dcs)
}

// coldEntries returns how many entries may send requests to a cold server. Each of them may send one request at any
// moment on top of its share of the rate; limiting their number keeps the sum below the bound.
func (c *core) coldEntries(v *view, svc *sycamorevane.Service) int {
	extra := svc.ColdRate*(c.bounds.ColdFactor-1) + c.bounds.ColdSlack
	return max(1, min(v.position.entries, int(extra)-1))
}

func (c *core) coldRate(v *view, svc *sycamorevane.Service) float64 {
	return svc.ColdRate / float64(c.coldEntries(v, svc))
}

// allowsCold reports whether this entry may use the cold server and has a token for a request.
func (c *core) allowsCold(v *view, s *server, svc *sycamorevane.Service) bool {
	if !v.position.ranked() {
		return false
	}
	if s.offset(v.position.rank, v.position.entries) >= c.coldEntries(v, svc) {
		s.coldBucket = tokenBucket{} // If its turn comes again, others may just have used their tokens.
		return false
	}
	rate := c.coldRate(v, svc)
	if s.coldBucket.refilledAt.IsZero() {
		s.coldBucket.refilledAt = v.now
	}
	return s.coldBucket.hasToken(v.now, rate)
}

// applyDirective applies what a server requested in a response and reports whether anything changed.
func (c *core) applyDirective(now time.Time, id string, directive sycamorevane.ServerDirective) bool {
	changed := false
	if _, known := c.cutoffs[id]; directive.Leaving && !known {
		c.cutoffs[id] = now.Add(time.Duration(leavingUseShare * float64(c.bounds.DrainTime)))
		changed = true
	}
	maps.DeleteFunc(c.cutoffs, func(_ string, at time.Time) bool { return now.Sub(at) > leavingRetention })
	s := c.byID[id]
	if s == nil {
		return changed
	}
	s.cutoff = c.cutoffs[id]
	if until := now.Add(directive.Pause); directive.Pause > 0 && until.After(s.requestedPauseEnd) {
		s.requestedPauseEnd = until
		changed = true
	}
	return changed
}

// startRequest records a request on the server and returns the ID of the grant.
func (c *core) startRequest(now time.Time, s *server) uint64 {
	c.lastGrant++
	s.startTimes[c.lastGrant] = now
	return c.lastGrant
}

// finishRequest records the end of a request. It returns the server, or nil when it has left the catalog, and whether
// the outcome paused the server.
func (c *core) finishRequest(now time.Time, service, id string, grant uint64, o sycamorevane.Outcome) (*server, bool) {
	p := c.pool(service)
	latency := p.latencyOf(o.Route)
	meanLatency := latency.mean
	if o.Kind == sycamorevane.OutcomeOK {
		latency.add(o.Latency)
	}
	s := c.byID[id]
	if s == nil {
		return nil, false
	}
	if o.Load != nil {
		p.markReportsLoad()
	}
	delete(s.startTimes, grant)
	paused := s.observe(now, meanLatency, o)
	if o.Load != nil {
		p.recordReport(s)
	}
	return s, paused
}
