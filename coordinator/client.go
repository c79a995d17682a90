package coordinator

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/dispatcher"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/placer"
	"sycamorevane.example/sycamorevane/scheduler"
)

const (
	// silenceTimeout is how long an entry waits for any message of a scheduler that it has asked. The scheduler sends one
	// every waitingInterval.
	silenceTimeout = 40 * time.Millisecond
	// pauseDuration is how long a silent scheduler is not used, plus up to pauseSpread at random, so that entries do not all
	// return at once.
	pauseDuration = 500 * time.Millisecond
	pauseSpread   = 250 * time.Millisecond
	// noServerPause is how long the entry places requests itself after the scheduler has answered that it has no server.
	noServerPause = 250 * time.Millisecond
	// reportInterval is how long reports that no ask carries wait for others.
	reportInterval = 10 * time.Millisecond
	// tickInterval is how often the client checks for silence and unsent reports.
	tickInterval = 5 * time.Millisecond
	// maxTickSilence is the largest part of the silence that is counted for one tick. On a host that was frozen or had no
	// processor time itself, the messages of the scheduler are still unread.
	maxTickSilence = 2 * tickInterval
	// completeInterval is how often the entry reports all that runs, so that a lost report of an end is noticed.
	completeInterval = time.Second
	// wantedHosts is the number of hosts for which a session is kept per service, so that the next one can be asked at once.
	wantedHosts = 2
	// maxPending limits the requests of a service that wait at the scheduler; further ones are placed by the entry.
	maxPending = 256
	// maxReportItems is the number of unsent reports from which a message is sent at once.
	maxReportItems = 64
)

// waitBuckets are the buckets of the histogram of the wait for a decision.
var waitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)

// ClientConfig holds the parameters of a Client.
type ClientConfig struct {
	Transport sycamorevane.Transport
	DC        string
	// Hosts lists the control hosts of the entry's data centre that may run schedulers.
	Hosts   func() []string
	Log     logr.Logger
	Metrics tally.Scope
}

// Client is the entry's side of shared placement. It implements dispatcher.Scheduler.
type Client struct {
	cfg  ClientConfig
	boot uint32
	wg   sync.WaitGroup
	stop context.CancelFunc
	ctx  context.Context
	// wake receives a value when there is something to send or to wait for.
	wake chan struct{}

	mu     sync.Mutex
	nextID uint64
	pools  map[string]*clientPool

	granted, rejected, returned, fallbacks tally.Counter
	wait                                   tally.Histogram
}

var _ dispatcher.Scheduler = (*Client)(nil)

// clientPool is the entry's side of one pool.
type clientPool struct {
	service string
	// host is the scheduling host, incarnation its start; host is empty while none is alive.
	host        string
	incarnation uint64
	// schedulerPool identifies the pool on that host; 0 before its first message.
	schedulerPool uint32
	// mode tells whether the scheduler decides. Until it has answered, only one request at a time waits for it, so that a host
	// that does not answer delays few requests.
	mode        mode
	pausedUntil time.Time
	// silence is how long requests have waited without a message.
	silence time.Duration
	pending map[uint64]*pendingAsk
	// running holds the requests that run on servers of the pool.
	running map[uint64]*encoder.ScheduleStart
	// startedAt holds when each of them was sent.
	startedAt map[uint64]time.Time
	out       *encoder.ScheduleAsk
	// changedAt is when a request last started or ended.
	changedAt time.Time
	// unsentSince is when the oldest unsent report was added.
	unsentSince time.Time
}

// mode tells who places the requests of a pool.
type mode string

const (
	modeUnasked  mode = "scheduler has not answered yet"
	modeDecides  mode = "scheduler decides"
	modeSilent   mode = "scheduler is silent"
	modeNoServer mode = "scheduler has no server"
	modeNoHost   mode = "no scheduling host is reached"
)

// pendingAsk is a request that waits for a decision.
type pendingAsk struct {
	request  *encoder.ScheduleRequest
	deadline time.Time
	// unmentioned is how long the scheduler has sent messages that do not mention the request.
	unmentioned time.Duration
	result      chan result
}

// result ends the wait of a request. Its zero value means that the entry places the request itself.
type result struct {
	placement  dispatcher.Placement
	retryAfter time.Duration
	reason     string
}

// NewClient returns a Client and registers its message handler.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	m := cfg.Metrics.SubScope("placement")
	c := &Client{
		cfg: cfg, boot: rand.Uint32() | 1, wake: make(chan struct{}, 1), pools: make(map[string]*clientPool),
		granted: m.Counter("granted"), rejected: m.Counter("rejected"), returned: m.Counter("returned"),
		fallbacks: m.Counter("fallback"), wait: m.Histogram("wait", waitBuckets),
	}
	c.ctx, c.stop = context.WithCancel(context.Background())
	cfg.Transport.Handle(&encoder.ScheduleGrant{}, c.handle)
	return c
}

// Start starts the goroutine that sends reports and notices silence. Close ends it.
func (c *Client) Start() { c.wg.Go(c.loop) }

// Close stops the goroutine. Requests that wait, and later ones, are placed by the entry.
func (c *Client) Close() {
	c.stop()
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		c.abandon(p)
		c.flush(p, time.Now())
	}
}

// WantedHosts lists the control hosts to keep sessions with: for each service with requests the first two, and further ones
// until two of them are reached.
func (c *Client) WantedHosts() []string {
	hosts := c.cfg.Hosts()
	alive := sycamorevane.NewSet(c.cfg.Transport.Self())
	for _, peer := range c.cfg.Transport.Peers() {
		if peer.Alive {
			alive.Add(peer.Name)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := sycamorevane.NewSet[string]()
	for service := range c.pools {
		reached := 0
		for i, name := range rankHosts(service, c.cfg.DC, hosts) {
			if i >= wantedHosts && reached >= wantedHosts {
				break
			}
			wanted.Add(name)
			if alive.Has(name) {
				reached++
			}
		}
	}
	return wanted.Sorted()
}

// rankHosts orders the hosts by which of them runs the scheduler of the pool.
func rankHosts(service, dc string, hosts []string) []string {
	return placer.TopHosts("schedule/"+service+"/"+dc, hosts, len(hosts))
}

// UpdateHosts chooses the scheduling host of each pool again. It must be called when a session may have changed.
func (c *Client) UpdateHosts() {
	hosts := c.cfg.Hosts()
	incarnations := make(map[string]uint64)
	for _, peer := range c.cfg.Transport.Peers() {
		if peer.Alive {
			incarnations[peer.Name] = peer.Incarnation
		}
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		host := ""
		for _, name := range rankHosts(p.service, c.cfg.DC, hosts) {
			if _, alive := incarnations[name]; alive || name == c.cfg.Transport.Self() {
				host = name
				break
			}
		}
		if host != p.host || incarnations[host] != p.incarnation {
			c.setHost(p, now, host, incarnations[host])
		}
	}
}

// setHost makes host the scheduling host of the pool and reports to it what runs.
func (c *Client) setHost(p *clientPool, now time.Time, host string, incarnation uint64) {
	c.cfg.Log.Info("scheduling host changed", "service", p.service, "from", p.host, "to", host)
	c.abandon(p)
	c.flush(p, now)
	p.host, p.incarnation, p.schedulerPool, p.pausedUntil = host, incarnation, 0, time.Time{}
	p.mode = modeUnasked
	if host == "" {
		c.setMode(p, modeNoHost)
	}
	c.reportRunning(p, now)
}

// reportRunning reports all running requests to a scheduler that does not know them.
func (c *Client) reportRunning(p *clientPool, now time.Time) {
	p.out.Complete, p.out.Started = true, p.out.Started[:0]
	for id, s := range p.running {
		s.Age = milliseconds(now.Sub(p.startedAt[id]))
		p.out.Started = append(p.out.Started, s)
	}
	c.flush(p, now)
}

func (c *Client) newAsk(service string) *encoder.ScheduleAsk {
	return &encoder.ScheduleAsk{Service: service, Boot: c.boot}
}

// pool returns the pool of the service. The first request of a service creates it, without a host until UpdateHosts.
func (c *Client) pool(service string) *clientPool {
	p, ok := c.pools[service]
	if !ok {
		p = &clientPool{
			service: service, mode: modeNoHost, pending: make(map[uint64]*pendingAsk), running: make(map[uint64]*encoder.ScheduleStart),
			startedAt: make(map[uint64]time.Time), out: c.newAsk(service),
		}
		c.pools[service] = p
	}
	return p
}

// usable reports whether a request may wait for the scheduler.
func (p *clientPool) usable(now time.Time) bool {
	if p.host == "" || now.Before(p.pausedUntil) || len(p.pending) >= maxPending {
		return false
	}
	return p.mode == modeDecides || len(p.pending) == 0
}

// Place implements dispatcher.Scheduler.
func (c *Client) Place(ctx context.Context, service string, a scheduler.Ask) (dispatcher.Placement, error) {
	now := time.Now()
	c.mu.Lock()
	p := c.pool(service)
	if c.ctx.Err() != nil || !p.usable(now) {
		c.mu.Unlock()
		c.fallbacks.Inc(1)
		return dispatcher.Placement{}, dispatcher.ErrOwnView
	}
	c.nextID++
	id := c.nextID
	w := &pendingAsk{request: encodeAsk(now, id, &a), deadline: a.Deadline, result: make(chan result, 1)}
	p.pending[id] = w
	p.out.Requests = append(p.out.Requests, w.request)
	if len(p.pending) == 1 {
		p.silence = 0
	}
	c.flush(p, now)
	c.mu.Unlock()
	c.signal()
	select {
	case r := <-w.result:
		return c.finishWait(now, service, a.Workspace, r)
	case <-ctx.Done():
		c.leave(p, id, w)
		return dispatcher.Placement{}, ctx.Err()
	}
}

func (c *Client) finishWait(askedAt time.Time, service, workspace string, r result) (dispatcher.Placement, error) {
	c.wait.RecordDuration(time.Since(askedAt))
	switch {
	case r.placement.ID != 0:
		c.granted.Inc(1)
		return r.placement, nil
	case r.retryAfter > 0:
		c.rejected.Inc(1)
		return dispatcher.Placement{}, &sycamorevane.RefusedError{Service: service, Workspace: workspace, Reason: "scheduler: " + r.reason, RetryAfter: r.retryAfter}
	default:
		c.fallbacks.Inc(1)
		return dispatcher.Placement{}, dispatcher.ErrOwnView
	}
}

// leave withdraws a request whose caller has left. A grant that has arrived in the meantime is given back.
func (c *Client) leave(p *clientPool, id uint64, w *pendingAsk) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if _, waiting := p.pending[id]; waiting {
		c.withdraw(p, now, id)
		return
	}
	if r := <-w.result; r.placement.ID != 0 {
		c.giveBack(p, now, r.placement.ID)
	}
}

// withdraw ends the wait of a request without a result.
func (c *Client) withdraw(p *clientPool, now time.Time, id uint64) {
	delete(p.pending, id)
	p.out.Withdrawn = append(p.out.Withdrawn, id)
	c.addReport(p, now)
}

func (c *Client) giveBack(p *clientPool, now time.Time, id uint64) {
	c.returned.Inc(1)
	delete(p.running, id)
	delete(p.startedAt, id)
	p.out.Withdrawn = append(p.out.Withdrawn, id)
	c.addReport(p, now)
}

// Return implements dispatcher.Scheduler.
func (c *Client) Return(service string, placement dispatcher.Placement, mustNotUse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(service)
	switch {
	case p.host != placement.Scheduler:
		c.returnTo(placement.Scheduler, service, placement.ID)
	case mustNotUse:
		p.out.Unusable = append(p.out.Unusable, placement.Server)
	}
	c.giveBack(p, time.Now(), placement.ID)
}

// ReportStart implements dispatcher.Scheduler.
func (c *Client) ReportStart(service string, s scheduler.Start) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(service)
	c.nextID++
	m := &encoder.ScheduleStart{Id: c.nextID, Server: dispatcher.ServerNumber(s.Server), Route: s.Route, Work: milliseconds(s.Work)}
	p.running[m.Id], p.startedAt[m.Id] = m, s.At
	p.out.Started = append(p.out.Started, m)
	c.addReport(p, s.At)
	return m.Id
}

// ReportFinish implements dispatcher.Scheduler.
func (c *Client) ReportFinish(service string, f scheduler.Finish) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(service)
	delete(p.running, f.ID)
	delete(p.startedAt, f.ID)
	p.out.Finished = append(p.out.Finished, &encoder.ScheduleFinish{
		Id: f.ID, Server: dispatcher.ServerNumber(f.Server), Route: f.Route, Kind: uint32(f.Kind), Latency: milliseconds(f.Latency),
		Load: encodeLoad(f.Load),
	})
	c.addReport(p, now)
}

// Decides implements dispatcher.Scheduler.
func (c *Client) Decides(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[service]
	return p != nil && p.mode == modeDecides
}

// addReport schedules the sending of a report that was added to p.out.
func (c *Client) addReport(p *clientPool, now time.Time) {
	p.changedAt = now
	if p.unsentSince.IsZero() {
		p.unsentSince = now
		c.signal()
	}
	if reportCount(p.out) >= maxReportItems {
		c.flush(p, now)
	}
}

func reportCount(m *encoder.ScheduleAsk) int {
	return len(m.Requests) + len(m.Withdrawn) + len(m.Started) + len(m.Finished)
}

// flush sends what has been added since the last message. Without a session the reports are dropped, since the next scheduler
// is told what runs then.
func (c *Client) flush(p *clientPool, now time.Time) {
	p.unsentSince = time.Time{}
	if reportCount(p.out) == 0 && !p.out.Complete {
		return
	}
	if p.host != "" {
		for _, s := range p.out.Started {
			if at, running := p.startedAt[s.Id]; running {
				s.Age = milliseconds(now.Sub(at))
			}
		}
		if err := c.cfg.Transport.Send(p.host, p.out); err != nil {
			c.cfg.Log.V(1).Info("request for placement not sent", "peer", p.host, "reason", err.Error())
		}
	}
	p.out = c.newAsk(p.service)
}

func (c *Client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// loop ticks while requests wait or reports are unsent.
func (c *Client) loop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	complete := time.NewTicker(completeInterval)
	defer complete.Stop()
	last := time.Now()
	ticking := false
	for {
		select {
		case <-c.wake:
			if !ticking {
				ticking, last = true, time.Now()
				t.Reset(tickInterval)
			}
		case <-t.C:
			now := time.Now()
			if ticking = c.tick(now, min(now.Sub(last), maxTickSilence)); !ticking {
				t.Stop()
			}
			last = now
		case now := <-complete.C:
			c.reportAll(now)
		case <-c.ctx.Done():
			return
		}
	}
}

// reportAll reports all that runs to each scheduler. It goes on until the end of the last request must have become known: a
// scheduler believes only a list that was sent more than minUnlistedAge after the start of the request.
func (c *Client) reportAll(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		if len(p.running) > 0 || now.Sub(p.changedAt) <= minUnlistedAge+completeInterval {
			c.reportRunning(p, now)
		}
	}
}

// tick handles what depends on the time and reports whether it must be called again. elapsed is the time since the last call,
// or less if this process was not running for a part of it.
func (c *Client) tick(now time.Time, elapsed time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	busy := false
	for _, p := range c.pools {
		if len(p.pending) > 0 {
			c.checkSilence(p, now, elapsed)
		}
		if !p.unsentSince.IsZero() && now.Sub(p.unsentSince) >= reportInterval {
			c.flush(p, now)
		}
		busy = busy || len(p.pending) > 0 || !p.unsentSince.IsZero()
	}
	return busy
}

// checkSilence ends the wait for a scheduler that is silent, and that of single requests that it does not know or whose time
// is over.
func (c *Client) checkSilence(p *clientPool, now time.Time, elapsed time.Duration) {
	p.silence += elapsed
	if p.silence >= silenceTimeout {
		c.pause(p, now, modeSilent, pauseDuration+rand.N(pauseSpread))
		return
	}
	for id, w := range p.pending {
		w.unmentioned += elapsed
		late := !w.deadline.IsZero() && now.After(w.deadline)
		if w.unmentioned < silenceTimeout && !late {
			continue
		}
		c.withdraw(p, now, id)
		w.result <- result{}
	}
}

// pause leaves all requests to the entry for a while.
func (c *Client) pause(p *clientPool, now time.Time, m mode, d time.Duration) {
	c.setMode(p, m)
	p.pausedUntil = now.Add(d)
	c.abandon(p)
	c.flush(p, now)
}

// setMode logs each change of who places the requests of a pool.
func (c *Client) setMode(p *clientPool, m mode) {
	if p.mode == m {
		return
	}
	p.mode = m
	c.cfg.Log.Info("placement changed", "service", p.service, "peer", p.host, "scheduled", m == modeDecides, "reason", string(m),
		"waiting", len(p.pending))
}

// abandon ends the wait of all requests and withdraws them.
func (c *Client) abandon(p *clientPool) {
	for id, w := range p.pending {
		delete(p.pending, id)
		p.out.Withdrawn = append(p.out.Withdrawn, id)
		w.result <- result{}
	}
}

// handle applies a message of a scheduler.
func (c *Client) handle(from string, msg proto.Message) proto.Message {
	m, ok := msg.(*encoder.ScheduleGrant)
	if !ok || m.Boot != c.boot {
		return nil // It answers a former start of this entry.
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[m.Service]
	if p == nil {
		return nil
	}
	if p.host != from {
		for _, d := range m.Decisions {
			if d.Server != 0 {
				c.returned.Inc(1)
				c.returnTo(from, m.Service, d.Id)
			}
		}
		return nil
	}
	c.heard(p, now, m)
	for _, d := range m.Decisions {
		c.decide(p, now, from, d)
	}
	return nil
}

// returnTo gives back the grant of a host that no longer is the scheduling host.
func (c *Client) returnTo(host, service string, id uint64) {
	m := c.newAsk(service)
	m.Withdrawn = []uint64{id}
	if err := c.cfg.Transport.Send(host, m); err != nil {
		c.cfg.Log.V(1).Info("grant not given back", "peer", host, "reason", err.Error())
	}
}

// heard records a message of the scheduler.
func (c *Client) heard(p *clientPool, now time.Time, m *encoder.ScheduleGrant) {
	p.silence = 0
	for _, id := range m.Waiting {
		if w := p.pending[id]; w != nil {
			w.unmentioned = 0
		}
	}
	if previous := p.schedulerPool; previous != m.Pool {
		p.schedulerPool = m.Pool
		if previous != 0 {
			c.reportRunning(p, now) // It has lost its memory of what runs.
		}
	}
	if !now.Before(p.pausedUntil) && !slices.ContainsFunc(m.Decisions, leavesToEntry) {
		c.setMode(p, modeDecides)
	}
}

// leavesToEntry reports whether the scheduler has no server and leaves the request to the entry.
func leavesToEntry(d *encoder.ScheduleDecision) bool { return d.Server == 0 && d.After == 0 }

// decide applies a decision. A grant for a request that no longer waits is given back.
func (c *Client) decide(p *clientPool, now time.Time, host string, d *encoder.ScheduleDecision) {
	w := p.pending[d.Id]
	if w == nil {
		if d.Server != 0 {
			c.giveBack(p, now, d.Id)
		}
		return
	}
	delete(p.pending, d.Id)
	switch {
	case d.Server != 0:
		p.running[d.Id] = &encoder.ScheduleStart{Id: d.Id, Server: d.Server, Route: w.request.Route, Work: w.request.Work}
		p.startedAt[d.Id], p.changedAt = now, now
		w.result <- result{placement: dispatcher.Placement{ID: d.Id, Server: d.Server, Scheduler: host}}
	case leavesToEntry(d):
		w.result <- result{}
		if len(w.request.Excluded) == 0 { // Otherwise the scheduler may have servers for other requests.
			c.pause(p, now, modeNoServer, noServerPause)
		}
	default:
		w.result <- result{retryAfter: time.Duration(d.After) * time.Millisecond, reason: d.Reason}
	}
}
