package dispatcher

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
)

const (
	// usualStart stands for the latency of a route that has not been seen yet.
	usualStart = 200 * time.Millisecond
	// usualAim and baseAim are the usual and the base latency of a route of which only the aim is known, relative to that.
	usualAim = 0.4
	baseAim  = 0.3
	// baseQuantile is the part of the answers that are as fast as on a machine without other load, baseStep the relative
	// change of its estimate per answer.
	baseQuantile = 0.3
	baseStep     = 0.1
	// usualWeight is the weight of one answer in the usual latency of its route.
	usualWeight = 0.1
	// jitter spreads the choices of entries that know the same of the servers.
	jitter = 0.15
	// homeEntries is how many entries of a data centre keep themselves informed about a server of it, which is a home
	// server of theirs and a foreign one to others. More of them know less each; with fewer, an entry has too few servers
	// to choose from.
	homeEntries = 3
	// foreignCost makes a home server win unless it is twice as slow.
	foreignCost = 2.0
	// foreignAge is how old a foreign server's last report of its load may be. Many entries may have sent requests to it
	// since an older one.
	foreignAge = 150 * time.Millisecond
	// silentCost keeps requests off servers that control has not heard, as long as others can take them.
	silentCost = 20.0
	// pausedCost does so for paused ones.
	pausedCost = 50.0
	// drainShare is the part of Bounds.Drain in which a server that leaves is still used when no other one can be; the rest
	// is for requests that are on their way.
	drainShare = 0.4
	// leavingLife is how long it is remembered that a server has left: longer than any takes to end.
	leavingLife = time.Hour
	// fullCost keeps questions off servers that seemed to be full, as long as others may have room.
	fullCost = 10.0
)

// Bounds are the system-wide limits that entries share.
type Bounds struct {
	// ColdFactor and ColdSlack bound the requests that a cold server gets in a second over all entries: its rate times
	// the factor, plus the slack.
	ColdFactor float64
	ColdSlack  float64
	// Drain is the time after which a server that has said in an answer that it leaves gets no new work; 0 for at once.
	Drain time.Duration
}

// share is this entry's part of the system-wide limits.
type share struct{ rank, entries int }

// core decides on placement. It is pure: time and randomness are arguments.
type core struct {
	dc     string
	bounds Bounds
	rand   *rand.Rand
	pools  map[string]*pool
	// byID holds all servers.
	byID map[string]*server
	// ends is from when servers get nothing that have said in their answers that they leave. It outlives their place in the
	// catalog, where a server may be missing for a while.
	ends map[string]time.Time
	next uint64
}

// pool is the servers of one service.
type pool struct {
	servers []*server
	// times are the latencies of good answers by route.
	times map[string]*times
	// tells is set when its servers say how loaded they are.
	tells bool
	// asked is when the last request for the service came.
	asked time.Time
	// crowded is when a request that could be in time had last waited for crowdedAfter and found no room.
	crowded time.Time
}

func (p *pool) crowdedAt(now time.Time) bool { return now.Sub(p.crowded) < crowdedLife }

// times describe the latency of good answers.
type times struct {
	// usual is smoothed, base a low quantile: the time on a machine without other load.
	usual, base time.Duration
	// known is set when an aim or an answer has replaced the first guess.
	known bool
}

// expect replaces the first guess by one from the time within which answers have their full worth.
func (t *times) expect(aim time.Duration) {
	if t.known || aim <= 0 {
		return
	}
	t.known = true
	t.usual, t.base = time.Duration(usualAim*float64(aim)), time.Duration(baseAim*float64(aim))
}

func (t *times) add(latency time.Duration) {
	t.known = true
	t.usual += time.Duration(usualWeight * float64(latency-t.usual))
	if latency > t.base {
		t.base += time.Duration(baseStep * baseQuantile * float64(t.base))
		return
	}
	t.base -= time.Duration(baseStep * (1 - baseQuantile) * float64(t.base))
}

func newCore(dc string, bounds Bounds, r *rand.Rand) *core {
	return &core{
		dc: dc, bounds: bounds, rand: r, pools: make(map[string]*pool), byID: make(map[string]*server),
		ends: make(map[string]time.Time),
	}
}

// update replaces the servers, keeping what is known of those that stay.
func (c *core) update(entries []cataloger.ServerRecord) {
	byID := make(map[string]*server, len(entries))
	for _, p := range c.pools {
		p.servers = nil
	}
	for _, e := range entries {
		s, ok := c.byID[e.Server.ID]
		if !ok {
			s = newServer(e)
		}
		s.entry, s.ends = e, c.ends[e.Server.ID]
		byID[e.Server.ID] = s
		p := c.pool(e.Server.Service)
		s.tells = p.tells
		p.servers = append(p.servers, s)
	}
	c.byID = byID
}

func (c *core) pool(service string) *pool {
	p, ok := c.pools[service]
	if !ok {
		p = &pool{times: make(map[string]*times)}
		c.pools[service] = p
	}
	return p
}

// told notes that the servers say how loaded they are.
func (p *pool) told() {
	if p.tells {
		return
	}
	p.tells = true
	for _, s := range p.servers {
		s.tells = true
	}
}

func (p *pool) timesOf(route string) *times {
	t, ok := p.times[route]
	if !ok {
		t = &times{usual: usualStart, base: usualStart / 2}
		p.times[route] = t
	}
	return t
}

// choice is the result of a pick. Without a server, full tells whether there are servers that have no room, and not
// none at all, and stale whether some may have room, but have not reported their load just now.
type choice struct {
	server *server
	trial  bool
	full   bool
	stale  bool
	// held is when the first of the servers that have asked for no requests takes some again, and zero unless all others
	// are unusable.
	held time.Time
}

// view is what a decision depends on besides the servers.
type view struct {
	now     time.Time
	state   *sycamorevane.State
	share   share
	blocked func(service, version string) bool
	// undrainedAt is since when each data centre that came back has been back, by this host's clock.
	undrainedAt map[string]time.Time
	// fresh is set when only servers are wanted that have just reported that their machine is not slow, as far as they tell.
	fresh bool
}

// pick chooses a server for a request.
func (c *core) pick(v *view, req *sycamorevane.Request) choice {
	return c.pickDrawn(v, req, c.draw(v, req))
}

// draw settles the version that a request goes to.
func (c *core) draw(v *view, req *sycamorevane.Request) *draw {
	version, trial := c.version(v, req)
	return &draw{version: version, trial: trial, state: v.state.Version}
}

// pickDrawn chooses a server of the version drawn for the request.
func (c *core) pickDrawn(v *view, req *sycamorevane.Request, drawn *draw) choice {
	p := c.pools[req.Service]
	if p == nil {
		return choice{}
	}
	p.asked = v.now
	got := c.best(v, req, p, drawn.version)
	if got.server == nil && drawn.trial && !got.stale {
		// A request of the trial share may always go to the old version.
		r := v.state.Rollouts[req.Service]
		return c.best(v, req, p, r.FromVersion)
	}
	got.trial = drawn.trial
	return got
}

// version draws the version that the request goes to; empty when any may have it.
func (c *core) version(v *view, req *sycamorevane.Request) (name string, trial bool) {
	if req.Version != "" {
		return req.Version, false
	}
	parts := v.state.VersionShares(req.Service)
	if parts == nil {
		return "", false
	}
	if len(parts) == 1 {
		for only := range parts {
			name = only
		}
		return name, false
	}
	r := v.state.Rollouts[req.Service]
	if c.rand.Float64() < parts[r.ToVersion] && !v.blocked(req.Service, r.ToVersion) {
		return r.ToVersion, true
	}
	return r.FromVersion, false
}

func (c *core) best(v *view, req *sycamorevane.Request, p *pool, version string) choice {
	t := p.timesOf(req.Route)
	t.expect(req.SoftDeadline.Sub(v.now))
	usual := t.usual
	left := req.SoftDeadline.Sub(v.now)
	hurried := feasible(v.now, req, t)
	var svc *sycamorevane.Service
	if v.state != nil {
		svc = v.state.Config.Service(req.Service)
	}
	late := !hurried && !req.SoftDeadline.IsZero()
	crowded := p.crowdedAt(v.now)
	// A request that can be in time waits for a server on which it would be: on a slow machine it would be late and
	// keep a slot several times as long.
	timely := hurried && p.timely(v, req, version, t.base, left)
	var got choice
	best := 0.0
	bestCold := false
	staying := p.staying(v, version, req.ExcludedServers)
	var held time.Time
	for _, s := range p.servers {
		if s.heldAt(v.now) && wanted(v, s, version, req.ExcludedServers) && (held.IsZero() || s.heldTil.Before(held)) {
			held = s.heldTil
		}
		if !usable(v, s, version, req.ExcludedServers) || staying && s.leaves() {
			continue
		}
		got.full = true
		foreign := !c.home(v, s)
		if foreign && s.tells && v.now.Sub(s.loadAt) > foreignAge {
			continue
		}
		cold := isCold(v, s, svc)
		room := s.roomFor(late, crowded)
		if cold && !c.allowsCold(v, s, svc) || !s.free(v.now, usual, v.share.entries, room) || timely && s.expectedNext(v.now, t.base, usual) > left {
			continue
		}
		if v.fresh && s.tells && (v.now.Sub(s.loadAt) > askAge || s.slowdown >= slowPace) {
			got.stale = true
			continue
		}
		cost := s.cost(v.now, usual, c.dc, cold) * (1 + jitter*c.rand.Float64())
		if foreign && s.entry.Server.DC == c.dc {
			cost *= foreignCost
		}
		if s.entry.LeaseExpired {
			cost *= silentCost
		}
		if s.pausedAt(v.now) {
			cost *= pausedCost
		}
		if got.server == nil || cost < best {
			got.server, best, bestCold = s, cost, cold
		}
	}
	if got.server != nil && bestCold {
		got.server.cold.take(v.now, c.coldRate(v, svc))
	}
	if !got.full {
		got.held = held
	}
	return got
}

// staying reports whether a server may be used that has not said that it leaves.
func (p *pool) staying(v *view, version string, excludedServers []string) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return !s.leaves() && usable(v, s, version, excludedServers)
	})
}

// timely reports whether a server that stays, free or not, would answer within the time that is left.
func (p *pool) timely(v *view, req *sycamorevane.Request, version string, base, left time.Duration) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return !s.entry.LeaseExpired && !s.pausedAt(v.now) && !s.leaves() && s.expected(v.now, base) <= left && usable(v, s, version, req.ExcludedServers)
	})
}

// feasible reports whether the request can still be answered within its aim.
func feasible(now time.Time, req *sycamorevane.Request, t *times) bool {
	return !req.SoftDeadline.IsZero() && req.SoftDeadline.Sub(now) > t.base
}

// usable reports whether the server may get the request at all now.
func usable(v *view, s *server, version string, excludedServers []string) bool {
	return !s.heldAt(v.now) && wanted(v, s, version, excludedServers)
}

// wanted reports whether the server may get the request as soon as it takes requests of this entry.
func wanted(v *view, s *server, version string, excludedServers []string) bool {
	e := &s.entry
	if e.Leaving() || s.addressReused || s.endedAt(v.now) || version != "" && e.Server.Version != version {
		return false
	}
	if v.state.ServerDrained(&e.Server, e.StartedAt) {
		return false
	}
	if _, out := v.state.DrainedDCs[e.Server.DC]; out {
		return false
	}
	for _, id := range excludedServers {
		if id == e.Server.ID {
			return false
		}
	}
	return true
}

// isCold reports whether the server is cold: by its own word, or since its data centre has just come back, where
// servers may have become cold without having said so yet.
func isCold(v *view, s *server, svc *sycamorevane.Service) bool {
	if svc == nil || svc.ColdRate <= 0 {
		return false
	}
	if v.now.Before(s.entry.ColdUntil) {
		return true
	}
	since, ok := v.undrainedAt[s.entry.Server.DC]
	return ok && v.now.Sub(since) < svc.ColdPeriod && s.entry.ReportedAt.Before(since)
}

// home reports whether a server is one of those that this entry sends most of its requests to, and asks for their load;
// with few entries all are. With many each would otherwise see so little of every server that it knows none. Names of
// entries are addresses, so that those of a data centre mostly follow each other and have different remainders.
func (c *core) home(v *view, s *server) bool {
	n := v.nearEntries()
	if n <= homeEntries {
		return true
	}
	if s.entry.Server.DC != c.dc {
		return false
	}
	return s.offset(v.share.rank%n, n) < homeEntries
}

// nearEntries is how many entries a data centre has that callers are sent to.
func (v *view) nearEntries() int {
	dcs := max(1, len(v.state.Config.DCs))
	return max(1, (v.share.entries+dcs-1)/dcs)
}

// coldEntries is how many entries share the requests of a cold server. Each may send one at any moment on top of its
// part of the rate, which keeps the sum below the bound.
func (c *core) coldEntries(v *view, svc *sycamorevane.Service) int {
	room := svc.ColdRate*(c.bounds.ColdFactor-1) + c.bounds.ColdSlack
	return max(1, min(v.share.entries, int(room)-1))
}

func (c *core) coldRate(v *view, svc *sycamorevane.Service) float64 {
	return svc.ColdRate / float64(c.coldEntries(v, svc))
}

// allowsCold reports whether this entry is one of those that may use the cold server, and has a request left.
func (c *core) allowsCold(v *view, s *server, svc *sycamorevane.Service) bool {
	if v.share.entries <= 0 || v.share.rank >= v.share.entries {
		return false
	}
	if s.offset(v.share.rank, v.share.entries) >= c.coldEntries(v, svc) {
		return false
	}
	rate := c.coldRate(v, svc)
	if s.cold.filled.IsZero() {
		s.cold.filled = v.now
	}
	return s.cold.ready(v.now, rate)
}

// applyDirective takes what a server asks for in an answer, and reports whether it changes anything.
func (c *core) applyDirective(now time.Time, id string, n sycamorevane.ServerDirective) bool {
	news := false
	if _, known := c.ends[id]; n.Leaving && !known {
		c.ends[id] = now.Add(time.Duration(drainShare * float64(c.bounds.Drain)))
		news = true
	}
	maps.DeleteFunc(c.ends, func(_ string, at time.Time) bool { return now.Sub(at) > leavingLife })
	s := c.byID[id]
	if s == nil {
		return news
	}
	s.ends = c.ends[id]
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(s.heldTil) {
		s.heldTil = until
		news = true
	}
	return news
}

// start books a request on the server and returns the number of the grant.
func (c *core) start(now time.Time, s *server) uint64 {
	c.next++
	s.started[c.next] = now
	return c.next
}

// finish ends a request. It returns the server, nil when it has left the catalog, and whether it was paused.
func (c *core) finish(now time.Time, service, id string, grant uint64, o sycamorevane.Outcome) (*server, bool) {
	p := c.pool(service)
	t := p.timesOf(o.Route)
	usual := t.usual
	if o.Kind == sycamorevane.OutcomeOK {
		t.add(o.Latency)
	}
	s := c.byID[id]
	if s == nil {
		return nil, false
	}
	if o.Load != nil {
		p.told()
	}
	delete(s.started, grant)
	return s, s.observe(now, usual, o)
}
