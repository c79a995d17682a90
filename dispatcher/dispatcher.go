// Package dispatcher places requests with the information of a single entry: the outcomes of its own requests and the
// load that servers report in responses. Limits that hold for the whole system are divided among the entries. With shared
// placement (Config.Scheduler) a control host chooses the servers, and the entry checks its choice. The package implements sycamorevane.Limiter. It is meant for a load far below the capacity of
// all servers, where single servers are slow, cold, failing or gone.
package dispatcher

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
	"sycamorevane.example/sycamorevane/shedder"
)

const (
	// maxQueued bounds the waiting requests of a service on one entry.
	maxQueued = 256
	// queueRetryInterval is how often waiting requests are tried again, since the load estimates of servers decay
	// with time.
	queueRetryInterval = 10 * time.Millisecond
	// maxTries bounds the waiting requests that are tried in vain for one event.
	maxTries = 16
	// undrainedMaxAge is how long after it was undrained a data centre may have servers that are cold without having
	// reported it. It allows for clocks of two hosts that differ by seconds.
	undrainedMaxAge = 8 * time.Second
	// startupPeriod is how long after its start an entry lets requests wait for servers that have not reported again
	// yet.
	startupPeriod = 2 * time.Second
	// noCapacityLogInterval is the minimum time between two log lines that describe full servers.
	noCapacityLogInterval = time.Second
	// longWait is the time in the queue from which a request that gets a server is counted.
	longWait = time.Second
	// requestedPauseSpread randomizes the retries of requests that were refused because all servers asked for a
	// pause.
	requestedPauseSpread = 0.3
	// noConfigRetryAfter is when a caller should retry while no configuration is in force.
	noConfigRetryAfter = 500 * time.Millisecond
)

// Config holds the parameters of a Dispatcher.
type Config struct {
	DC     string
	Bounds Bounds
	// Servers lists the catalog. Update calls it.
	Servers func() []cataloger.ServerRecord
	// State returns the current state, or nil before the first one.
	State func() *sycamorevane.State
	// Blocked reports whether this entry must not use the version.
	Blocked func(service, version string) bool
	// SendProbe asks a server for its load and does not wait for the answer, which is passed to HandleProbeResult. When
	// it is nil, requests are placed without probes.
	SendProbe func(Probe)
	// EntryRank returns this entry's rank among the entries that take requests, and their number.
	EntryRank func() (rank, entries int)
	// Isolated reports whether this entry has lost contact with the control hosts; nil means that it never does.
	Isolated func() bool
	// Scheduler places the requests for servers of this entry's data centre; nil means that this entry places all requests.
	Scheduler Scheduler
	// StopsAt returns when this process ends, or zero while it is not stopping; nil means that it never stops. Requests
	// that may take longer are refused, since other entries can serve them.
	StopsAt func() time.Time
	Log     logr.Logger
	Metrics tally.Scope
}

// Dispatcher implements sycamorevane.Limiter.
type Dispatcher struct {
	cfg Config

	mu        sync.Mutex
	core      *core
	startedAt time.Time
	// waiterCount counts the requests that have waited. It numbers them.
	waiterCount uint64
	queue       map[string][]*waiter
	// scheduled holds the requests that the scheduler knows of, by grant ID.
	scheduled map[uint64]scheduledRequest
	// undrainedAt holds when each undrained data centre was undrained, by this host's clock.
	undrainedAt map[string]time.Time
	// timelyShare is the exponentially weighted share of probes that are answered in time. skipFreshWait is set while
	// it is too low for requests to wait for answers.
	timelyShare   float64
	skipFreshWait bool
	// lastNoCapacityLog is when full servers were last logged.
	lastNoCapacityLog time.Time
	paused            tally.Counter
	refused           tally.Counter
	// displaced counts waiting requests that were refused to make room for other workspaces.
	displaced tally.Counter
	// probesSent counts the probes sent for waiting requests and uploads, lateAnswers the probes of any kind without
	// an answer in time.
	probesSent  tally.Counter
	lateAnswers tally.Counter
	// limitedRequests and limitedProbes count what is sent to servers that have stated a request limit.
	limitedRequests tally.Counter
	limitedProbes   tally.Counter
	// longWaits counts the requests that got a server after longWait, unplaced those that left the queue without one.
	longWaits *waitCounters
	unplaced  *waitCounters
}

// waiter is a request that has no server yet.
type waiter struct {
	req *sycamorevane.Request
	// sequence increases with each waiter.
	sequence uint64
	queuedAt time.Time
	// latestStart is until when a start on an idle host can finish the request before its deadline, and before the process
	// ends if it is stopping.
	latestStart time.Time
	// boundByStop is set when the end of the process determines latestStart.
	boundByStop   bool
	versionChoice *versionChoice
	// freshUntil is until when the request waits for fresh load reports, which the servers in probed may bring.
	freshUntil time.Time
	probed     []*server
	// excluded tells why the last attempt chose no server.
	excluded exclusions
	// result receives the end of the wait. Its buffer holds one placement.
	result chan placement
}

// placement is a grant, or the error that ended the wait.
type placement struct {
	grant sycamorevane.Grant
	err   error
}

var _ sycamorevane.Limiter = (*Dispatcher)(nil)

// New returns a dispatcher without servers.
func New(cfg Config) *Dispatcher {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	if cfg.Blocked == nil {
		cfg.Blocked = func(string, string) bool { return false }
	}
	if cfg.StopsAt == nil {
		cfg.StopsAt = func() time.Time { return time.Time{} }
	}
	if cfg.Isolated == nil {
		cfg.Isolated = func() bool { return false }
	}
	m := cfg.Metrics.SubScope("dispatcher")
	return &Dispatcher{
		cfg: cfg, core: newCore(cfg.DC, cfg.Bounds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		startedAt: time.Now(), queue: make(map[string][]*waiter), undrainedAt: make(map[string]time.Time),
		scheduled:   make(map[uint64]scheduledRequest),
		timelyShare: 1, paused: m.Counter("paused"), refused: m.Counter("refused"), displaced: m.Counter("displaced"),
		probesSent: m.Counter("questions"), lateAnswers: m.Counter("untimely"),
		limitedRequests: m.Counter("limited_requests"), limitedProbes: m.Counter("limited_probes"),
		longWaits: newWaitCounters(m, "long_waits"), unplaced: newWaitCounters(m, "unplaced"),
	}
}

// Update reads the servers and the state again.
func (d *Dispatcher) Update() {
	records := d.cfg.Servers()
	st := d.cfg.State()
	now := time.Now()
	var probes []Probe
	d.mu.Lock()
	d.core.update(records)
	for _, p := range d.core.pools {
		p.startBudgets(now)
	}
	d.adoptLimits(now, records)
	if st != nil {
		d.recordUndrained(st, now)
	}
	for service := range d.queue {
		probes = append(probes, d.serveQueue(now, service)...)
	}
	d.mu.Unlock()
	d.send(probes)
}

func (d *Dispatcher) recordUndrained(st *sycamorevane.State, now time.Time) {
	for dc := range d.undrainedAt {
		if _, undrained := st.UndrainedDCs[dc]; !undrained {
			delete(d.undrainedAt, dc)
		}
	}
	for dc, at := range st.UndrainedDCs {
		if _, noted := d.undrainedAt[dc]; noted {
			continue
		}
		d.undrainedAt[dc] = now
		if now.Sub(time.UnixMilli(at)) > undrainedMaxAge {
			d.undrainedAt[dc] = time.Time{} // It was undrained long before this process started.
		}
	}
}

// view returns what decisions at the time depend on. The caller holds the lock.
func (d *Dispatcher) view(now time.Time) *view {
	rank, entries := d.cfg.EntryRank()
	position := entryPosition{rank: rank, entries: entries, isolated: d.cfg.Isolated()}
	d.core.setPosition(now, position)
	return &view{
		now: now, state: d.cfg.State(), position: position, blocked: d.cfg.Blocked, undrainedAt: d.undrainedAt,
	}
}

// Acquire implements sycamorevane.Limiter. A request waits only while its servers are full and it can still be
// answered before its deadline.
func (d *Dispatcher) Acquire(ctx context.Context, req sycamorevane.Request) (sycamorevane.Grant, error) {
	now := time.Now()
	d.mu.Lock()
	v := d.view(now)
	if v.state == nil {
		d.mu.Unlock()
		return sycamorevane.Grant{}, d.refuse(&req, "no configuration is in force", noConfigRetryAfter)
	}
	w := &waiter{
		req: &req, result: make(chan placement, 1), versionChoice: d.core.chooseVersion(v, &req), freshUntil: d.freshUntil(now),
	}
	if !req.Hedge {
		d.core.pool(req.Service).countDemand(v, w)
	}
	w.latestStart = latestStart(&req, d.core.pool(req.Service).latencyOf(req.Route))
	if d.boundLatestStart(w); w.tooLateToFinish(now) {
		d.mu.Unlock()
		return sycamorevane.Grant{}, d.refuseStopping(w)
	}
	if d.schedulable(v, &req, w.versionChoice) {
		d.mu.Unlock()
		g, err := d.acquireScheduled(ctx, w)
		if !errors.Is(err, ErrOwnView) {
			return g, err
		}
		now = time.Now()
		d.mu.Lock()
		v = d.view(now)
		w.freshUntil = d.freshUntil(now)
	}
	if d.cfg.Scheduler != nil && d.cfg.Scheduler.Decides(req.Service) && !w.versionChoice.trial {
		w.freshUntil = now // No probes are sent that could bring fresh reports.
	}
	got := choice{anyUsable: true}
	if len(d.queue[req.Service]) == 0 || req.Hedge {
		got = d.place(v, w)
	}
	if got.server != nil {
		g := d.grant(v, req.Route, got)
		d.mu.Unlock()
		return g, nil
	}
	w.latestStart, w.boundByStop = latestStart(&req, d.core.pool(req.Service).latencyOf(req.Route)), false
	d.boundLatestStart(w)
	queued := len(d.queue[req.Service])
	if queued > 0 && !req.Hedge {
		w.excluded = d.queue[req.Service][0].excluded // It was not tried itself.
	}
	if !got.stale {
		d.logNoCapacity(v, w)
	}
	reason := ""
	blocked := got.blocked(now)
	if blocked {
		if err := d.refuseUnlessSoon(now, w, got, 0); err != nil {
			d.mu.Unlock()
			return sycamorevane.Grant{}, err
		}
	}
	switch {
	case blocked && queued < maxQueued: // It starts in time.
	case !got.anyUsable && d.started(now):
		reason = "no server can take the request"
	case queued >= maxQueued && !d.displace(v, w):
		reason = "queue is full"
	case req.Hedge && !got.stale:
		reason = "a second attempt does not wait for room"
	case w.tooLateToFinish(now):
		d.mu.Unlock()
		return sycamorevane.Grant{}, d.refuseStopping(w)
	case !req.Hedge && now.After(w.latestStart):
		reason = "deadline cannot be met"
	case !req.Hedge && !blocked && got.anyUsable:
		reason = d.admit(v, w)
	}
	if reason != "" {
		err := d.refuseLate(v, w, reason)
		d.mu.Unlock()
		return sycamorevane.Grant{}, err
	}
	d.enqueue(w)
	probes := d.serveQueue(now, req.Service)
	d.mu.Unlock()
	d.send(probes)
	return d.wait(ctx, w)
}

// started reports whether servers have had the time to report again since the start of this entry.
func (d *Dispatcher) started(now time.Time) bool { return now.Sub(d.startedAt) > startupPeriod }

// place chooses a server for a request. Until freshUntil, only a server with a fresh load report is chosen if servers
// report their load.
func (d *Dispatcher) place(v *view, w *waiter) choice {
	if w.versionChoice == nil || w.versionChoice.stateVersion != v.state.Version {
		w.versionChoice = d.core.chooseVersion(v, w.req)
	}
	v.requireFresh = v.now.Before(w.freshUntil)
	v.waited = 0
	if !w.queuedAt.IsZero() {
		v.waited = v.now.Sub(w.queuedAt)
	}
	got := d.core.pickWithVersion(v, w.req, w.versionChoice)
	if got.server == nil {
		w.excluded = got.excluded
	}
	return got
}

// enqueue orders requests by priority, and within a priority by the time until which they can wait.
func (d *Dispatcher) enqueue(w *waiter) {
	d.waiterCount++
	w.sequence, w.queuedAt = d.waiterCount, time.Now()
	list := d.queue[w.req.Service]
	i := len(list)
	for i > 0 && compareWaiters(list[i-1], w) > 0 {
		i--
	}
	d.queue[w.req.Service] = slices.Insert(list, i, w)
}

func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.req.Priority, b.req.Priority), a.latestStart.Compare(b.latestStart), cmp.Compare(a.sequence, b.sequence))
}

// wait returns when the request has got a server, or when it is too late for a response before the deadline or before the
// end of the process.
func (d *Dispatcher) wait(ctx context.Context, w *waiter) (sycamorevane.Grant, error) {
	t := time.NewTicker(queueRetryInterval)
	defer t.Stop()
	for {
		select {
		case p := <-w.result:
			return p.grant, p.err
		case <-ctx.Done():
			return d.leaveQueue(w, ctx.Err())
		case now := <-t.C:
			d.mu.Lock()
			err := d.endOfWait(now, w)
			var probes []Probe
			if list := d.queue[w.req.Service]; err == nil && len(list) > 0 && list[0] == w {
				probes = d.serveQueue(now, w.req.Service) // The first waiter does this for the whole queue.
			}
			d.mu.Unlock()
			if err != nil {
				return d.leaveQueue(w, err)
			}
			d.send(probes)
		}
	}
}

// endOfWait returns the reason for which the request cannot wait any longer, or nil. The caller holds the lock.
func (d *Dispatcher) endOfWait(now time.Time, w *waiter) error {
	d.boundLatestStart(w)
	if w.tooLateToFinish(now) {
		return d.refuseStopping(w)
	}
	if now.After(w.latestStart) {
		retryAfter := shedder.RetryAfter(shedder.DefaultRetryAfter, w.req.Deadline.Sub(now), rand.Float64())
		return d.refuse(w.req, "no server became free in time", retryAfter)
	}
	return nil
}

// latestStart is until when a request may start.
func latestStart(req *sycamorevane.Request, latency *routeLatency) time.Time {
	if req.Hedge {
		return req.Deadline
	}
	return req.Deadline.Add(-latency.base)
}

// leaveQueue ends the wait with err. A grant that was given in the meantime is released.
func (d *Dispatcher) leaveQueue(w *waiter, err error) (sycamorevane.Grant, error) {
	d.mu.Lock()
	list := d.queue[w.req.Service]
	if i := slices.Index(list, w); i >= 0 {
		d.queue[w.req.Service] = slices.Delete(list, i, i+1)
		d.unplaced.add(w)
		d.mu.Unlock()
		return sycamorevane.Grant{}, err
	}
	d.mu.Unlock()
	if p := <-w.result; p.err == nil {
		d.Release(p.grant, sycamorevane.Outcome{Kind: sycamorevane.OutcomeCancelled, Route: w.req.Route})
	}
	return sycamorevane.Grant{}, err
}

// serveQueue places waiting requests in order and returns the servers to probe for those that continue to wait. The
// caller holds the lock.
func (d *Dispatcher) serveQueue(now time.Time, service string) []Probe {
	if len(d.queue[service]) == 0 {
		return nil
	}
	v := d.view(now)
	if v.state == nil {
		return nil
	}
	d.boundQueue(now, service)
	d.serveWaiters(v, service)
	d.expire(v, service)
	return d.demandProbes(v, service)
}

// serveWaiters places the waiting requests in order.
func (d *Dispatcher) serveWaiters(v *view, service string) {
	p := d.core.pool(service)
	candidates := slices.Clone(d.queue[service])
	waiting, tries := 0, 0 // Requests that wait for limited servers, and those that accept none of the free servers.
	if v.hasWorkspaces() {
		p.turns.sort(candidates)
	}
	served := sycamorevane.NewSet[uint64]()
	for _, w := range candidates {
		got := d.place(v, w)
		if got.server == nil && got.stale {
			continue // Its servers are being probed; a request after it may no longer need a fresh report.
		}
		if got.blocked(v.now) {
			if err := d.refuseUnlessSoon(v.now, w, got, waiting); err != nil {
				served.Add(w.sequence)
				d.reject(w, err)
				continue
			}
			waiting++
			continue
		}
		if got.server == nil && !got.anyUsable && d.started(v.now) {
			served.Add(w.sequence)
			d.reject(w, d.refuse(w.req, "no server can take the request", d.retryAfter(v, w)))
			continue
		}
		if got.server == nil {
			if tries++; tries >= maxTries {
				break
			}
			continue
		}
		served.Add(w.sequence)
		if v.hasWorkspaces() {
			p.turns.recordServed(w.req)
		}
		if v.waited >= longWait {
			d.longWaits.add(w)
		}
		w.result <- placement{grant: d.grant(v, w.req.Route, got)}
	}
	if len(served) > 0 {
		d.queue[service] = slices.DeleteFunc(d.queue[service], func(w *waiter) bool { return served.Has(w.sequence) })
	}
	if len(d.queue[service]) == 0 {
		p.turns = turns{} // Without waiting requests there are no turns to keep.
	}
}

// reject ends the wait of a request that gets no server. The caller holds the lock.
func (d *Dispatcher) reject(w *waiter, err error) {
	d.unplaced.add(w)
	w.result <- placement{err: err}
}

func (d *Dispatcher) grant(v *view, route string, got choice) sycamorevane.Grant {
	d.countRequest(got.server)
	srv := withMaxConns(got.server.record.Server, v.state.Config.Service(got.server.record.Server.Service))
	cold := isCold(v, got.server, v.state.Config.Service(srv.Service))
	id := d.core.startRequest(v.now, got.server)
	d.reportStart(v.now, route, got.server, id)
	return sycamorevane.Grant{ID: id, Server: srv, Trial: got.trial, Cold: cold}
}

// withMaxConns applies the configured limit of connections, which servers of some deployments do not announce.
func withMaxConns(s sycamorevane.Server, svc *sycamorevane.Service) sycamorevane.Server {
	if svc != nil && svc.MaxConns > 0 {
		s.MaxConns = svc.MaxConns
	}
	return s
}

// Running returns the number of running requests per version of a service.
func (d *Dispatcher) Running(service string) map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make(map[string]int)
	for _, s := range d.core.pool(service).servers {
		counts[s.record.Server.Version] += len(s.startTimes)
	}
	return counts
}

// HandleDirective applies what a server requested in a response. It affects only this start of the server: a false
// directive excludes no other server, and no later report of the server revokes it. Except for request limits, which
// other entries adopt, it affects only this entry.
func (d *Dispatcher) HandleDirective(server string, directive sycamorevane.ServerDirective) {
	now := time.Now()
	if directive.Limit != nil {
		d.handleLimit(now, server, directive.Limit)
	}
	if !directive.Leaving && directive.Pause <= 0 {
		return
	}
	d.mu.Lock()
	changed := d.core.applyDirective(now, server, directive)
	d.mu.Unlock()
	if changed {
		d.cfg.Log.Info("server asks for no requests", "server", server, "leaving", directive.Leaving, "pausems", directive.Pause.Milliseconds())
	}
}

// Slow reports whether work on the server currently takes at least slowThreshold times as long as normal.
func (d *Dispatcher) Slow(server string) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.core.byID[server]
	return s != nil && s.slowdownAt(now) >= slowThreshold
}

// Release implements sycamorevane.Limiter.
func (d *Dispatcher) Release(g sycamorevane.Grant, o sycamorevane.Outcome) {
	now := time.Now()
	d.mu.Lock()
	d.reportFinish(g.ID, &o)
	s, paused := d.core.finishRequest(now, g.Server.Service, g.Server.ID, g.ID, o)
	probes := d.serveQueue(now, g.Server.Service)
	d.mu.Unlock()
	d.send(probes)
	if s == nil || !paused {
		return
	}
	d.paused.Inc(1)
	d.cfg.Log.V(1).Info("server paused", "server", g.Server.ID, "service", g.Server.Service, "outcome", o.Kind.String())
}

// logNoCapacity logs the state of the servers of a service while its requests find no free server.
func (d *Dispatcher) logNoCapacity(v *view, w *waiter) {
	if v.now.Sub(d.lastNoCapacityLog) < noCapacityLogInterval {
		return
	}
	d.lastNoCapacityLog = v.now
	req := w.req
	p := d.core.pool(req.Service)
	svc := v.state.Config.Service(req.Service)
	latency := p.latencyOf(req.Route)
	var known, usableNow, limited, cold, paused, slow, own int
	limit, running := 0.0, 0.0
	for _, s := range p.servers {
		known++
		if s.limited() {
			limited++
		}
		if !usable(v, s, "", nil) {
			continue
		}
		usableNow++
		limit += s.concurrencyLimit()
		running += s.estimatedRunning(v.now, latency.mean)
		own += len(s.startTimes)
		if isCold(v, s, svc) {
			cold++
		}
		if s.pausedAt(v.now) {
			paused++
		}
		if s.expectedLatency(v.now, latency.base) > 2*latency.base {
			slow++
		}
	}
	values := []any{
		"service", req.Service, "route", req.Route, "servers", known, "usable", usableNow,
		"limited", limited, "cold", cold, "paused", paused, "slow", slow, "room", limit, "occupied", int(running), "own", own,
		"queued", len(d.queue[req.Service]), "usualms", latency.mean.Milliseconds(), "basems", latency.base.Milliseconds(),
	}
	d.cfg.Log.Info("no room for requests", append(values, w.excluded.logValues()...)...)
}

// refuseUntilPauseEnds refuses a request whose usable servers have all asked for no requests until the given time.
func (d *Dispatcher) refuseUntilPauseEnds(now time.Time, req *sycamorevane.Request, until time.Time) *sycamorevane.RefusedError {
	retryAfter := time.Duration((1 + requestedPauseSpread*rand.Float64()) * float64(until.Sub(now)))
	return d.refuse(req, "all servers have asked for no requests", retryAfter)
}

func (d *Dispatcher) refuse(req *sycamorevane.Request, reason string, retryAfter time.Duration) *sycamorevane.RefusedError {
	d.refused.Inc(1)
	return &sycamorevane.RefusedError{Service: req.Service, Workspace: req.Workspace, Reason: reason, RetryAfter: retryAfter}
}
