package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
)

const (
	// defaultWork is the assumed work of a route without observations. workWeight is the weight of one response.
	defaultWork = 200 * time.Millisecond
	workWeight  = 0.05
	// observationsForWork is the number of responses from which on the pool's own estimate of the work is used.
	observationsForWork = 5
	// workMargin allows for requests that take longer than the mean of their route.
	workMargin = 1.3
	// workRank is the multiple of its work by which a request is put behind shorter ones: during overload short requests
	// earn more value in the same time.
	workRank = 1
	// fastSlowdown is the expected slowdown up to which a request is granted a server at once: that of a fast server
	// whose report is 23 ms old. goodSlowdown is the one up to which it is granted a server when probes have not
	// returned in time.
	fastSlowdown = 1.06
	goodSlowdown = 1.3
	// congestedAfter is how long a request in time waits in vain until the pool counts as congested, which it does for
	// congestedPeriod.
	congestedAfter  = 2 * freshReportWait
	congestedPeriod = time.Second
	// lateShare is the share of the requests that run at once, and of the capacity, that late requests may have while the
	// pool is congested.
	lateShare = 0.05
	// maxTries bounds the waiting requests that are tried for one event.
	maxTries = 16
	// maxExpectedEnd bounds how long requests of an entry that has gone count as running.
	maxExpectedEnd = 2 * time.Second
	// endSlack is how long after its deadline a request counts as running when its end is not reported;
	// defaultRunTime replaces the deadline of requests without one.
	endSlack       = 5 * time.Second
	defaultRunTime = 5 * time.Minute
	sweepInterval  = 100 * time.Millisecond
	// costJitter makes two schedulers of one pool, which know the same reports, choose different servers.
	costJitter = 0.02
)

// Config holds the parameters of a Core.
type Config struct {
	// Rand spreads the times at which rejected callers return; nil means a new source.
	Rand *rand.Rand
}

// Core implements Pool.
type Core struct {
	cfg     Config
	servers map[string]*server
	list    []*server
	waiting map[Key]*waiter
	inTime  queue
	// late holds the requests that cannot be in time. They are served in the order of arrival, so that their wait can be
	// foretold and the least urgent ones do not wait in vain.
	late   queue
	runs   map[Key]*run
	routes map[string]*routeStats
	// sequence numbers the asks.
	sequence uint64
	// lateRunning counts the running requests that were late when they were granted.
	lateRunning int
	// reportsLoad is set once a server has reported its load; meanSlowdown is the mean of the reports.
	reportsLoad   bool
	meanSlowdown  float64
	lastCongested time.Time
	lastSweep     time.Time
	// nextReturn is the earliest time for which the next rejected caller is told to return.
	nextReturn time.Time
	// arrivals holds the rates of the asks by priority, granted the rate of the grants, lateGranted that of the grants to
	// late requests, with the time that they take on slow hosts.
	arrivals             map[int]*rate
	granted, lateGranted rate
	decisions            []Decision
	blames               blames
}

// run is a request on a server.
type run struct {
	server string
	route  string
	// expectedEnd is when the request ends if the server is as fast as expected; expiresAt is when it no longer counts.
	expectedEnd, expiresAt time.Time
	// latestEnd is expiresAt while the session of the entry lasts.
	latestEnd time.Time
	// expected is the expected latency.
	expected time.Duration
	// slowdown is the expected slowdown at the start.
	slowdown float64
	late     bool
}

// routeStats estimates the work of the requests of a route.
type routeStats struct {
	work         time.Duration
	observations int
}

var _ Pool = (*Core)(nil)

// New returns a pool without servers.
func New(cfg Config) *Core {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Core{
		cfg: cfg, servers: make(map[string]*server), waiting: make(map[Key]*waiter), runs: make(map[Key]*run),
		routes: make(map[string]*routeStats), meanSlowdown: initialMeanSlowdown, arrivals: make(map[int]*rate), blames: make(blames),
		late: queue{ignorePriority: true},
	}
}

// Update implements Pool.
func (c *Core) Update(now time.Time, servers []Server) {
	known := c.servers
	c.servers = make(map[string]*server, len(servers))
	c.list = c.list[:0]
	for _, record := range servers {
		s := known[record.ID]
		if s == nil {
			s = newServer(now, record)
		}
		s.Server = record
		c.servers[record.ID] = s
		c.list = append(c.list, s)
	}
	// Requests may run on servers that were not known when they were reported.
	for _, s := range c.list {
		if known[s.ID] == nil {
			for _, r := range c.runs {
				if r.server == s.ID {
					s.running++
				}
			}
		}
	}
}

// Ask implements Pool.
func (c *Core) Ask(now time.Time, a Ask) []Decision {
	if c.waiting[a.Key] != nil || c.runs[a.Key] != nil {
		return nil
	}
	c.sequence++
	w := &waiter{Ask: a, sequence: c.sequence, arrivedAt: now, work: c.workOf(&a), freshUntil: now.Add(freshReportWait)}
	switch {
	case w.SoftDeadline.IsZero() && w.Deadline.IsZero():
		w.latestStart = now.Add(defaultRunTime)
	case w.SoftDeadline.IsZero():
		w.latestStart = w.Deadline.Add(-w.work)
	default:
		w.latestStart = w.SoftDeadline.Add(-time.Duration(workMargin * float64(w.work)))
	}
	w.rank = w.latestStart.Add(workRank * w.work)
	c.countArrival(now, w)
	w.late = now.After(w.latestStart) || c.hopeless(now, w)
	c.waiting[w.Key] = w
	if w.late {
		w.rank = now
	}
	c.queueOf(w).add(w)
	c.admit(now, w)
	return c.decide(now)
}

func (c *Core) queueOf(w *waiter) *queue {
	if w.late {
		return &c.late
	}
	return &c.inTime
}

// Cancel implements Pool.
func (c *Core) Cancel(now time.Time, k Key) []Decision {
	if w := c.waiting[k]; w != nil {
		c.drop(w, 0)
	}
	c.endRun(k)
	return c.decide(now)
}

// Start implements Pool.
func (c *Core) Start(now time.Time, s Start) {
	if w := c.waiting[s.Key]; w != nil {
		c.drop(w, 0)
	}
	expiresAt := s.At.Add(defaultRunTime)
	slowdown := 1.0
	if r := c.runs[s.Key]; r != nil {
		expiresAt = r.latestEnd
		if r.server == s.Server {
			r.expiresAt = r.latestEnd // The entry reports it again on a new session.
			return
		}
		c.endRun(s.Key)
	}
	if server := c.servers[s.Server]; server != nil {
		slowdown = server.hostSlowdown(now, c.slowdownMean()) * server.startSlowdown(now)
	}
	work := c.workOf(&Ask{Route: s.Route, Work: s.Work})
	c.addRun(s.Key, &run{server: s.Server, route: s.Route, slowdown: slowdown, expiresAt: expiresAt}, s.At, work)
}

func (c *Core) addRun(k Key, r *run, at time.Time, work time.Duration) {
	r.expected = time.Duration(r.slowdown * float64(work))
	r.expectedEnd, r.latestEnd = at.Add(r.expected), r.expiresAt
	c.runs[k] = r
	if s := c.servers[r.server]; s != nil {
		s.running++
	}
	if r.late {
		c.lateRunning++
	}
}

// endRun removes a request from its server and returns it; nil if it is not known.
func (c *Core) endRun(k Key) *run {
	r := c.runs[k]
	if r == nil {
		return nil
	}
	delete(c.runs, k)
	if s := c.servers[r.server]; s != nil {
		s.running = max(0, s.running-1)
	}
	if r.late {
		c.lateRunning--
	}
	return r
}

// Finish implements Pool.
func (c *Core) Finish(now time.Time, f Finish) []Decision {
	r := c.endRun(f.Key)
	s := c.servers[f.Server]
	if s != nil && r != nil {
		s.noteEnd(now)
	}
	if s == nil {
		return c.decide(now)
	}
	ended := 0
	if f.Kind == sycamorevane.OutcomeOK || f.Kind == sycamorevane.OutcomeFailed {
		ended = 1
	}
	if f.Load != nil {
		c.applyLoad(now, s, f.Load, ended)
	}
	var expected time.Duration
	if r != nil {
		expected = r.expected
		if f.Kind == sycamorevane.OutcomeOK {
			c.learnWork(f.Route, f.Latency, r.slowdown)
		}
	}
	if blamesServer(f.Kind) && !c.blames.credible(now, f.Entry, f.Server) {
		f.Kind = sycamorevane.OutcomeFailed
	}
	s.observe(now, &f, expected)
	return c.decide(now)
}

func (c *Core) applyLoad(now time.Time, s *server, l *sycamorevane.LoadReport, ended int) {
	c.reportsLoad = true
	s.applyLoad(now, l, ended)
	c.meanSlowdown += meanSlowdownWeight * (s.slowdown - c.meanSlowdown)
}

// slowdownMean is the mean slowdown, which replaces outdated reports.
func (c *Core) slowdownMean() float64 {
	if !c.reportsLoad {
		return 1
	}
	return c.meanSlowdown
}

// SkipProbe implements Pool.
func (c *Core) SkipProbe(id string) {
	if s := c.servers[id]; s != nil {
		s.probing = false
	}
}

// Report implements Pool.
func (c *Core) Report(now time.Time, id string, load *sycamorevane.LoadReport) []Decision {
	s := c.servers[id]
	if s == nil {
		return nil
	}
	s.probing = false
	if load != nil {
		c.applyLoad(now, s, load, 0)
		return c.decide(now)
	}
	if s.missedProbes++; s.missedProbes >= missedProbesToPause {
		s.missedProbes = 0
		s.pause(now, failurePause)
	}
	return c.decide(now)
}

// Tick implements Pool.
func (c *Core) Tick(now time.Time) []Decision {
	c.demote(now)
	return c.decide(now)
}

// sweep forgets requests whose end has not been reported.
func (c *Core) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < sweepInterval {
		return
	}
	c.lastSweep = now
	for k, r := range c.runs {
		if now.After(r.expiresAt) {
			c.endRun(k)
		}
	}
}

// demote moves requests that can no longer be in time to the late ones, and rejects what cannot be finished.
func (c *Core) demote(now time.Time) {
	var demoted []*waiter
	for w := range c.inTime.next {
		if now.After(w.latestStart) {
			demoted = append(demoted, w)
		}
	}
	for w := range c.late.next {
		if !w.Deadline.IsZero() && now.Add(w.work).After(w.Deadline) {
			demoted = append(demoted, w)
		}
	}
	for _, w := range demoted {
		if w.late {
			c.reject(now, w, "deadline cannot be met")
			continue
		}
		c.inTime.remove(w, 0)
		w.late, w.rank = true, w.arrivedAt
		c.late.add(w)
		c.admit(now, w)
	}
}

// ForgetEntry implements Pool.
func (c *Core) ForgetEntry(now time.Time, entry string) {
	delete(c.blames, entry)
	for k, w := range c.waiting {
		if k.Entry == entry {
			c.drop(w, 0)
		}
	}
	latest := now.Add(maxExpectedEnd)
	for k, r := range c.runs {
		if k.Entry != entry {
			continue
		}
		r.expiresAt = r.expectedEnd
		if r.expiresAt.After(latest) {
			r.expiresAt = latest
		}
	}
}

// decide grants servers to waiting requests until no further one can be granted, and returns all pending decisions.
func (c *Core) decide(now time.Time) []Decision {
	c.sweep(now)
	for c.grantNext(now) {
	}
	decisions := c.decisions
	c.decisions = nil
	return decisions
}

// grantNext grants a server to the first waiting request that accepts one.
func (c *Core) grantNext(now time.Time) bool {
	if c.inTime.count+c.late.count == 0 {
		return false
	}
	congested := c.congested(now)
	if !slices.ContainsFunc(c.list, func(s *server) bool { return s.hasRoom(now, c.reportsLoad, congested) }) {
		c.noteCongestion(now)
		return false
	}
	if c.grantFrom(now, &c.inTime) {
		return true
	}
	c.noteCongestion(now)
	return c.lateAllowed(now) && c.grantFrom(now, &c.late)
}

func (c *Core) grantFrom(now time.Time, q *queue) bool {
	tries := 0
	for w := range q.next {
		if s := c.choose(now, w); s != nil {
			c.grant(now, w, s)
			return true
		}
		if tries++; tries >= maxTries {
			break
		}
	}
	return false
}

// noteCongestion records that requests wait although they could be in time.
func (c *Core) noteCongestion(now time.Time) {
	for w := range c.inTime.next {
		if now.Sub(w.arrivedAt) > congestedAfter {
			c.lastCongested = now
		}
		return
	}
}

func (c *Core) congested(now time.Time) bool { return now.Sub(c.lastCongested) < congestedPeriod }

// lateAllowed reports whether a late request may run in addition to those that do.
func (c *Core) lateAllowed(now time.Time) bool {
	if c.late.count == 0 {
		return false
	}
	if !c.congested(now) && c.inTime.count == 0 {
		return true
	}
	// In a small pool one late request at a time would be more than its share, so the time that they take counts too.
	c.lateGranted.refresh(now)
	return c.lateRunning < c.lateLimit(now) && c.lateGranted.work <= lateShare*c.capacity(now)
}

// lateLimit is the number of late requests that may run at once during congestion.
func (c *Core) lateLimit(now time.Time) int { return max(1, int(lateShare*float64(c.totalLimit(now)))) }

func (c *Core) totalLimit(now time.Time) int {
	total := 0
	for _, s := range c.list {
		if s.Usable && !now.Before(s.pausedUntil) {
			total += s.limit(now, false)
		}
	}
	return total
}

// choose returns the server of the lowest cost if the request is to start there now.
func (c *Core) choose(now time.Time, w *waiter) *server {
	var best *server
	var bestCost, bestHost, bestStart float64
	congested := c.congested(now)
	mean := c.slowdownMean()
	free := 0
	for _, s := range c.list {
		if !s.hasRoom(now, c.reportsLoad, congested) || slices.Contains(w.ExcludedServers, s.ID) {
			continue
		}
		free++
		host, start := s.hostSlowdown(now, mean), s.startSlowdown(now)
		if cost := s.cost(now, host*start) * (1 + costJitter*c.cfg.Rand.Float64()); best == nil || cost < bestCost {
			best, bestCost, bestHost, bestStart = s, cost, host, start
		}
	}
	if best == nil || !c.accepts(now, w, bestHost, bestStart, free) {
		return nil
	}
	return best
}

// accepts reports whether the request starts on a server of the expected slowdowns, rather than waiting for a faster
// one: on a slow host it takes a slot for several times as long as it would wait for a fast one. free is the number of
// servers that have room.
func (c *Core) accepts(now time.Time, w *waiter, host, start float64, free int) bool {
	onSlow := time.Duration(host * start * float64(w.work))
	switch {
	case start > 1 && !w.late && !w.SoftDeadline.IsZero() && now.Add(onSlow).After(w.SoftDeadline):
		return false
	case host <= fastSlowdown:
		return true
	case c.reportsLoad && now.Before(w.freshUntil):
		return false
	case host <= goodSlowdown:
		return true
	}
	if w.late {
		return now.Sub(w.arrivedAt) > slowdownDecay && (w.Deadline.IsZero() || !now.Add(onSlow).After(w.Deadline))
	}
	if w.SoftDeadline.IsZero() {
		return now.Sub(w.arrivedAt) > slowdownDecay
	}
	// It starts on a slow host in time only if there is no time left to wait for a fast one, and if other requests do not
	// need the place more.
	latestSlowStart := w.SoftDeadline.Add(-time.Duration(workMargin * float64(onSlow)))
	return c.inTime.count <= free && now.Before(latestSlowStart) && now.Add(freshReportWait).After(latestSlowStart)
}

func (c *Core) grant(now time.Time, w *waiter, s *server) {
	slowdown := s.hostSlowdown(now, c.slowdownMean()) * s.startSlowdown(now)
	expiresAt := now.Add(defaultRunTime)
	if !w.Deadline.IsZero() {
		expiresAt = w.Deadline.Add(endSlack)
	}
	c.drop(w, w.work)
	c.granted.add(now, w.work)
	if w.late {
		c.lateGranted.add(now, time.Duration(slowdown*float64(w.work)))
	}
	c.addRun(w.Key, &run{server: s.ID, route: w.Route, slowdown: slowdown, late: w.late, expiresAt: expiresAt}, now, w.work)
	c.decisions = append(c.decisions, Decision{Key: w.Key, Server: s.ID})
}

// drop removes a waiting request and charges its workspace with the work.
func (c *Core) drop(w *waiter, work time.Duration) {
	c.queueOf(w).remove(w, work)
	delete(c.waiting, w.Key)
}

// workOf is the expected time of a request on an idle host.
func (c *Core) workOf(a *Ask) time.Duration {
	if r := c.routes[a.Route]; r != nil && r.observations >= observationsForWork {
		return r.work
	}
	if a.Work > 0 {
		return a.Work
	}
	return defaultWork
}

func (c *Core) learnWork(route string, latency time.Duration, slowdown float64) {
	r := c.routes[route]
	if r == nil {
		r = &routeStats{}
		c.routes[route] = r
	}
	r.observations++
	observed := time.Duration(float64(latency) / max(1, slowdown))
	if r.observations == 1 {
		r.work = observed
	}
	// A response that took several times as long as usual says more about the host than about the route.
	observed = min(observed, 2*r.work)
	weight := max(workWeight, 1/float64(r.observations))
	r.work += time.Duration(weight * float64(observed-r.work))
}
