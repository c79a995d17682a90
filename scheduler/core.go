package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/shedder"
)

const (
	// defaultWork is the assumed work of a route without observations. workWeight is the weight of one response.
	defaultWork = 200 * time.Millisecond
	workWeight  = 0.05
	// observationsForWork is the number of responses from which on the pool's own estimate of the work is used.
	observationsForWork = 5
	// spreadMargin is the number of mean deviations by which a request may take longer than the mean of its route. For
	// about normally distributed times, 19 of 20 take no longer.
	spreadMargin = 2
	// fastSlowdown is the expected slowdown up to which a request is granted a server at once: that of a fast server
	// whose report is 23 ms old. goodSlowdown is the one up to which it is granted a server when probes have not
	// returned in time.
	fastSlowdown = 1.06
	goodSlowdown = 1.3
	// congestedAfter is how long a request waits in vain until the pool counts as congested, which it does for
	// congestedPeriod.
	congestedAfter  = 2 * freshReportWait
	congestedPeriod = time.Second
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
	queue   queue
	runs    map[Key]*run
	routes  map[string]*routeStats
	// sequence numbers the asks.
	sequence uint64
	// reportsLoad is set once a server has reported its load; meanSlowdown is the mean of the reports.
	reportsLoad   bool
	meanSlowdown  float64
	lastCongested time.Time
	lastSweep     time.Time
	returns       shedder.Returns
	// arrivals holds the rates of the asks by priority.
	arrivals   map[int]*rate
	shedder    *shedder.Shedder
	throughput shedder.Throughput
	// nextRoom is when a server is expected to have room again, as of roomUpdatedAt.
	nextRoom, roomUpdatedAt time.Time
	decisions               []Decision
	blames                  blames
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
}

// routeStats estimates the work of the requests of a route and its mean deviation.
type routeStats struct {
	work, spread time.Duration
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
		routes: make(map[string]*routeStats), meanSlowdown: initialMeanSlowdown, arrivals: make(map[int]*rate),
		shedder: shedder.New(), blames: make(blames),
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
	w := &waiter{Ask: a, sequence: c.sequence, arrivedAt: now, freshUntil: now.Add(freshReportWait)}
	w.work, w.spread = c.workOf(&a)
	w.latestStart = now.Add(defaultRunTime)
	if !w.Deadline.IsZero() {
		w.latestStart = w.Deadline.Add(-w.work)
	}
	c.countArrival(now, w)
	c.waiting[w.Key] = w
	c.queue.add(w)
	if !c.rejectUnservable(now, w) {
		c.grantAll(now)
	}
	if c.waiting[w.Key] != nil {
		c.admit(now, w)
	}
	return c.decide(now)
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
	work, _ := c.workOf(&Ask{Route: s.Route, Work: s.Work})
	c.addRun(s.Key, &run{server: s.Server, route: s.Route, slowdown: slowdown, expiresAt: expiresAt}, s.At, work)
}

func (c *Core) addRun(k Key, r *run, at time.Time, work time.Duration) {
	r.expected = time.Duration(r.slowdown * float64(work))
	r.expectedEnd, r.latestEnd = at.Add(r.expected), r.expiresAt
	c.runs[k] = r
	if s := c.servers[r.server]; s != nil {
		s.running++
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
			c.throughput.Finish(time.Duration(float64(r.expected)/r.slowdown), f.Latency)
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
	c.expire(now)
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
	c.grantAll(now)
	decisions := c.decisions
	c.decisions = nil
	return decisions
}

func (c *Core) grantAll(now time.Time) {
	for c.grantNext(now) {
	}
}

// grantNext grants a server to the first waiting request that accepts one.
func (c *Core) grantNext(now time.Time) bool {
	congested := c.congested(now)
	if c.queue.count == 0 || !slices.ContainsFunc(c.list, func(s *server) bool { return s.hasRoom(now, c.reportsLoad, congested) }) {
		return false
	}
	tries := 0
	for w := range c.queue.next {
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

// congested reports whether requests have recently waited longer than for load reports.
func (c *Core) congested(now time.Time) bool { return now.Sub(c.lastCongested) < congestedPeriod }

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
	finishes := w.Deadline.IsZero() || !now.Add(onSlow).After(w.Deadline)
	switch {
	case start > 1 && !finishes:
		return false
	case host <= fastSlowdown:
		return true
	case c.reportsLoad && now.Before(w.freshUntil):
		return false
	case host <= goodSlowdown:
		return true
	case !finishes:
		return false
	}
	redrawn := now.Sub(w.arrivedAt) > slowdownDecay
	if c.queue.count > free {
		// Others need the room more, unless no faster host is to be expected.
		return redrawn && host <= c.slowdownMean()
	}
	onSlow += time.Duration(spreadMargin * host * start * float64(w.spread))
	return redrawn || !w.Deadline.IsZero() && now.Add(freshReportWait+onSlow).After(w.Deadline)
}

func (c *Core) grant(now time.Time, w *waiter, s *server) {
	slowdown := s.hostSlowdown(now, c.slowdownMean()) * s.startSlowdown(now)
	expiresAt := now.Add(defaultRunTime)
	if !w.Deadline.IsZero() {
		expiresAt = w.Deadline.Add(endSlack)
	}
	c.drop(w, w.work)
	c.addRun(w.Key, &run{server: s.ID, route: w.Route, slowdown: slowdown, expiresAt: expiresAt}, now, w.work)
	c.decisions = append(c.decisions, Decision{Key: w.Key, Server: s.ID})
}

// drop removes a waiting request and charges its workspace with the work.
func (c *Core) drop(w *waiter, work time.Duration) {
	c.queue.remove(w, work)
	delete(c.waiting, w.Key)
}

// workOf is the expected time of a request on an idle host and its mean deviation, which is 0 if it is not known.
func (c *Core) workOf(a *Ask) (work, spread time.Duration) {
	if r := c.routes[a.Route]; r != nil && r.observations >= observationsForWork {
		return r.work, r.spread
	}
	if a.Work > 0 {
		return a.Work, 0
	}
	return defaultWork, 0
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
	r.spread += time.Duration(weight * float64((observed-r.work).Abs()-r.spread))
	r.work += time.Duration(weight * float64(observed-r.work))
}
