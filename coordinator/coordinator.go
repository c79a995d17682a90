// Package coordinator lets a control host place the requests of all entries of its data centre on the servers of a service.
// A Coordinator drives the pools of package scheduler on control hosts; a Client asks for placements on entries. All state
// is kept in memory and is rebuilt from what entries report.
package coordinator

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
	"sycamorevane.example/sycamorevane/dispatcher"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/scheduler"
)

const (
	// waitingInterval is how often an entry with waiting requests gets a message. It is half of the entry's silenceTimeout.
	waitingInterval = 20 * time.Millisecond
	// firstWaitingDelay is the same for the first message. Most requests are decided earlier, once a server has answered a
	// probe, which takes about 6 ms.
	firstWaitingDelay = 10 * time.Millisecond
	// decideInterval is the interval of Pool.Tick while requests wait, idleInterval that of all periodic work otherwise.
	decideInterval = 5 * time.Millisecond
	idleInterval   = 100 * time.Millisecond
	// updateInterval is how often the servers are read from the catalog and the state.
	updateInterval = 100 * time.Millisecond
	// warmUp is how long a new pool only collects what entries report as running before it grants. It is a round trip
	// between hosts with little processor time.
	warmUp = 50 * time.Millisecond
	// poolRetention is how long a pool without requests is kept.
	poolRetention = time.Minute
	// minUnlistedAge is the age from which a grant that the entry does not list as running has ended. It is far longer than
	// messages take between hosts that work.
	minUnlistedAge = 500 * time.Millisecond
	// maxInbox limits the messages that wait for the goroutine, maxBatch those that it handles before it sends decisions.
	maxInbox = 2048
	maxBatch = 64
	// maxProbes limits the concurrent probes.
	maxProbes = 32
	// unusablePeriod is how long a server is not granted after two entries have returned it as not usable by their rules
	// within that time. A single entry may have outdated information.
	unusablePeriod = 500 * time.Millisecond
	// reusedPeriod is how long a server is not granted after a probe has found another server at its address. The catalog
	// learns of it within a lease.
	reusedPeriod = 5 * time.Second
)

// Config holds the parameters of a Coordinator.
type Config struct {
	Transport sycamorevane.Transport
	DC        string
	// NewPool returns an empty pool.
	NewPool func() scheduler.Pool
	// Servers lists the catalog.
	Servers func() []cataloger.ServerRecord
	// State returns the committed state.
	State func() *sycamorevane.State
	// Probe asks a server for its load until the context ends.
	Probe   func(ctx context.Context, s sycamorevane.Server, path string) dispatcher.ProbeResult
	Log     logr.Logger
	Metrics tally.Scope
}

// Coordinator runs the pools for which this host is asked. One goroutine owns them.
type Coordinator struct {
	cfg    Config
	wg     sync.WaitGroup
	stop   context.CancelFunc
	ctx    context.Context
	inbox  chan message
	probed chan probeResult
	// queries holds functions to be run by the goroutine.
	queries chan func()
	// probeSlots holds one element per running probe.
	probeSlots chan struct{}
	pools      map[string]*pool
	// updatedAt is when peers and the servers of the pools were last read. peers holds the hosts with a session.
	updatedAt time.Time
	peers     sycamorevane.Set[string]

	asked, granted, rejected, dropped, probes tally.Counter
	wait                                      tally.Histogram
}

type message struct {
	from string
	ask  *encoder.ScheduleAsk
}

type probeResult struct {
	service, server string
	result          dispatcher.ProbeResult
}

// New returns a Coordinator and registers its message handler.
func New(cfg Config) *Coordinator {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	m := cfg.Metrics.SubScope("scheduler")
	c := &Coordinator{
		cfg: cfg, inbox: make(chan message, maxInbox), probed: make(chan probeResult, maxProbes),
		queries: make(chan func()), probeSlots: make(chan struct{}, maxProbes),
		pools: make(map[string]*pool),
		asked: m.Counter("asked"), granted: m.Counter("granted"), rejected: m.Counter("rejected"), dropped: m.Counter("dropped"),
		probes: m.Counter("probes"), wait: m.Histogram("wait", waitBuckets),
	}
	c.ctx, c.stop = context.WithCancel(context.Background())
	cfg.Transport.Handle(&encoder.ScheduleAsk{}, c.handle)
	return c
}

// Start starts the goroutine. Close stops it and waits for the running probes.
func (c *Coordinator) Start() { c.wg.Go(c.loop) }

// Close leaves the waiting requests to their entries, stops the goroutine and waits for it and the running probes.
func (c *Coordinator) Close() {
	c.stop()
	c.wg.Wait()
}

// Summary describes the pool of a service. It returns false if this host is not asked for the service, or after Close.
func (c *Coordinator) Summary(service string) (scheduler.Summary, bool) {
	var summary scheduler.Summary
	found := false
	done := make(chan struct{})
	query := func() {
		defer close(done)
		if p := c.pools[service]; p != nil {
			summary, found = p.core.Summary(time.Now()), true
		}
	}
	select {
	case c.queries <- query:
		<-done
	case <-c.ctx.Done():
	}
	return summary, found
}

// handle passes a message on to the goroutine. It is dropped when the goroutine does not keep up; the entry then places its
// requests itself.
func (c *Coordinator) handle(from string, m proto.Message) proto.Message {
	ask, ok := m.(*encoder.ScheduleAsk)
	if !ok {
		return nil
	}
	select {
	case c.inbox <- message{from, ask}:
	default:
		c.dropped.Inc(1)
	}
	return nil
}

func (c *Coordinator) loop() {
	t := time.NewTimer(idleInterval)
	defer t.Stop()
	for {
		select {
		case m := <-c.inbox:
			c.apply(time.Now(), m)
			c.drainInbox()
			c.sendProbes(time.Now())
		case r := <-c.probed:
			c.applyProbe(time.Now(), r)
		case query := <-c.queries:
			query()
		case <-t.C:
			t.Reset(c.tick(time.Now()))
		case <-c.ctx.Done():
			c.releaseAll(time.Now())
			return
		}
		if c.flush(time.Now()) {
			t.Reset(decideInterval)
		}
	}
}

// drainInbox handles the messages that have arrived, so that decisions for several entries are sent together.
func (c *Coordinator) drainInbox() {
	for range maxBatch {
		select {
		case m := <-c.inbox:
			c.apply(time.Now(), m)
		default:
			return
		}
	}
}

// releaseAll leaves all waiting requests to their entries, which would otherwise notice the end of this host only by its silence.
func (c *Coordinator) releaseAll(now time.Time) {
	c.drainInbox()
	for _, p := range c.pools {
		p.releaseWaiting(now)
	}
	c.flush(now)
}

func (c *Coordinator) apply(now time.Time, m message) {
	p := c.pools[m.ask.Service]
	if p == nil {
		if len(m.ask.Requests)+len(m.ask.Started) == 0 {
			return
		}
		p = c.newPool(now, m.ask.Service)
	}
	p.apply(now, m.from, m.ask)
	c.asked.Inc(int64(len(m.ask.Requests)))
}

func (c *Coordinator) newPool(now time.Time, service string) *pool {
	p := &pool{
		c: c, service: service, number: rand.Uint32() | 1, core: c.cfg.NewPool(), createdAt: now, lastRequest: now,
		entries: make(map[string]*entry), ids: make(map[uint32]string), unusable: make(map[uint32]returnedServer), probedOut: make(map[string]time.Time),
	}
	p.update(now, c.cfg.Servers())
	c.pools[service] = p
	c.cfg.Log.Info("pool created", "service", service, "servers", len(p.usable))
	return p
}

// tick does the periodic work and returns the time until it is due again.
func (c *Coordinator) tick(now time.Time) time.Duration {
	interval := idleInterval
	if now.Sub(c.updatedAt) >= updateInterval {
		c.update(now)
	}
	for _, p := range c.pools {
		p.tick(now)
		if p.busy() {
			interval = decideInterval
		}
	}
	return interval
}

// update reads the servers and the sessions, and drops what is no longer needed.
func (c *Coordinator) update(now time.Time) {
	c.updatedAt = now
	c.peers = sycamorevane.NewSet(c.cfg.Transport.Self())
	for _, peer := range c.cfg.Transport.Peers() {
		if peer.Alive {
			c.peers.Add(peer.Name)
		}
	}
	var servers []cataloger.ServerRecord
	if len(c.pools) > 0 {
		servers = c.cfg.Servers()
	}
	for service, p := range c.pools {
		if now.Sub(p.lastRequest) > poolRetention {
			delete(c.pools, service)
			c.cfg.Log.Info("pool dropped, it had no requests", "service", service)
			continue
		}
		p.forgetLost(now)
		p.update(now, servers)
	}
}

// flush sends the decisions, and reports whether requests have begun to wait.
func (c *Coordinator) flush(now time.Time) bool {
	started := false
	for _, p := range c.pools {
		p.flush(now)
		if p.busy() != p.wasBusy {
			p.wasBusy = p.busy()
			started = started || p.wasBusy
		}
	}
	return started
}

func (c *Coordinator) applyProbe(now time.Time, r probeResult) {
	if p := c.pools[r.service]; p != nil {
		p.applyProbe(now, r.server, &r.result)
	}
}

// probe asks a server for its load and does not wait for the answer. It returns false without a free slot.
func (c *Coordinator) probe(s sycamorevane.Server, path string) bool {
	select {
	case c.probeSlots <- struct{}{}:
	default:
		return false
	}
	c.probes.Inc(1)
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
		result := c.cfg.Probe(ctx, s, path)
		cancel()
		<-c.probeSlots
		select {
		case c.probed <- probeResult{s.Service, s.ID, result}:
		case <-c.ctx.Done():
		}
	})
	return true
}

// sendProbes probes servers for requests that have begun to wait.
func (c *Coordinator) sendProbes(now time.Time) {
	for _, p := range c.pools {
		if p.hasNewRequests {
			p.hasNewRequests = false
			p.sendProbes(now)
		}
	}
}

// sortedKeys makes the order of messages independent of the order of a map.
func sortedKeys(m map[uint64]time.Time) []uint64 { return slices.Sorted(maps.Keys(m)) }
