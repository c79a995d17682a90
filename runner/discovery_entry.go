package runner

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/net/netutil"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/acceptor"
	"sycamorevane.example/sycamorevane/accountant"
	"sycamorevane.example/sycamorevane/cataloger"
	"sycamorevane.example/sycamorevane/coordinator"
	"sycamorevane.example/sycamorevane/dispatcher"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/forwarder"
	"sycamorevane.example/sycamorevane/promoter"
	"sycamorevane.example/sycamorevane/quarantiner"
	"sycamorevane.example/sycamorevane/recorder"
	"sycamorevane.example/sycamorevane/resolver"
	"sycamorevane.example/sycamorevane/subscriber"
)

const (
	// responseGrace is added to the deadline so that a response that a server sends at the deadline still arrives.
	responseGrace = 60 * time.Millisecond
	// directoryTTL is how long callers may cache a response of the directory, unless the deployment's limit is lower.
	directoryTTL = 2 * time.Second
	// shutdownServeRatio is the fraction of the grace period for which an entry that shuts down still accepts connections:
	// callers may cache the directory's response, and thus connect to this entry, for up to the TTL of the response.
	shutdownServeRatio = 0.5
	// serverDialTimeout limits connecting to a server. Network delays are a few milliseconds, and the timeout is
	// shorter than the delay after which TCP would resend the first packet, so that another server is tried instead.
	serverDialTimeout = 250 * time.Millisecond
	// hedgeAcquireTimeout limits acquiring a server for a hedge, which may have to wait for servers to report their load.
	hedgeAcquireTimeout = 25 * time.Millisecond
	// probeCheckInterval is how often an entry checks which servers to probe; probeTimeout limits each probe.
	probeCheckInterval = 30 * time.Millisecond
	probeTimeout       = 150 * time.Millisecond
	// referenceCPU is the share of a CPU core, and referenceLinkMbps the link speed, with which the fraction
	// resolver.MinActiveRatio of the entries can carry the traffic of the users' deployments. 0.32 is the share on the hosts of
	// the first two deployments. 60 is ten times the 6 Mbit/s of the larger deployments, in which the directory therefore
	// lists all entries.
	referenceCPU      = 0.32
	referenceLinkMbps = 60
	// standbyRetryBurst is the number of retries that an entry on standby may send in addition to a ratio of its requests.
	standbyRetryBurst = 1
	// rankTimeout is the age of this entry's rank from which the rank may be outdated. Control hosts send it every second,
	// and consider an entry that they do not hear of as lost after 2.5 s.
	rankTimeout = 2 * time.Second
	// presenceCheckInterval is how often an entry checks for control hosts that it has not reported its presence to.
	presenceCheckInterval = 100 * time.Millisecond
	// discoveryMaxCallerConns limits the connections from callers. Connections to servers need the other file descriptors,
	// which are few on small hosts.
	discoveryMaxCallerConns = 2500
	// defaultMaxHeaderBytes limits a request header if the configuration sets no limit.
	defaultMaxHeaderBytes = 64 << 10
)

// discoveryEntry is the entry role of a DiscoveryProcess. It does not depend on other entries: it chooses servers by
// the load that it knows itself, or lets a control host choose with shared placement, and receives the configuration and the catalog of servers from a control host.
type discoveryEntry struct {
	p                 *DiscoveryProcess
	subscriber        *subscriber.Subscriber
	catalog           *cataloger.Follower
	dispatcher        *dispatcher.Dispatcher
	forwarder         *forwarder.Forwarder
	quarantiner       *quarantiner.Quarantiner
	evidenceCollector *promoter.Collector
	evidenceReporter  *promoter.Reporter
	// usageReporter is nil in a deployment without usage reports.
	usageReporter *accountant.Reporter
	// placement asks the schedulers; nil without shared placement. nearbyControls are the control hosts of this data centre.
	placement      *coordinator.Client
	nearbyControls atomic.Pointer[[]string]
	callerListener net.Listener
	readyListener  net.Listener
	callerServer   *acceptor.Server
	readyServer    *http.Server
	sampler        *recorder.Sampler
	rank           atomic.Int64
	entryCount     atomic.Int64
	// rankedAt is when a control host last sent the rank, in ns since the start of this process.
	rankedAt     atomic.Int64
	startedAt    time.Time
	shuttingDown atomic.Bool
	// endsAt is when the remaining requests are aborted; nil until the process stops. onlyShort is set once only requests
	// whose deadline is before endsAt are accepted.
	endsAt    atomic.Pointer[time.Time]
	onlyShort atomic.Bool
}

func newDiscoveryEntry(p *DiscoveryProcess) (*discoveryEntry, error) {
	e := &discoveryEntry{p: p, evidenceCollector: promoter.NewCollector(processClock), sampler: recorder.NewSampler(p.cfg.Log), startedAt: time.Now()}
	e.subscriber = subscriber.New(subscriber.Config{
		Transport: p.mesh, ListControlHosts: p.selector.relays, ServeWhenIsolated: true,
		OnChange: e.stateChanged, OnPush: e.handlePush, Log: p.cfg.Log,
	})
	e.catalog = cataloger.NewFollower(cataloger.FollowerConfig{
		Transport: p.mesh, Source: p.selector.currentSource, OnChange: e.catalogChanged, Log: p.cfg.Log,
	})
	e.quarantiner = quarantiner.New(quarantiner.Config{
		Self: p.mesh.Self(), Transport: p.mesh, Leader: e.subscriber.Leader, IsLeaving: e.isLeaving, Log: p.cfg.Log, Metrics: p.metrics,
	})
	var placement dispatcher.Scheduler
	if p.features.SharedPlacement {
		e.placement = coordinator.NewClient(coordinator.ClientConfig{
			Transport: p.mesh, DC: p.cfg.Settings.DC, Hosts: e.nearby, Log: p.cfg.Log, Metrics: p.metrics,
		})
		placement = e.placement
	}
	b := p.cfg.Settings.Bounds
	e.dispatcher = dispatcher.New(dispatcher.Config{
		DC: p.cfg.Settings.DC, Bounds: dispatcher.Bounds{ColdFactor: b.ColdFactor, ColdSlack: b.ColdSlack, DrainTime: b.DrainTime},
		Servers: e.catalog.All, State: e.subscriber.State, Blocked: e.evidenceCollector.Blocked, EntryRank: e.entryRank, Isolated: e.isolated,
		SendProbe: func(probe dispatcher.Probe) { go e.probe(probe) }, Scheduler: placement, StopsAt: e.endTime,
		Log: p.cfg.Log, Metrics: p.metrics,
	})
	var runs forwarder.RunCounter
	if reporter, counter := e.newUsageReporter(); reporter != nil {
		e.usageReporter, runs = reporter, counter
	}
	e.forwarder = forwarder.New(forwarder.Config{
		Self: p.cfg.Settings.Name, Limiter: e.dispatcher, Quarantine: e.quarantiner, State: e.subscriber.State, Dialect: p.cfg.Adapter.Dialect(),
		Observe: e.evidenceCollector.Observe, FirstState: e.subscriber.FirstState(), ResponseGrace: responseGrace,
		ShuttingDown: e.shuttingDown.Load, DeadlineLimit: e.deadlineLimit, DialTimeout: serverDialTimeout,
		EntryCount:    func() int { return int(max(1, e.entryCount.Load())) },
		PaceTransfers: p.cfg.Settings.PaceTransfers,
		RetryBurst:    e.retryBurst, IsSlow: e.dispatcher.Slow, WaitWhileSlow: e.dispatcher.WaitWhileSlow,
		OnDirective: e.dispatcher.HandleDirective, Runs: runs,
		LinkMbps: p.cfg.Settings.LinkMbps, HedgeAcquireTimeout: hedgeAcquireTimeout, Log: p.cfg.Log, Metrics: p.metrics,
	})
	e.evidenceReporter = promoter.NewReporter(promoter.ReporterConfig{
		Transport: p.mesh, Collector: e.evidenceCollector, Log: p.cfg.Log, LeaderName: e.subscriber.Leader,
	})
	var err error
	if e.callerListener, err = net.Listen("tcp", p.cfg.Settings.Entry.CallerAddr); err != nil {
		return nil, errors.Annotate(err, "caller listener")
	}
	if e.readyListener, err = net.Listen("tcp", p.cfg.Settings.Entry.ReadyAddr); err != nil {
		return nil, errors.Annotate(err, "ready listener")
	}
	return e, nil
}

// retryBurst returns how many retries this entry may send in addition to a ratio of its requests: half of an equal share of
// what the deployment allows to all active entries. The other half is for the others, which are not counted and also get
// some requests: entries on standby, and those that have just started. An entry that shuts down keeps its share.
func (e *discoveryEntry) retryBurst() float64 {
	rank, entries := e.entryRank()
	share := e.p.cfg.Settings.Bounds.RetrySlack / float64(max(1, entries)) / 2
	if rank >= entries && !e.shuttingDown.Load() {
		return min(share, standbyRetryBurst)
	}
	return share
}

func (e *discoveryEntry) entryRank() (rank, entries int) {
	return int(e.rank.Load()), int(e.entryCount.Load())
}

// isolated reports whether no control host in contact with the leader has sent the rank for rankTimeout.
func (e *discoveryEntry) isolated() bool {
	return time.Since(e.startedAt)-time.Duration(e.rankedAt.Load()) > rankTimeout
}

func (e *discoveryEntry) stateChanged(st *sycamorevane.State) {
	e.quarantiner.SetQuarantined(st.Quarantined)
	e.evidenceCollector.Update(st.Rollouts)
	e.dispatcher.Update()
}

func (e *discoveryEntry) catalogChanged() {
	e.dispatcher.Update()
	e.quarantiner.ServersChanged(currentServers(e.catalog.All()))
}

// currentServers returns the server that was started last at each address. The catalog keeps those that used the address before.
func currentServers(records []cataloger.ServerRecord) []sycamorevane.Server {
	latest := make(map[string]*cataloger.ServerRecord, len(records))
	for i := range records {
		record := &records[i]
		if other, ok := latest[record.Server.Addr]; !ok || record.StartedAt > other.StartedAt {
			latest[record.Server.Addr] = record
		}
	}
	servers := make([]sycamorevane.Server, 0, len(latest))
	for _, record := range latest {
		server := record.Server
		if record.Leaving() {
			server.State = sycamorevane.ServerDraining
		}
		servers = append(servers, server)
	}
	return servers
}

// isLeaving reports whether the server has announced that it stops.
func (e *discoveryEntry) isLeaving(server sycamorevane.Server) bool {
	for _, record := range e.catalog.All() {
		if record.Server.ID == server.ID {
			st := e.subscriber.State()
			return record.Leaving() || st != nil && st.ServerDrained(&record.Server, record.StartedAt)
		}
	}
	return false
}

// handlePush handles the parts of a push other than the state. Values that differ between control hosts are taken only from
// the source.
func (e *discoveryEntry) handlePush(from string, m *encoder.StatePush) {
	e.p.selector.setDetached(from, m.Apart)
	if m.Apart {
		e.p.setInitialMembers(m.Members)
		return
	}
	e.p.setMembers(m.Members)
	e.quarantiner.SetTerm(m.Term)
	if from != e.p.selector.currentSource() {
		return
	}
	if e.placement != nil && len(m.Near) > 0 {
		e.nearbyControls.Store(&m.Near)
	}
	e.rank.Store(int64(m.Rank))
	e.entryCount.Store(int64(m.Entries))
	e.rankedAt.Store(int64(time.Since(e.startedAt)))
	e.catalog.HandleRevision(from, m.Epoch, m.Revision)
}

func (e *discoveryEntry) start() {
	e.subscriber.Start()
	e.quarantiner.Start()
	e.evidenceReporter.Start()
	if e.usageReporter != nil {
		e.usageReporter.Start()
	}
	if e.placement != nil {
		e.placement.Start()
		e.p.wg.Go(e.schedulingHostLoop)
	}
	e.p.wg.Go(e.presenceLoop)
	e.p.wg.Go(e.probeLoop)
	e.readyServer = e.p.serveHTTP(e.readyListener, e.p.cfg.Adapter.Ready(e.accepting))
	e.callerServer = acceptor.New(acceptor.Config{
		Handler: e.forwarder, Limits: e.limits, HasPending: func() bool { return acceptor.HasPendingConns(e.callerListener) }, Log: e.p.cfg.Log,
	})
	l := forwarder.RejectAmbiguousFraming(netutil.LimitListener(e.callerListener, discoveryMaxCallerConns))
	e.p.wg.Go(func() {
		if err := e.callerServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.p.cfg.Log.Error(err, "caller listener ended")
		}
	})
}

// limits returns the limits of the configuration, or the default for each that is not configured.
func (e *discoveryEntry) limits() acceptor.Limits {
	l := acceptor.Limits{MaxHeaderBytes: defaultMaxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if st := e.subscriber.State(); st != nil {
		c := st.Config.Limits
		l.MaxHeaderBytes = cmp.Or(c.MaxHeaderBytes, l.MaxHeaderBytes)
		l.HeaderTimeout = cmp.Or(c.HeaderTimeout, l.HeaderTimeout)
		l.IdleTimeout = cmp.Or(c.IdleTimeout, l.IdleTimeout)
	}
	return l
}

// accepting reports whether callers may be directed to this entry.
func (e *discoveryEntry) accepting() bool { return e.subscriber.Connected() && !e.shuttingDown.Load() }

// presenceLoop reports to the control hosts whether callers may be directed to this entry and which control host is its
// source. It does so every presenceInterval, and at once when this changes or a control host has just started.
func (e *discoveryEntry) presenceLoop() {
	t := time.NewTicker(presenceCheckInterval)
	defer t.Stop()
	notified := make(map[string]uint64)
	lastSent := time.Time{}
	lastAccepting := false
	for {
		now := time.Now()
		newPeer := false
		for _, peer := range e.p.mesh.Peers() {
			if peer.Alive && peer.Roles.Has(sycamorevane.RoleControl) && notified[peer.Name] != peer.Incarnation {
				notified[peer.Name] = peer.Incarnation
				newPeer = true
			}
		}
		source, sourceChanged := e.p.selector.selectSource(now, e.p.aliveControls())
		if sourceChanged {
			e.p.cfg.Log.Info("control host followed", "peer", source)
			e.catalog.Fetch(source)
		}
		if previous := lastAccepting; newPeer || sourceChanged || now.Sub(lastSent) >= presenceInterval || previous != e.accepting() {
			lastAccepting, lastSent = e.accepting(), now
			e.sendPresence()
		}
		select {
		case <-t.C:
		case <-e.p.ctx.Done():
			return
		}
	}
}

// probeLoop probes the load of servers that have not recently reported it in responses to requests.
func (e *discoveryEntry) probeLoop() {
	t := time.NewTicker(probeCheckInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			for _, target := range e.dispatcher.DueProbes(now) {
				go e.probe(target)
			}
		case <-e.p.ctx.Done():
			return
		}
	}
}

func (e *discoveryEntry) probe(target dispatcher.Probe) {
	ctx, cancel := context.WithTimeout(e.p.ctx, probeTimeout)
	defer cancel()
	_, header, err := e.forwarder.Probe(ctx, target.Server, target.Path)
	if err != nil {
		e.sampler.Info(time.Now(), "probe failed", "server", target.Server.ID, "reason", err.Error())
		e.dispatcher.HandleProbeResult(time.Now(), target.Server.ID, dispatcher.ProbeResult{})
		return
	}
	d := e.p.cfg.Adapter.Dialect()
	r := dispatcher.ProbeResult{Answered: true, Load: d.ParseLoad(header), ColdRemaining: dispatcher.ParseColdRemaining(header.Get(d.ColdRemaining))}
	if name := header.Get(d.Instance); name != "" && name != target.Server.InstanceName {
		r.AddressReused, r.Load = true, nil
	}
	e.dispatcher.HandleProbeResult(time.Now(), target.Server.ID, r)
}

// activePercent returns the percentage of entries on hosts like this one that callers should be directed to. On hosts below
// referenceCPU or referenceLinkMbps the traffic is spread over more entries. Zero arguments mean unknown.
func activePercent(cpu, linkMbps float64) uint32 {
	factor := 1.0
	if cpu > 0 {
		factor = max(factor, referenceCPU/cpu)
	}
	if linkMbps > 0 {
		factor = max(factor, referenceLinkMbps/linkMbps)
	}
	return uint32(100 * min(1, resolver.MinActiveRatio*factor))
}

func (e *discoveryEntry) sendPresence() {
	s := e.p.cfg.Settings
	m := &encoder.Presence{
		Accepting: e.accepting(), Leaving: e.shuttingDown.Load(), Addr: s.Entry.CallerAddr, Dc: s.DC,
		Part: activePercent(s.CPUShare, s.LinkMbps),
	}
	if st := e.subscriber.State(); st != nil {
		m.Loads = e.versionLoads(st)
	}
	m.Limits = cataloger.EncodeLimits(e.dispatcher.StatedLimits())
	source := e.p.selector.currentSource()
	for _, name := range e.p.aliveControls().Sorted() {
		m.Follows = name == source
		if err := e.p.mesh.Send(name, m); err != nil {
			e.p.cfg.Log.V(1).Info("presence not sent", "peer", name, "reason", err.Error())
		}
	}
}

// versionLoads returns the number of running requests per version, for services under rollout.
func (e *discoveryEntry) versionLoads(st *sycamorevane.State) []*encoder.VersionLoad {
	var list []*encoder.VersionLoad
	for service, r := range st.Rollouts {
		if r.Phase.Terminal() {
			continue
		}
		for version, running := range e.dispatcher.Running(service) {
			list = append(list, &encoder.VersionLoad{Service: service, Version: version, Running: uint32(running)})
		}
	}
	return list
}

// endTime returns when the remaining requests are aborted, or zero until the process stops.
func (e *discoveryEntry) endTime() time.Time {
	if t := e.endsAt.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// deadlineLimit returns the latest deadline of the requests that are accepted, or zero while any deadline is.
func (e *discoveryEntry) deadlineLimit() time.Time {
	if !e.onlyShort.Load() {
		return time.Time{}
	}
	return e.endTime()
}

// stop removes the entry from the directory, keeps serving while callers may use cached responses of the directory, and then
// accepts only requests whose deadline is before the end of ctx. From the beginning, the dispatcher and the forwarder refuse
// requests that are not expected to end by then. Running requests are completed.
func (e *discoveryEntry) stop(ctx context.Context) {
	e.shuttingDown.Store(true)
	if end, ok := ctx.Deadline(); ok {
		e.endsAt.Store(&end)
		e.forwarder.BeginStop(end)
	}
	e.subscriber.MarkLeaving()
	e.sendPresence()
	sleep(ctx, time.Duration(float64(e.p.cfg.Settings.Bounds.GracePeriod)*shutdownServeRatio))
	e.onlyShort.Store(true)
	if err := e.callerServer.Shutdown(ctx); err != nil {
		e.p.cfg.Log.Info("requests aborted at the end of the grace period", "reason", err.Error())
		e.forwarder.LogUnanswered()
		_ = e.callerServer.Close()
	}
	_ = e.readyServer.Close()
	e.evidenceReporter.Flush()
	e.evidenceReporter.Close()
	if e.placement != nil {
		e.placement.Close()
	}
	e.forwarder.Close()
	e.quarantiner.Close()
	if e.usageReporter != nil {
		e.usageReporter.Close(ctx)
	}
	e.catalog.Close()
	e.subscriber.Close()
}
