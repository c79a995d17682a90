// Package dispatcher places requests by an entry's own view: what its requests have shown of each server, and what the
// servers say of their load in their answers. It exchanges no messages with other entries; only limits that hold for
// the whole system are divided among them. It implements sycamorevane.Limiter and is meant for load far below the
// capacity of all servers, where single servers are slow, cold, failing or gone.
package dispatcher

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
)

const (
	// maxQueue bounds the waiting requests of a service on one entry.
	maxQueue = 256
	// retryQueue is how often waiting requests look again for a server whose estimated load has faded.
	retryQueue = 10 * time.Millisecond
	// queueShare is the part of its remaining time that a request waits for a server before its caller is told when to
	// come back. A longer wait only holds callers who will be refused.
	queueShare = 0.15
	// returnLife is how long after its return a data centre may have servers that are cold without having said so; the
	// clocks of two hosts may differ by seconds.
	returnLife = 8 * time.Second
	// startTime is how long after its start an entry lets requests wait for servers that have not reported again yet.
	startTime = 2 * time.Second
	// explainEvery is the least time between two descriptions of full servers.
	explainEvery = time.Second
	// longWait is the wait of a request in time from which the newest is served first.
	longWait = 30 * time.Millisecond
	// returnShare of its remaining time is after when a request that is late anyway should come back.
	returnShare = 0.3
	// heldSpread spreads the return of requests for servers that have asked for no requests.
	heldSpread = 0.3
	// retryNone is when a caller should come back while no server is known.
	retryNone = 500 * time.Millisecond
)

// Config holds what a Dispatcher is built from.
type Config struct {
	DC     string
	Bounds Bounds
	// Servers lists the catalog. It is read on Update.
	Servers func() []cataloger.ServerRecord
	// State returns the state in force, or nil before the first one.
	State func() *sycamorevane.State
	// Blocked reports whether the version must not be used by this entry.
	Blocked func(service, version string) bool
	// Probe asks a server for its load without waiting for the answer, which goes to HandleProbeResult. With nil
	// requests are placed without asking.
	Probe func(Probe)
	// EntryRank returns this entry's rank among the entries that take requests, and their number.
	EntryRank func() (rank, entries int)
	Log       logr.Logger
	Metrics   tally.Scope
}

// Dispatcher implements sycamorevane.Limiter.
type Dispatcher struct {
	cfg Config

	mu   sync.Mutex
	core *core
	// started is when this entry started.
	started time.Time
	// waiters counts the requests that had to wait.
	waiters uint64
	queue   map[string][]*waiter
	// undrainedAt is since when a data centre is back, known the DrainedDCs and UndrainedDCs of the last state.
	undrainedAt map[string]time.Time
	// foreign spreads the probes of foreign servers.
	foreign bucket
	// timely is the smoothed part of the questions that servers answer in time; hasty is set while it is too small for
	// requests to wait for answers.
	timely float64
	hasty  bool
	// explained is when full servers were last described.
	explained time.Time
	paused    tally.Counter
	refused   tally.Counter
	// asked counts the servers asked for waiting requests, untimely the answers that no request waited for any more.
	asked    tally.Counter
	untimely tally.Counter
}

// waiter is a request without a server.
type waiter struct {
	req *sycamorevane.Request
	// number grows with each waiter; since is when it came.
	number uint64
	since  time.Time
	// draw is the version that the request goes to.
	draw *draw
	// freshUntil is until when it waits for fresh reports, which the servers in asked may bring.
	freshUntil time.Time
	asked      []*server
	// got receives the end of the wait; it has room for one.
	got chan placement
}

// placement is a choice, or why there is none.
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
	m := cfg.Metrics.SubScope("dispatcher")
	return &Dispatcher{
		cfg: cfg, core: newCore(cfg.DC, cfg.Bounds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		started: time.Now(), queue: make(map[string][]*waiter), undrainedAt: make(map[string]time.Time),
		timely: 1, paused: m.Counter("paused"), refused: m.Counter("refused"),
		asked: m.Counter("questions"), untimely: m.Counter("untimely"),
	}
}

// Update reads the servers and the state again.
func (d *Dispatcher) Update() {
	entries := d.cfg.Servers()
	st := d.cfg.State()
	now := time.Now()
	var list []Probe
	d.mu.Lock()
	d.core.update(entries)
	if st != nil {
		d.noteReturns(st, now)
	}
	for service := range d.queue {
		list = append(list, d.serve(now, service)...)
	}
	d.mu.Unlock()
	d.send(list)
}

func (d *Dispatcher) noteReturns(st *sycamorevane.State, now time.Time) {
	for dc := range d.undrainedAt {
		if _, back := st.UndrainedDCs[dc]; !back {
			delete(d.undrainedAt, dc)
		}
	}
	for dc, at := range st.UndrainedDCs {
		if _, noted := d.undrainedAt[dc]; noted {
			continue
		}
		d.undrainedAt[dc] = now
		if now.Sub(time.UnixMilli(at)) > returnLife {
			d.undrainedAt[dc] = time.Time{} // This process has started long after.
		}
	}
}

func (d *Dispatcher) view(now time.Time) *view {
	rank, entries := d.cfg.EntryRank()
	return &view{
		now: now, state: d.cfg.State(), share: share{rank, entries}, blocked: d.cfg.Blocked, undrainedAt: d.undrainedAt,
	}
}

// Acquire implements sycamorevane.Limiter. A request waits only while its servers have no room and it can still be
// answered in time.
func (d *Dispatcher) Acquire(ctx context.Context, req sycamorevane.Request) (sycamorevane.Grant, error) {
	now := time.Now()
	d.mu.Lock()
	v := d.view(now)
	if v.state == nil {
		d.mu.Unlock()
		return sycamorevane.Grant{}, d.refuse(&req, "no configuration is in force", retryNone)
	}
	w := &waiter{
		req: &req, got: make(chan placement, 1), draw: d.core.draw(v, &req), freshUntil: d.freshUntil(now),
	}
	got := choice{full: true}
	if len(d.queue[req.Service]) == 0 || req.Hedge {
		got = d.place(v, w)
	}
	if got.server != nil {
		g := d.grant(v, got)
		d.mu.Unlock()
		return g, nil
	}
	usual := d.core.pool(req.Service).timesOf(req.Route).usual
	queued := len(d.queue[req.Service])
	if !got.stale {
		d.explain(v, &req)
	}
	reason := ""
	switch {
	case got.held.After(now):
		d.mu.Unlock()
		return sycamorevane.Grant{}, d.refuseHeld(now, &req, got.held)
	case !got.full && now.Sub(d.started) > startTime:
		reason = "no server can take the request"
	case queued >= maxQueue:
		reason = "queue is full"
	case req.Hedge && !got.stale:
		reason = "a second attempt does not wait for room"
	case !req.Hedge && req.Deadline.Sub(now) < usual/2:
		reason = "deadline cannot be met"
	}
	if reason != "" {
		d.mu.Unlock()
		return sycamorevane.Grant{}, d.refuse(&req, reason, d.comeBack(&req, usual))
	}
	d.enqueue(w)
	list := d.serve(now, req.Service)
	d.mu.Unlock()
	d.send(list)
	return d.wait(ctx, w, usual)
}

// place chooses a server for a request, which has to have reported its load just now as long as the request waits for
// that.
func (d *Dispatcher) place(v *view, w *waiter) choice {
	if w.draw == nil || w.draw.state != v.state.Version {
		w.draw = d.core.draw(v, w.req)
	}
	v.fresh = v.now.Before(w.freshUntil)
	return d.core.pickDrawn(v, w.req, w.draw)
}

// enqueue keeps the more urgent before the less urgent, and within a rank the order of arrival.
func (d *Dispatcher) enqueue(w *waiter) {
	d.waiters++
	w.number, w.since = d.waiters, time.Now()
	list := d.queue[w.req.Service]
	i := len(list)
	for i > 0 && list[i-1].req.Priority > w.req.Priority {
		i--
	}
	d.queue[w.req.Service] = slices.Insert(list, i, w)
}

// wait returns when a server has room, or when an answer could not come in time any more.
func (d *Dispatcher) wait(ctx context.Context, w *waiter, usual time.Duration) (sycamorevane.Grant, error) {
	last := w.req.Deadline
	if !w.req.Hedge {
		last = last.Add(-usual / 2)
	}
	if now := time.Now(); !w.req.SoftDeadline.IsZero() && !w.req.Hedge {
		patience := time.Duration(queueShare * float64(w.req.Deadline.Sub(now)))
		if until := now.Add(patience); until.Before(last) {
			last = until
		}
	}
	t := time.NewTicker(retryQueue)
	defer t.Stop()
	for {
		select {
		case p := <-w.got:
			return p.grant, p.err
		case <-ctx.Done():
			return d.leave(w, ctx.Err())
		case now := <-t.C:
			if now.After(last) {
				return d.leave(w, d.refuse(w.req, "no server became free in time", d.comeBack(w.req, usual)))
			}
			var probes []Probe
			d.mu.Lock()
			if list := d.queue[w.req.Service]; len(list) > 0 && list[0] == w {
				probes = d.serve(now, w.req.Service) // Once for the whole queue.
			}
			d.mu.Unlock()
			d.send(probes)
		}
	}
}

// leave gives up waiting. A grant that came meanwhile is used unless the caller is gone.
func (d *Dispatcher) leave(w *waiter, err error) (sycamorevane.Grant, error) {
	d.mu.Lock()
	list := d.queue[w.req.Service]
	if i := slices.Index(list, w); i >= 0 {
		d.queue[w.req.Service] = slices.Delete(list, i, i+1)
		d.mu.Unlock()
		return sycamorevane.Grant{}, err
	}
	d.mu.Unlock()
	if p := <-w.got; p.err == nil {
		d.Release(p.grant, sycamorevane.Outcome{Kind: sycamorevane.OutcomeCancelled, Route: w.req.Route})
	}
	return sycamorevane.Grant{}, err
}

// serve gives room to the waiting requests in their order, and returns the servers to ask for those that go on waiting.
// It is called with the lock held.
func (d *Dispatcher) serve(now time.Time, service string) []Probe {
	if len(d.queue[service]) == 0 {
		return nil
	}
	v := d.view(now)
	if v.state == nil {
		return nil
	}
	d.serveSome(v, service, true)
	d.serveSome(v, service, false)
	return d.questions(v, service)
}

// serveSome gives room to the requests that can still meet their aim, or to the others. A late answer is worth little,
// so that it must not take the place of one that can be in time.
func (d *Dispatcher) serveSome(v *view, service string, inTime bool) {
	p := d.core.pool(service)
	var some []*waiter
	for _, w := range d.queue[service] {
		if feasible(v.now, w.req, p.timesOf(w.req.Route)) == inTime {
			some = append(some, w)
		}
	}
	if inTime {
		newestFirst(v.now, some)
	}
	served := sycamorevane.NewSet[uint64]()
	for _, w := range some {
		got := d.place(v, w)
		if got.server == nil && got.stale {
			continue // Its servers are being asked; one that has waited long enough may follow.
		}
		if got.server == nil && got.held.After(v.now) {
			served.Add(w.number)
			w.got <- placement{err: d.refuseHeld(v.now, w.req, got.held)}
			continue
		}
		if got.server == nil {
			if inTime && got.full && waitedFor(crowdedAfter, v.now, some) {
				p.crowded = v.now
			}
			break
		}
		served.Add(w.number)
		w.got <- placement{grant: d.grant(v, got)}
	}
	if len(served) > 0 {
		d.queue[service] = slices.DeleteFunc(d.queue[service], func(w *waiter) bool { return served.Has(w.number) })
	}
}

// newestFirst turns the order within each priority around while the queue is long. In the order of arrival all would be
// served when they have almost no time left, and most of them late; so those that come now are in time.
func newestFirst(now time.Time, list []*waiter) {
	if !waitedFor(longWait, now, list) {
		return
	}
	slices.SortFunc(list, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.req.Priority, b.req.Priority), cmp.Compare(b.number, a.number))
	})
}

// waitedFor reports whether one of the requests has waited so long.
func waitedFor(wait time.Duration, now time.Time, list []*waiter) bool {
	return slices.ContainsFunc(list, func(w *waiter) bool { return now.Sub(w.since) >= wait })
}

func (d *Dispatcher) grant(v *view, got choice) sycamorevane.Grant {
	srv := withConns(got.server.entry.Server, v.state.Config.Service(got.server.entry.Server.Service))
	return sycamorevane.Grant{ID: d.core.start(v.now, got.server), Server: srv, Trial: got.trial}
}

// withConns adds the bound of its connections, which servers of some deployments do not announce.
func withConns(s sycamorevane.Server, svc *sycamorevane.Service) sycamorevane.Server {
	if svc != nil && svc.MaxConns > 0 {
		s.MaxConns = svc.MaxConns
	}
	return s
}

// Running returns the requests running on the servers of each version of a service.
func (d *Dispatcher) Running(service string) map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make(map[string]int)
	for _, s := range d.core.pool(service).servers {
		counts[s.entry.Server.Version] += len(s.started)
	}
	return counts
}

// HandleDirective takes what a server asks for in an answer. It holds for that start of the server on this entry: a
// wrong claim takes out no other server, and nothing that the server reports later takes it back.
func (d *Dispatcher) HandleDirective(server string, n sycamorevane.ServerDirective) {
	now := time.Now()
	d.mu.Lock()
	news := d.core.applyDirective(now, server, n)
	d.mu.Unlock()
	if news {
		d.cfg.Log.Info("server asks for no requests", "server", server, "leaving", n.Leaving, "pausems", n.Pause.Milliseconds())
	}
}

// Slow reports whether work on the server takes at least slowPace times as long as usual just now.
func (d *Dispatcher) Slow(server string) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.core.byID[server]
	return s != nil && s.paceAt(now) >= slowPace
}

// Release implements sycamorevane.Limiter.
func (d *Dispatcher) Release(g sycamorevane.Grant, o sycamorevane.Outcome) {
	now := time.Now()
	d.mu.Lock()
	s, paused := d.core.finish(now, g.Server.Service, g.Server.ID, g.ID, o)
	list := d.serve(now, g.Server.Service)
	d.mu.Unlock()
	d.send(list)
	if s == nil || !paused {
		return
	}
	d.paused.Inc(1)
	d.cfg.Log.V(1).Info("server paused", "server", g.Server.ID, "service", g.Server.Service, "outcome", o.Kind.String())
}

// comeBack spreads the return of refused requests. One that will be late in any case gives way to others until later,
// as far as its deadline allows.
func (d *Dispatcher) comeBack(req *sycamorevane.Request, usual time.Duration) time.Duration {
	left := time.Duration(returnShare * float64(max(0, time.Until(req.Deadline))))
	return time.Duration((0.7 + 0.6*rand.Float64()) * float64(max(usual, left)))
}

// explain logs what the servers of a service look like while requests for it find no room.
func (d *Dispatcher) explain(v *view, req *sycamorevane.Request) {
	if v.now.Sub(d.explained) < explainEvery {
		return
	}
	d.explained = v.now
	p := d.core.pool(req.Service)
	svc := v.state.Config.Service(req.Service)
	t := p.timesOf(req.Route)
	var known, usableNow, cold, paused, slow, own int
	room, occupied := 0.0, 0.0
	for _, s := range p.servers {
		known++
		if !usable(v, s, "", nil) {
			continue
		}
		usableNow++
		room += s.room()
		occupied += s.occupied(v.now, t.usual)
		own += len(s.started)
		if isCold(v, s, svc) {
			cold++
		}
		if s.pausedAt(v.now) {
			paused++
		}
		if s.expected(v.now, t.base) > 2*t.base {
			slow++
		}
	}
	d.cfg.Log.Info("no room for requests", "service", req.Service, "route", req.Route, "servers", known, "usable", usableNow,
		"cold", cold, "paused", paused, "slow", slow, "room", room, "occupied", int(occupied), "own", own,
		"queued", len(d.queue[req.Service]), "usualms", t.usual.Milliseconds(), "basems", t.base.Milliseconds())
}

// refuseHeld refuses a request whose servers have all asked for no requests until then.
func (d *Dispatcher) refuseHeld(now time.Time, req *sycamorevane.Request, until time.Time) *sycamorevane.RefusedError {
	after := time.Duration((1 + heldSpread*rand.Float64()) * float64(until.Sub(now)))
	return d.refuse(req, "all servers have asked for no requests", after)
}

func (d *Dispatcher) refuse(req *sycamorevane.Request, reason string, after time.Duration) *sycamorevane.RefusedError {
	d.refused.Inc(1)
	return &sycamorevane.RefusedError{Service: req.Service, Workspace: req.Workspace, Reason: reason, RetryAfter: after}
}
