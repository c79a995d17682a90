package simulator

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/scheduler"
)

// Model constants of the exchange between entries and schedulers.
const (
	// meshDelay is the one-way delay between two hosts of a data centre.
	meshDelay = 500 * time.Microsecond
	// messageInterval is the minimum time between two messages of an entry that contain no ask.
	messageInterval = 10 * time.Millisecond
	// schedulerTick is how often a scheduler decides what depends on the time only.
	schedulerTick = 5 * time.Millisecond
)

// simulatedScheduler is the scheduler of one data centre.
type simulatedScheduler struct {
	sim   *discoverySimulation
	delay time.Duration

	mu      sync.Mutex
	core    *scheduler.Core
	waiting map[scheduler.Key]chan scheduler.Decision
}

// schedulerSession is the connection of an entry to its scheduler.
type schedulerSession struct {
	scheduler *simulatedScheduler
	entry     string

	mu     sync.Mutex
	nextID uint64
	// batch holds what the next message contains besides asks, sentAt is when the last one was sent.
	batch     []func(now time.Time, c *scheduler.Core) []scheduler.Decision
	sentAt    time.Time
	scheduled bool
}

func (sim *discoverySimulation) buildSchedulers() {
	switch sim.Design {
	case SchedulerPerDC:
		sim.schedulers = make(map[string]*simulatedScheduler)
		for i := range sim.DCs {
			for half := range 2 {
				sim.schedulers[schedulerName(i, half)] = sim.newScheduler(dcName(i), cmp.Or(sim.MessageDelay, meshDelay), uint64(2*i+half))
			}
		}
	case OmniscientScheduler:
		sim.schedulers = map[string]*simulatedScheduler{schedulerName(0, 0): sim.newScheduler("", 0, 0)}
	default:
		return
	}
	for i, e := range sim.entries {
		half := 0
		if sim.SplitPools {
			half = i / sim.DCs % 2
		}
		e.scheduler = &schedulerSession{scheduler: sim.schedulers[schedulerName(i%sim.DCs, half)], entry: fmt.Sprintf("e%d", i)}
	}
}

// schedulerName names the scheduler of a half of the entries of a data centre.
func schedulerName(dc, half int) string { return fmt.Sprintf("%s/%d", dcName(dc), half) }

// newScheduler returns a scheduler of the servers of a data centre; of all if dc is empty.
func (sim *discoverySimulation) newScheduler(dc string, delay time.Duration, n uint64) *simulatedScheduler {
	s := &simulatedScheduler{sim: sim, delay: delay, waiting: make(map[scheduler.Key]chan scheduler.Decision)}
	s.core = scheduler.New(scheduler.Config{Rand: rand.New(rand.NewPCG(sim.Seed, 1000+n))})
	var servers []scheduler.Server
	for _, srv := range sim.servers {
		if dc == "" || srv.dc == dc {
			servers = append(servers, scheduler.Server{ID: srv.id, Slots: sim.Slots, Usable: true})
		}
	}
	s.core.Update(sim.startedAt, servers)
	return s
}

// apply changes the core, delivers the decisions and starts the probes that are due.
func (s *simulatedScheduler) apply(changes ...func(now time.Time, c *scheduler.Core) []scheduler.Decision) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range changes {
		for _, d := range change(now, s.core) {
			result := s.waiting[d.Key]
			delete(s.waiting, d.Key)
			if result == nil {
				continue
			}
			time.AfterFunc(s.delay, func() { result <- d })
		}
	}
	if s.sim.omniscient() {
		return
	}
	for _, id := range s.core.DueProbes(now) {
		s.sim.probes.Go(func() { s.probe(id) })
	}
}

func (s *simulatedScheduler) probe(id string) {
	delay := max(s.sim.ProbeTime, 2*time.Millisecond) / 2
	time.Sleep(delay)
	s.sim.mu.Lock()
	s.sim.res.Probes++
	l := s.sim.findServer(id).loadReport(s.sim.Slots)
	s.sim.mu.Unlock()
	time.Sleep(delay)
	s.apply(func(now time.Time, c *scheduler.Core) []scheduler.Decision { return c.Report(now, id, l) })
}

func (s *simulatedScheduler) tickLoop(ctx context.Context) {
	t := time.NewTicker(schedulerTick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.apply(func(now time.Time, c *scheduler.Core) []scheduler.Decision { return c.Tick(now) })
		case <-ctx.Done():
			return
		}
	}
}

// reportAll reports the load of all servers to the only scheduler.
func (sim *discoverySimulation) reportAll(now time.Time) {
	s := sim.schedulers[schedulerName(0, 0)]
	for _, srv := range sim.servers {
		sim.mu.Lock()
		l := srv.loadReport(sim.Slots)
		sim.mu.Unlock()
		s.apply(func(_ time.Time, c *scheduler.Core) []scheduler.Decision { return c.Report(now, srv.id, l) })
	}
}

// ask asks for a server and waits for the decision.
func (p *schedulerSession) ask(ctx context.Context, a scheduler.Ask) (scheduler.Decision, bool) {
	result := make(chan scheduler.Decision, 1)
	p.mu.Lock()
	p.nextID++
	a.Key = scheduler.Key{Entry: p.entry, ID: p.nextID}
	p.batch = append(p.batch, func(now time.Time, c *scheduler.Core) []scheduler.Decision {
		p.scheduler.waiting[a.Key] = result
		return c.Ask(now, a)
	})
	p.flush(time.Now())
	p.mu.Unlock()
	select {
	case d := <-result:
		return d, true
	case <-ctx.Done():
		p.report(func(now time.Time, c *scheduler.Core) []scheduler.Decision { return c.Cancel(now, a.Key) })
		return scheduler.Decision{}, false
	}
}

// report sends a change at once, or messageInterval after the last message.
func (p *schedulerSession) report(change func(now time.Time, c *scheduler.Core) []scheduler.Decision) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.batch = append(p.batch, change)
	wait := p.sentAt.Add(messageInterval).Sub(now)
	if wait <= 0 || p.scheduler.delay == 0 {
		p.flush(now)
		return
	}
	if !p.scheduled {
		p.scheduled = true
		time.AfterFunc(wait, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.scheduled = false
			if len(p.batch) > 0 {
				p.flush(time.Now())
			}
		})
	}
}

// flush sends the batch. The caller holds the lock.
func (p *schedulerSession) flush(now time.Time) {
	batch := p.batch
	p.batch, p.sentAt = nil, now
	sim := p.scheduler.sim
	sim.mu.Lock()
	sim.res.Messages++
	sim.mu.Unlock()
	if p.scheduler.delay == 0 {
		p.scheduler.apply(batch...)
		return
	}
	time.AfterFunc(p.scheduler.delay, func() { p.scheduler.apply(batch...) })
}

// forwardScheduled acts as an entry for one request that a scheduler places.
func (sim *discoverySimulation) forwardScheduled(
	ctx context.Context, k *RequestKind, e *simulatedEntry, req *sycamorevane.Request, serviceTime time.Duration,
) (ok bool, retryAfter time.Duration) {
	for range maxAttempts {
		d, ok := e.scheduler.ask(ctx, scheduler.Ask{
			Route: req.Route, Workspace: req.Workspace, Priority: req.Priority, Deadline: req.Deadline,
			ExcludedServers: req.ExcludedServers, Work: k.MeanServiceTime,
		})
		if !ok {
			return false, 0
		}
		if d.Server == "" {
			return false, d.RetryAfter
		}
		sent := time.Now()
		remote := sim.findServer(d.Server).dc != e.dc
		if remote {
			time.Sleep(interDCDelay)
		}
		o := sim.runOnServer(d.Server, serviceTime)
		if remote {
			time.Sleep(interDCDelay)
		}
		f := scheduler.Finish{Key: d.Key, Server: d.Server, Route: k.Name, Kind: o.Kind, Latency: time.Since(sent), Load: o.Load}
		e.scheduler.report(func(now time.Time, c *scheduler.Core) []scheduler.Decision { return c.Finish(now, f) })
		switch {
		case o.Kind == sycamorevane.OutcomeOK:
			return true, 0
		case o.Kind == sycamorevane.OutcomeIncomplete && k.NotIdempotent:
			return false, noRetry
		}
		req.ExcludedServers = append(req.ExcludedServers, d.Server)
	}
	return false, time.Second
}

// shareReport passes a load report to the other entries of the data centre through a hub, as messages of an entry must
// not grow with the number of entries. ended is set when the report includes a request that has ended.
func (sim *discoverySimulation) shareReport(e *simulatedEntry, srv sycamorevane.Server, l *sycamorevane.LoadReport, ended bool) {
	if sim.Design != SharedReports || l == nil {
		return
	}
	report := *l
	if ended {
		report.Running--
	}
	reportedAt := time.Now()
	sim.mu.Lock()
	sim.res.Messages++
	sim.mu.Unlock()
	// The messages are batched, which delays them by half the interval on average.
	time.AfterFunc(2*meshDelay+messageInterval/2, func() {
		now := time.Now()
		for _, other := range sim.entries {
			if other != e && other.dc == e.dc {
				other.dispatcher.ApplySharedReport(now, reportedAt, srv.ID, &report)
			}
		}
	})
}
