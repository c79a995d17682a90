package runner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/deduplicator"
	"sycamorevane.example/sycamorevane/forwarder"
	"sycamorevane.example/sycamorevane/limiter"
	"sycamorevane.example/sycamorevane/promoter"
	"sycamorevane.example/sycamorevane/quarantiner"
	"sycamorevane.example/sycamorevane/registrar"
	"sycamorevane.example/sycamorevane/renderer"
	"sycamorevane.example/sycamorevane/resolver"
	"sycamorevane.example/sycamorevane/subscriber"
	"sycamorevane.example/sycamorevane/summarizer"
)

// presenceInterval is how often an entry tells the others whether it accepts requests; three are missed before
// they stop sending callers to it.
const presenceInterval = time.Second

// maxDeaths bounds the servers of a data centre that may die at once; more are found by their broken connections.
const maxDeaths = 1024

// entry is the role that serves callers and takes announcements.
type entry struct {
	p         *Process
	sub       *subscriber.Subscriber
	reg       *registrar.Registrar
	res       *resolver.Resolver
	lim       *limiter.Limiter
	dedup     *deduplicator.Deduplicator
	quar      *quarantiner.Quarantiner
	sum       *summarizer.Summarizer
	report    *renderer.Reporter
	fwd       *forwarder.Forwarder
	collector *promoter.Collector
	reporter  *promoter.Reporter
	callers   *listener
	serversMu sync.Mutex
	// servers are the last known live servers of the own data centre, by address.
	servers   map[string]sycamorevane.Server
	died      *sycamorevane.Ring[sycamorevane.Server]
	announces *listener
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

func newEntry(p *Process) (*entry, error) {
	e := &entry{p: p, died: sycamorevane.NewRing[sycamorevane.Server](maxDeaths)}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	s := p.cfg.Settings
	e.collector = promoter.NewCollector(processClock)
	control := make([]string, len(s.ControlHosts))
	for i, c := range s.ControlHosts {
		control[i] = c.Name
	}
	e.sub = subscriber.New(subscriber.Config{
		Transport: p.mesh, ControlHosts: control, OnChange: e.changed, OnIsolated: func() { e.lim.RefuseWaiting() }, Log: p.cfg.Log,
	})
	e.buildDecisions()
	e.reg = registrar.New(registrar.Config{
		Self: s.Name, DC: s.DC, Transport: p.mesh, State: e.sub.State, Connected: e.sub.Connected, Changed: e.serversChanged,
		Listener: s.Entry.AnnounceAddr, Log: p.cfg.Log, Metrics: p.metrics,
	})
	e.res = resolver.New(resolver.Config{
		Transport: p.mesh, State: e.sub.State, Accepting: e.accepting, Leaving: e.sub.Leaving,
	})
	e.fwd = forwarder.New(forwarder.Config{
		Self: s.Name, Limiter: e.sum, Dedup: e.dedup, Quarantine: e.quar, State: e.sub.State, Accepting: e.accepting,
		EntriesHandler: e.res, Observe: e.collector.Observe, Log: p.cfg.Log, Metrics: p.metrics,
	})
	return e, e.listen()
}

func (e *entry) buildDecisions() {
	p, s := e.p, e.p.cfg.Settings
	e.lim = limiter.New(limiter.Config{
		Self: s.Name, DC: s.DC, Transport: p.mesh, State: e.sub.State, Log: p.cfg.Log, Metrics: p.metrics,
		Probe: probe, Entries: e.entries, Blocked: e.collector.Blocked,
	})
	e.dedup = deduplicator.New(deduplicator.Config{
		Self: s.Name, Transport: p.mesh, EntryHosts: e.entries, Log: p.cfg.Log, Metrics: p.metrics,
	})
	e.quar = quarantiner.New(quarantiner.Config{Self: s.Name, Transport: p.mesh, EntryHosts: e.entries, Log: p.cfg.Log, Metrics: p.metrics})
	e.sum = summarizer.New(e.lim, time.Now())
	e.report = renderer.NewReporter(0)
	e.reporter = promoter.NewReporter(promoter.ReporterConfig{
		Transport: p.mesh, Collector: e.collector, Log: p.cfg.Log, LeaderName: e.sub.Leader,
	})
}

func (e *entry) listen() error {
	var err error
	if e.callers, err = listen(e.p.cfg.Settings.Entry.CallerAddr, e.fwd, maxCallers); err != nil {
		return errors.Annotate(err, "caller listener")
	}
	e.callers.Listener = forwarder.RejectAmbiguousFraming(e.callers.Listener)
	mux := http.NewServeMux()
	mux.Handle("/.vane/", e.reg.Handler())
	mux.Handle("GET /metrics", e.p.metrics)
	mux.HandleFunc("GET /healthz", e.health)
	if e.announces, err = listen(e.p.cfg.Settings.Entry.AnnounceAddr, mux, maxAnnounces); err != nil {
		return errors.Annotate(err, "announce listener")
	}
	e.announces.server.ReadTimeout = registrar.ReadTimeout
	e.announces.server.WriteTimeout = registrar.WriteTimeout
	return nil
}

func (e *entry) start() {
	e.sub.Start()
	e.reg.Start()
	e.lim.Start()
	e.dedup.Start()
	e.quar.Start()
	e.reporter.Start()
	e.wg.Go(e.presenceLoop)
	e.wg.Go(e.summaryLoop)
	e.wg.Go(e.deathLoop)
	e.callers.serve(e.p)
	e.announces.serve(e.p)
}

// changed runs after a new state has come into force.
func (e *entry) changed(st *sycamorevane.State) {
	e.p.meshWith(st)
	e.collector.Update(st.Rollouts)
	e.dedup.SetRetention(st.Config.Limits.ClaimRetention)
	e.lim.StateChanged()
}

// serversChanged runs with all live servers of the own data centre after every change. A new id under a known
// address means that the former process died, possibly because of the requests that ran on it.
func (e *entry) serversChanged(servers []sycamorevane.Server) {
	e.lim.SetServers(servers)
	e.serversMu.Lock()
	defer e.serversMu.Unlock()
	known := make(map[string]sycamorevane.Server, len(servers))
	for _, s := range servers {
		if former, ok := e.servers[s.Addr]; ok && former.ID != s.ID {
			e.died.Push(former)
		}
		known[s.Addr] = s
	}
	e.servers = known
}

// deathLoop tells other entries of servers that died. It waits for their answers, which a message handler must not.
func (e *entry) deathLoop() {
	for {
		if s, ok := e.died.Pop(); ok {
			e.quar.ConfirmDeath(s)
			continue
		}
		select {
		case <-e.died.Wake():
		case <-e.ctx.Done():
			return
		}
	}
}

// accepting reports whether this entry takes new requests.
func (e *entry) accepting() bool { return e.sub.Connected() }

func (e *entry) entries() []string {
	if st := e.sub.State(); st != nil {
		return st.Config.HostsWith(sycamorevane.RoleEntry)
	}
	return nil
}

func (e *entry) health(w http.ResponseWriter, _ *http.Request) {
	if !e.accepting() || e.sub.Leaving() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *entry) presenceLoop() {
	t := time.NewTicker(presenceInterval)
	defer t.Stop()
	for {
		e.res.Announce()
		select {
		case <-t.C:
		case <-e.ctx.Done():
			return
		}
	}
}

// stop leaves the entries answer, serves one ttl longer, and finishes running requests.
func (e *entry) stop(ctx context.Context) error {
	e.sub.MarkLeaving()
	e.res.Announce()
	if st := e.sub.State(); st != nil {
		wait(ctx, st.Config.Limits.EntriesTTL)
	}
	err := e.callers.shutdown(ctx)
	_ = e.announces.shutdown(ctx)
	e.closeParts()
	return err
}

func (e *entry) kill() {
	e.callers.kill()
	e.announces.kill()
	e.closeParts()
}

func (e *entry) closeParts() {
	e.cancel()
	e.wg.Wait()
	for _, part := range []interface{ Close() }{e.reporter, e.fwd, e.lim, e.quar, e.dedup, e.reg, e.sub} {
		part.Close()
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
