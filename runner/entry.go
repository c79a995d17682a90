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

// presenceInterval is how often an entry reports whether it accepts requests. Callers are no longer directed to it after
// three reports are missed.
const presenceInterval = time.Second

// entry is the role that serves callers and receives announcements of servers.
type entry struct {
	p                 *Process
	subscriber        *subscriber.Subscriber
	registrar         *registrar.Registrar
	resolver          *resolver.Resolver
	limiter           *limiter.Limiter
	deduplicator      *deduplicator.Deduplicator
	quarantiner       *quarantiner.Quarantiner
	summarizer        *summarizer.Summarizer
	loadReporter      *renderer.Reporter
	forwarder         *forwarder.Forwarder
	evidenceCollector *promoter.Collector
	evidenceReporter  *promoter.Reporter
	callerListener    *listener
	announceListener  *listener
	ctx               context.Context
	cancel            context.CancelFunc
	wg                sync.WaitGroup
}

func newEntry(p *Process) (*entry, error) {
	e := &entry{p: p}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	s := p.cfg.Settings
	e.evidenceCollector = promoter.NewCollector(processClock)
	controlNames := make([]string, len(s.ControlHosts))
	for i, c := range s.ControlHosts {
		controlNames[i] = c.Name
	}
	e.subscriber = subscriber.New(subscriber.Config{
		Transport: p.mesh, ControlHosts: controlNames, OnChange: e.stateChanged,
		OnIsolated: func() { e.limiter.RefuseWaiting() }, Log: p.cfg.Log,
	})
	e.buildComponents()
	e.registrar = registrar.New(registrar.Config{
		Self: s.Name, DC: s.DC, Transport: p.mesh, State: e.subscriber.State, Connected: e.subscriber.Connected,
		OnChange: e.serversChanged, AnnounceAddr: s.Entry.AnnounceAddr, Log: p.cfg.Log, Metrics: p.metrics,
	})
	e.resolver = resolver.New(resolver.Config{
		Transport: p.mesh, State: e.subscriber.State, Accepting: e.accepting, Leaving: e.subscriber.Leaving,
	})
	e.forwarder = forwarder.New(forwarder.Config{
		Self: s.Name, Limiter: e.summarizer, Dedup: e.deduplicator, Quarantine: e.quarantiner, State: e.subscriber.State,
		Accepting: e.accepting, ShuttingDown: e.subscriber.Leaving, EntriesHandler: e.resolver, Observe: e.evidenceCollector.Observe,
		Log: p.cfg.Log, Metrics: p.metrics,
	})
	return e, e.listen()
}

func (e *entry) buildComponents() {
	p, s := e.p, e.p.cfg.Settings
	e.limiter = limiter.New(limiter.Config{
		Self: s.Name, DC: s.DC, Transport: p.mesh, State: e.subscriber.State, Log: p.cfg.Log, Metrics: p.metrics,
		Probe: probe, Entries: e.entryHosts, Blocked: e.evidenceCollector.Blocked,
	})
	e.deduplicator = deduplicator.New(deduplicator.Config{
		Self: s.Name, Transport: p.mesh, EntryHosts: e.entryHosts, Log: p.cfg.Log, Metrics: p.metrics,
	})
	e.quarantiner = quarantiner.New(quarantiner.Config{
		Self: s.Name, Transport: p.mesh, EntryHosts: e.entryHosts, Log: p.cfg.Log, Metrics: p.metrics,
	})
	e.summarizer = summarizer.New(e.limiter, time.Now())
	e.loadReporter = renderer.NewReporter(0)
	e.evidenceReporter = promoter.NewReporter(promoter.ReporterConfig{
		Transport: p.mesh, Collector: e.evidenceCollector, Log: p.cfg.Log, LeaderName: e.subscriber.Leader,
	})
}

func (e *entry) listen() error {
	var err error
	if e.callerListener, err = listen(e.p.cfg.Settings.Entry.CallerAddr, e.forwarder, maxCallerConns); err != nil {
		return errors.Annotate(err, "caller listener")
	}
	e.callerListener.Listener = forwarder.RejectAmbiguousFraming(e.callerListener.Listener)
	mux := http.NewServeMux()
	mux.Handle("/.vane/", e.registrar.Handler())
	mux.Handle("GET /metrics", e.p.metrics)
	mux.HandleFunc("GET /healthz", e.health)
	if e.announceListener, err = listen(e.p.cfg.Settings.Entry.AnnounceAddr, mux, maxAnnounceConns); err != nil {
		return errors.Annotate(err, "announce listener")
	}
	e.announceListener.server.ReadTimeout = registrar.ReadTimeout
	e.announceListener.server.WriteTimeout = registrar.WriteTimeout
	return nil
}

func (e *entry) start() {
	e.subscriber.Start()
	e.registrar.Start()
	e.limiter.Start()
	e.deduplicator.Start()
	e.quarantiner.Start()
	e.evidenceReporter.Start()
	e.wg.Go(e.presenceLoop)
	e.wg.Go(e.summaryLoop)
	e.callerListener.serve(e.p)
	e.announceListener.serve(e.p)
}

// stateChanged is called after a new state is in force.
func (e *entry) stateChanged(st *sycamorevane.State) {
	e.p.connectConfiguredHosts(st)
	e.evidenceCollector.Update(st.Rollouts)
	e.deduplicator.SetRetention(st.Config.Limits.ClaimRetention)
	e.limiter.StateChanged()
}

// serversChanged is called after every change with all live servers of this data centre.
func (e *entry) serversChanged(servers []sycamorevane.Server) {
	e.limiter.SetServers(servers)
	e.quarantiner.ServersChanged(servers)
}

// accepting reports whether this entry accepts new requests.
func (e *entry) accepting() bool { return e.subscriber.Connected() }

func (e *entry) entryHosts() []string {
	if st := e.subscriber.State(); st != nil {
		return st.Config.HostsWith(sycamorevane.RoleEntry)
	}
	return nil
}

func (e *entry) health(w http.ResponseWriter, _ *http.Request) {
	if !e.accepting() || e.subscriber.Leaving() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *entry) presenceLoop() {
	t := time.NewTicker(presenceInterval)
	defer t.Stop()
	for {
		e.resolver.Announce()
		select {
		case <-t.C:
		case <-e.ctx.Done():
			return
		}
	}
}

// stop removes the entry from the list of entries, keeps serving for one TTL of that list, and completes running requests.
// Requests that still wait shortly before the end of ctx are refused.
func (e *entry) stop(ctx context.Context) error {
	if end, ok := ctx.Deadline(); ok {
		e.forwarder.BeginStop(end)
	}
	e.subscriber.MarkLeaving()
	e.resolver.Announce()
	if st := e.subscriber.State(); st != nil {
		sleep(ctx, st.Config.Limits.EntriesTTL)
	}
	err := e.callerListener.server.Shutdown(ctx)
	if err != nil {
		e.p.cfg.Log.Info("requests aborted at the end of the grace period", "reason", err.Error())
		e.forwarder.LogUnanswered()
		_ = e.callerListener.server.Close()
	}
	_ = e.announceListener.shutdown(ctx)
	e.evidenceReporter.Flush()
	e.closeComponents()
	return err
}

func (e *entry) kill() {
	e.callerListener.kill()
	e.announceListener.kill()
	e.closeComponents()
}

func (e *entry) closeComponents() {
	e.cancel()
	e.wg.Wait()
	for _, component := range []interface{ Close() }{
		e.evidenceReporter, e.forwarder, e.limiter, e.quarantiner, e.deduplicator, e.registrar, e.subscriber,
	} {
		component.Close()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
