package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/administrator"
	"sycamorevane.example/sycamorevane/cataloger"
	"sycamorevane.example/sycamorevane/forwarder"
	"sycamorevane.example/sycamorevane/messenger"
	"sycamorevane.example/sycamorevane/parser"
	"sycamorevane.example/sycamorevane/placer"
	"sycamorevane.example/sycamorevane/recorder"
)

// Adapter is how a deployment speaks to the system: names, formats and calls.
type Adapter interface {
	Dialect() forwarder.Dialect
	// Control serves operators and backend servers.
	Control(Control) http.Handler
	// Directory serves callers that ask where to connect.
	Directory(addresses func(dc string) []string, ttl time.Duration) http.Handler
	// Ready serves whoever asks whether the entry takes requests.
	Ready(ready func() bool) http.Handler
}

// Control is what operators and backend servers can ask of a control host.
type Control struct {
	Administrator *administrator.Administrator
	Catalog       *cataloger.ControlCatalog
	DCs           []string
}

// DiscoveryConfig holds what a DiscoveryProcess is built from.
type DiscoveryConfig struct {
	Settings *parser.DiscoverySettings
	// Reload reads the settings again; they may name other seeds later.
	Reload  func() (*parser.DiscoverySettings, error)
	Adapter Adapter
	Log     logr.Logger
}

const (
	// contactInterval is how often a process looks for hosts that it should have a session with.
	contactInterval = 100 * time.Millisecond
	// contactSpread is the time over which an entry that has reached a control host opens sessions with the others. A
	// session costs a small control host a few milliseconds.
	contactSpread = time.Second
	// seedGap is how long an entry waits for a seed before it dials the next one as well.
	seedGap = 300 * time.Millisecond
	// memoryShare is the part of the process's memory limit that the heap may take before it is collected harder.
	memoryShare = 0.5
	// openCollect is the garbage collection target of processes on hosts with little memory and processor.
	openCollect = 200
)

// DiscoveryProcess is one process of an open deployment.
type DiscoveryProcess struct {
	cfg     DiscoveryConfig
	mesh    *messenger.Messenger
	homes   *homes
	metrics *recorder.Metrics
	entry   *openEntry
	control *openControl
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	// exposed serves the metrics; nil when they are not.
	exposed *http.Server
	// due belongs to contactLoop.
	due contacts

	mu sync.Mutex
	// members are the control hosts that the leader named last.
	members []string
}

// NewDiscoveryProcess opens all listeners and the data folder.
func NewDiscoveryProcess(cfg DiscoveryConfig) (*DiscoveryProcess, error) {
	s := cfg.Settings
	if s.MemoryLimitMiB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimitMiB) * memoryShare * (1 << 20)))
	}
	debug.SetGCPercent(openCollect)
	roles := sycamorevane.NewSet[string]()
	if s.Entry != nil {
		roles.Add(sycamorevane.RoleEntry)
	}
	if s.Control != nil {
		roles.Add(sycamorevane.RoleControl)
	}
	cfg.Log = cfg.Log.WithValues("host", s.Name)
	h := newHomes(s.MeshAddr())
	var o *DiscoveryProcess
	favoured := func(host string) bool { return o.isControl(host) }
	mesh, err := messenger.New(messenger.Config{
		Self: s.MeshAddr(), DC: s.DC, Roles: roles, Listen: s.MeshAddr(), Key: s.Key, Relays: h.relays, Favoured: favoured, Log: cfg.Log,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	o = &DiscoveryProcess{cfg: cfg, mesh: mesh, homes: h, metrics: recorder.NewMetrics(s.Name)}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	if s.Control != nil {
		if o.control, err = newOpenControl(o); err != nil {
			return nil, errors.Annotate(err, "control role")
		}
	}
	if s.Entry != nil {
		if o.entry, err = newOpenEntry(o); err != nil {
			return nil, errors.Annotate(err, "entry role")
		}
	}
	return o, nil
}

// Start begins to serve.
func (o *DiscoveryProcess) Start() error {
	o.mesh.Start()
	o.contact()
	if o.control != nil {
		if err := o.control.start(); err != nil {
			return errors.Trace(err)
		}
	}
	if o.entry != nil {
		o.entry.start()
	}
	o.serveMetrics()
	o.wg.Go(o.contactLoop)
	o.cfg.Log.Info("process started", "mesh", o.mesh.Addr(), "seeds", o.cfg.Settings.Seeds, "first", o.cfg.Settings.FirstStart)
	return nil
}

// serveMetrics exposes the metrics; a process serves its callers also without.
func (o *DiscoveryProcess) serveMetrics() {
	port := o.cfg.Settings.MetricsPort
	if port == 0 {
		return
	}
	l, err := net.Listen("tcp", net.JoinHostPort(o.cfg.Settings.IPAddr, strconv.Itoa(port)))
	if err != nil {
		o.cfg.Log.Error(err, "metrics are not served", "port", port)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", o.metrics)
	o.exposed = o.serveHTTP(l, mux)
}

// Stop is a graceful shutdown within ctx.
func (o *DiscoveryProcess) Stop(ctx context.Context) {
	o.cfg.Log.Info("process stops")
	if o.entry != nil {
		o.entry.stop(ctx)
	}
	if o.control != nil {
		o.control.stop(ctx)
	}
	o.cancel()
	if o.exposed != nil {
		_ = o.exposed.Close()
	}
	o.mesh.Close()
	o.wg.Wait()
	_ = o.metrics.Close()
	o.cfg.Log.Info("process stopped")
}

// seeds reads the settings again, since they may have changed without notice.
func (o *DiscoveryProcess) seeds() []string {
	s, err := o.cfg.Reload()
	if err != nil {
		o.cfg.Log.Info("settings not read again, the former ones hold", "reason", err.Error())
		s = o.cfg.Settings
	}
	return s.SeedMeshAddrs()
}

func (o *DiscoveryProcess) contactLoop() {
	t := time.NewTicker(contactInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			o.contact()
		case <-o.ctx.Done():
			return
		}
	}
}

// contact keeps sessions with the control hosts that this one needs, and with the seeds while none is reached.
func (o *DiscoveryProcess) contact() {
	alive := o.alive()
	names := o.controls()
	if o.control == nil {
		names = o.homes.choose(time.Now(), names, alive)
	}
	wanted := sycamorevane.NewSet(names...)
	delay := o.spread
	if !slices.ContainsFunc(names, alive.Has) {
		delay = o.trySeeds(wanted, alive)
	}
	delete(wanted, o.mesh.Self())
	for _, name := range o.due.ready(time.Now(), wanted, delay) {
		if o.control == nil && len(alive) == 0 && o.mesh.Greeting() {
			break // A host that is busy with all entries is no reason to keep the next one busy.
		}
		o.mesh.Connect(name, "", name)
	}
	settled := o.control != nil || o.homes.settled(alive)
	for _, p := range o.mesh.Peers() {
		if p.Addr != "" && !wanted.Has(p.Name) && (settled || !p.Alive) {
			o.mesh.Forget(p.Name)
		}
	}
}

// spread is when a session with a control host is opened. A session costs a small host some milliseconds, and after a loss
// of power all entries come at once. An entry opens the one that it prefers to follow without delay.
func (o *DiscoveryProcess) spread(name string) time.Duration {
	if o.control != nil || name == o.homes.first() {
		return 0
	}
	return time.Duration(rand.Float64() * float64(contactSpread))
}

// trySeeds adds the seeds to the wanted hosts as long as no control host is reached, and returns when they are dialled. An
// entry tries them one after the other: they have the fewest of all hosts to share the first sessions of all entries.
func (o *DiscoveryProcess) trySeeds(wanted, alive sycamorevane.Set[string]) func(string) time.Duration {
	if o.control == nil && len(alive) > 0 {
		return o.spread
	}
	seeds := o.seeds()
	for _, name := range seeds {
		wanted.Add(name)
	}
	ranked := placer.TopHosts(o.mesh.Self(), seeds, len(seeds))
	return func(name string) time.Duration {
		if i := slices.Index(ranked, name); i > 0 && o.control == nil {
			return time.Duration(i) * seedGap
		}
		return 0
	}
}

// isControl reports whether a control host has the address, as far as known here. Before the first contact these are the
// seeds.
func (o *DiscoveryProcess) isControl(host string) bool {
	names := o.controls()
	if len(names) == 0 {
		names = o.cfg.Settings.SeedMeshAddrs()
	}
	return slices.ContainsFunc(names, func(name string) bool {
		addr, _, _ := net.SplitHostPort(name)
		return addr == host
	})
}

// alive lists the control hosts with a session that works.
func (o *DiscoveryProcess) alive() sycamorevane.Set[string] {
	alive := sycamorevane.NewSet[string]()
	for _, p := range o.mesh.Peers() {
		if p.Alive && p.Roles.Has(sycamorevane.RoleControl) {
			alive.Add(p.Name)
		}
	}
	return alive
}

// controls lists the control hosts as known here.
func (o *DiscoveryProcess) controls() []string {
	if o.control != nil {
		return o.control.members()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.members)
}

// setFirstMembers takes the members as a host knows them that is not in contact with a leader, while none are known.
func (o *DiscoveryProcess) setFirstMembers(members []string) {
	if len(o.controls()) == 0 {
		o.setMembers(members)
	}
}

func (o *DiscoveryProcess) setMembers(members []string) {
	if len(members) == 0 {
		return
	}
	o.mu.Lock()
	changed := !slices.Equal(o.members, members)
	o.members = members
	o.mu.Unlock()
	if changed {
		o.cfg.Log.Info("control hosts changed", "members", members)
	}
}

// serveHTTP runs an HTTP server for calls of the deployment until stop.
func (o *DiscoveryProcess) serveHTTP(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	o.wg.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			o.cfg.Log.Error(err, "listener ended", "addr", l.Addr().String())
		}
	})
	return server
}
