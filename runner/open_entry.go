package runner

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/net/netutil"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/acceptor"
	"sycamorevane.example/sycamorevane/cataloger"
	"sycamorevane.example/sycamorevane/dispatcher"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/forwarder"
	"sycamorevane.example/sycamorevane/promoter"
	"sycamorevane.example/sycamorevane/recorder"
	"sycamorevane.example/sycamorevane/resolver"
	"sycamorevane.example/sycamorevane/subscriber"
)

const (
	// answerGrace lets a server's own answer at the deadline arrive.
	answerGrace = 60 * time.Millisecond
	// directoryTTL is how long callers may use the directory's answer; bounded by the deployment's own limit.
	directoryTTL = 2 * time.Second
	// leaveShare is the part of the grace period in which a leaving entry still takes connections: callers keep the
	// directory's answer for up to its time to live and find the entry closed afterwards.
	leaveShare = 0.5
	// openDial bounds the making of a connection to a server; a packet takes a few milliseconds, and another server is
	// tried sooner than the first packet would be sent again.
	openDial = 250 * time.Millisecond
	// openHedge is how long a second attempt may wait until servers have told their load.
	openHedge = 25 * time.Millisecond
	// probeTick is how often the servers to probe are looked for, probeWait how long an answer may take.
	probeTick = 30 * time.Millisecond
	probeWait = 150 * time.Millisecond
	// fullCPU and fullLink are the core share and the Mbit/s with which resolver.ActivePart of the entries carries the
	// traffic of the users' deployments: the core share of the hosts of the first two, and ten times the 6 Mbit/s of the
	// grown ones, of which all are named.
	fullCPU  = 0.32
	fullLink = 60
	// presenceTick is how often the entry looks for a control host that does not know it yet.
	presenceTick = 100 * time.Millisecond
	// openCallers bounds the callers' connections, which share the descriptors of a small host with those to servers.
	openCallers = 2500
	// openHeader bounds a request header in bytes where the configuration has not said.
	openHeader = 64 << 10
)

// openEntry is the entry role in an open deployment. It needs no other entry: it places requests by its own view and
// learns configuration and servers from a control host.
type openEntry struct {
	o         *DiscoveryProcess
	sub       *subscriber.Subscriber
	catalog   *cataloger.Follower
	place     *dispatcher.Dispatcher
	fwd       *forwarder.Forwarder
	collector *promoter.Collector
	reporter  *promoter.Reporter
	callers   net.Listener
	ready     net.Listener
	server    *acceptor.Server
	status    *http.Server
	sampler   *recorder.Sampler
	rank      atomic.Int64
	entries   atomic.Int64
	leaving   atomic.Bool
}

func newOpenEntry(o *DiscoveryProcess) (*openEntry, error) {
	e := &openEntry{o: o, collector: promoter.NewCollector(processClock), sampler: recorder.NewSampler(o.cfg.Log)}
	e.sub = subscriber.New(subscriber.Config{
		Transport: o.mesh, ListControlHosts: o.homes.relays, ServeWhenIsolated: true, OnChange: e.changed, OnPush: e.pushed, Log: o.cfg.Log,
	})
	e.catalog = cataloger.NewFollower(cataloger.FollowerConfig{
		Transport: o.mesh, Source: o.homes.followed, Changed: func() { e.place.Update() }, Log: o.cfg.Log,
	})
	b := o.cfg.Settings.Bounds
	e.place = dispatcher.New(dispatcher.Config{
		DC: o.cfg.Settings.DC, Bounds: dispatcher.Bounds{ColdFactor: b.ColdFactor, ColdSlack: b.ColdSlack, DrainTime: b.DrainTime},
		Servers: e.catalog.All, State: e.sub.State, Blocked: e.collector.Blocked, EntryRank: e.share,
		SendProbe: func(p dispatcher.Probe) { go e.probe(p) },
		Log:       o.cfg.Log, Metrics: o.metrics,
	})
	e.fwd = forwarder.New(forwarder.Config{
		Self: o.cfg.Settings.Name, Limiter: e.place, State: e.sub.State, Dialect: o.cfg.Adapter.Dialect(),
		Observe: e.collector.Observe, FirstState: e.sub.FirstState(), ResponseGrace: answerGrace,
		ShuttingDown: e.leaving.Load, DialTimeout: openDial,
		EntryCount: func() int { return int(max(1, e.entries.Load())) },
		RetryBurst: e.retryBurst, IsSlow: e.place.Slow, WaitWhileSlow: e.place.WaitWhileSlow, OnDirective: e.place.HandleDirective,
		LinkMbps: o.cfg.Settings.LinkMbps, HedgeAcquireTimeout: openHedge, Log: o.cfg.Log, Metrics: o.metrics,
	})
	e.reporter = promoter.NewReporter(promoter.ReporterConfig{
		Transport: o.mesh, Collector: e.collector, Log: o.cfg.Log, LeaderName: e.sub.Leader,
	})
	var err error
	if e.callers, err = net.Listen("tcp", o.cfg.Settings.Entry.CallerAddr); err != nil {
		return nil, errors.Annotate(err, "caller listener")
	}
	if e.ready, err = net.Listen("tcp", o.cfg.Settings.Entry.ReadyAddr); err != nil {
		return nil, errors.Annotate(err, "ready listener")
	}
	return e, nil
}

// retryBurst is this entry's part of the retries that all entries may send besides a share of the requests.
func (e *openEntry) retryBurst() float64 {
	return e.o.cfg.Settings.Bounds.RetrySlack / float64(max(1, e.entries.Load())) / 2
}

func (e *openEntry) share() (rank, entries int) { return int(e.rank.Load()), int(e.entries.Load()) }

func (e *openEntry) changed(st *sycamorevane.State) {
	e.collector.Update(st.Rollouts)
	e.place.Update()
}

// pushed takes what a control host says besides the state. What differs between control hosts is taken from the one that
// this entry follows.
func (e *openEntry) pushed(from string, m *encoder.StatePush) {
	e.o.homes.heard(from, m.Apart)
	if m.Apart {
		e.o.setFirstMembers(m.Members)
		return
	}
	e.o.setMembers(m.Members)
	if from != e.o.homes.followed() {
		return
	}
	e.rank.Store(int64(m.Rank))
	e.entries.Store(int64(m.Entries))
	e.catalog.Announced(from, m.Epoch, m.Revision)
}

func (e *openEntry) start() {
	e.sub.Start()
	e.reporter.Start()
	e.o.wg.Go(e.presenceLoop)
	e.o.wg.Go(e.probeLoop)
	e.status = e.o.serveHTTP(e.ready, e.o.cfg.Adapter.Ready(e.accepting))
	e.server = acceptor.New(acceptor.Config{
		Handler: e.fwd, Limits: e.limits, Pending: func() bool { return acceptor.Pending(e.callers) }, Log: e.o.cfg.Log,
	})
	l := forwarder.RejectAmbiguousFraming(netutil.LimitListener(e.callers, openCallers))
	e.o.wg.Go(func() {
		if err := e.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.o.cfg.Log.Error(err, "caller listener ended")
		}
	})
}

// limits are those of the configuration, as far as it says.
func (e *openEntry) limits() acceptor.Limits {
	l := acceptor.Limits{MaxHeaderBytes: openHeader, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if st := e.sub.State(); st != nil {
		c := st.Config.Limits
		l.MaxHeaderBytes = cmp.Or(c.MaxHeaderBytes, l.MaxHeaderBytes)
		l.HeaderTimeout = cmp.Or(c.HeaderTimeout, l.HeaderTimeout)
		l.IdleTimeout = cmp.Or(c.IdleTimeout, l.IdleTimeout)
	}
	return l
}

// accepting reports whether callers may be sent here.
func (e *openEntry) accepting() bool { return e.sub.Connected() && !e.leaving.Load() }

// presenceLoop tells its control hosts every second, and one that has just come up at once, whether callers may be sent
// here, and which of them this entry follows.
func (e *openEntry) presenceLoop() {
	t := time.NewTicker(presenceTick)
	defer t.Stop()
	told := make(map[string]uint64)
	last := time.Time{}
	accepting := false
	for {
		now := time.Now()
		fresh := false
		for _, p := range e.o.mesh.Peers() {
			if p.Alive && p.Roles.Has(sycamorevane.RoleControl) && told[p.Name] != p.Incarnation {
				told[p.Name] = p.Incarnation
				fresh = true
			}
		}
		source, moved := e.o.homes.follow(now, e.o.alive())
		if moved {
			e.o.cfg.Log.Info("control host followed", "peer", source)
			e.catalog.Ask(source)
		}
		if was := accepting; fresh || moved || now.Sub(last) >= presenceInterval || was != e.accepting() {
			accepting, last = e.accepting(), now
			e.announce()
		}
		select {
		case <-t.C:
		case <-e.o.ctx.Done():
			return
		}
	}
}

// probeLoop asks servers for their load where requests have not told it lately.
func (e *openEntry) probeLoop() {
	t := time.NewTicker(probeTick)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			for _, p := range e.place.DueProbes(now) {
				go e.probe(p)
			}
		case <-e.o.ctx.Done():
			return
		}
	}
}

func (e *openEntry) probe(p dispatcher.Probe) {
	ctx, cancel := context.WithTimeout(e.o.ctx, probeWait)
	defer cancel()
	_, header, err := e.fwd.Probe(ctx, p.Server, p.Path)
	if err != nil {
		e.sampler.Info(time.Now(), "probe failed", "server", p.Server.ID, "reason", err.Error())
		e.place.HandleProbeResult(time.Now(), p.Server.ID, dispatcher.ProbeResult{})
		return
	}
	d := e.o.cfg.Adapter.Dialect()
	r := dispatcher.ProbeResult{Answered: true, Load: d.ParseLoad(header), ColdRemaining: -1}
	if name := header.Get(d.Instance); name != "" && name != p.Server.InstanceName {
		r.AddressReused, r.Load = true, nil
	}
	if ms, err := strconv.Atoi(header.Get(d.ColdRemaining)); err == nil && ms >= 0 {
		r.ColdRemaining = time.Duration(ms) * time.Millisecond
	}
	e.place.HandleProbeResult(time.Now(), p.Server.ID, r)
}

// part is the percentage of the entries like this one that callers should be sent to: a host with less than fullCPU or
// fullLink shares its traffic with more others.
func part(processor, link float64) uint32 {
	factor := 1.0
	if processor > 0 {
		factor = max(factor, fullCPU/processor)
	}
	if link > 0 {
		factor = max(factor, fullLink/link)
	}
	return uint32(100 * min(1, resolver.ActivePart*factor))
}

func (e *openEntry) announce() {
	s := e.o.cfg.Settings
	m := &encoder.Presence{
		Accepting: e.accepting(), Leaving: e.leaving.Load(), Addr: s.Entry.CallerAddr, Dc: s.DC, Part: part(s.CPUShare, s.LinkMbps),
	}
	if st := e.sub.State(); st != nil {
		m.Loads = e.loads(st)
	}
	source := e.o.homes.followed()
	for _, name := range e.o.alive().Sorted() {
		m.Follows = name == source
		if err := e.o.mesh.Send(name, m); err != nil {
			e.o.cfg.Log.V(1).Info("presence not sent", "peer", name, "reason", err.Error())
		}
	}
}

// loads are the requests running on the versions of services under rollout.
func (e *openEntry) loads(st *sycamorevane.State) []*encoder.VersionLoad {
	var list []*encoder.VersionLoad
	for service, r := range st.Rollouts {
		if r.Phase.Terminal() {
			continue
		}
		for version, n := range e.place.Running(service) {
			list = append(list, &encoder.VersionLoad{Service: service, Version: version, Running: uint32(n)})
		}
	}
	return list
}

// stop leaves the directory, serves while callers still use its former answers, and finishes running requests.
func (e *openEntry) stop(ctx context.Context) {
	e.leaving.Store(true)
	e.sub.MarkLeaving()
	e.announce()
	wait(ctx, time.Duration(float64(e.o.cfg.Settings.Bounds.GracePeriod)*leaveShare))
	if err := e.server.Shutdown(ctx); err != nil {
		e.o.cfg.Log.Info("requests cut at the end of the grace period", "reason", err.Error())
		_ = e.server.Close()
	}
	_ = e.status.Close()
	e.reporter.Close()
	e.fwd.Close()
	e.catalog.Close()
	e.sub.Close()
}
