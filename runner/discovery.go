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
	"sycamorevane.example/sycamorevane/accountant"
	"sycamorevane.example/sycamorevane/administrator"
	"sycamorevane.example/sycamorevane/cataloger"
	"sycamorevane.example/sycamorevane/forwarder"
	"sycamorevane.example/sycamorevane/inspector"
	"sycamorevane.example/sycamorevane/messenger"
	"sycamorevane.example/sycamorevane/parser"
	"sycamorevane.example/sycamorevane/placer"
	"sycamorevane.example/sycamorevane/recorder"
)

// Adapter translates names, formats and calls between the load balancer and the platform of a deployment.
type Adapter interface {
	Dialect() forwarder.Dialect
	// Control serves the API for operators and backend servers.
	Control(ControlServices) http.Handler
	// Directory serves callers that look up the addresses of entries.
	Directory(addresses func(dc string) []string, ttl time.Duration) http.Handler
	// Ready serves the readiness check of the entry.
	Ready(ready func() bool) http.Handler
	// UsageSender returns what sends usage reports to the platform, or nil in a deployment without usage reports.
	UsageSender(s *parser.DiscoverySettings) accountant.Sender
	// Features returns the features that the platform requests by these names.
	Features(contracts []string) Features
}

// Features are the optional features of a deployment.
type Features struct {
	// SharedPlacement lets control hosts place the requests of all entries of their data centre.
	SharedPlacement bool
}

// ControlServices holds what the API of a control host for operators and backend servers is built from.
type ControlServices struct {
	Administrator *administrator.Administrator
	Catalog       *cataloger.ControlCatalog
	DCs           []string
}

// DiscoveryConfig configures a DiscoveryProcess.
type DiscoveryConfig struct {
	Settings *parser.DiscoverySettings
	// Reload reads the settings again, since the seeds in them may change.
	Reload  func() (*parser.DiscoverySettings, error)
	Adapter Adapter
	Log     logr.Logger
}

const (
	// closingTime is the part of the grace period that is reserved for closing connections after the running requests have
	// ended.
	closingTime = 60 * time.Millisecond
	// handOverTime is the part that a control host needs in addition to hand over leadership and close its store.
	handOverTime = 640 * time.Millisecond

	// sessionCheckInterval is how often a process checks which sessions to open or end.
	sessionCheckInterval = 100 * time.Millisecond
	// connectSpread is the time over which an entry that has reached a control host opens its other sessions. A session
	// costs a small control host a few milliseconds.
	connectSpread = time.Second
	// firstContactDelay is how long an entry waits before it contacts control hosts at the first start of the deployment, when
	// these do not know each other yet and would handle the sessions of all entries before they can elect a leader and join.
	firstContactDelay = 2 * time.Second
	// seedDialDelay is how long an entry waits for a seed before it also dials the next one.
	seedDialDelay = 300 * time.Millisecond
	// heapMemoryRatio is the soft memory limit of the Go runtime as a fraction of the memory in the settings. Near this
	// limit garbage is collected more often.
	heapMemoryRatio = 0.5
	// discoveryGCPercent is the garbage collection target (GOGC) for hosts with little memory and CPU.
	discoveryGCPercent = 200
)

// DiscoveryProcess is one process of a deployment whose hosts discover each other from seeds.
type DiscoveryProcess struct {
	cfg      DiscoveryConfig
	mesh     *messenger.Messenger
	selector *controlSelector
	features Features
	metrics  *recorder.Metrics
	entry    *discoveryEntry
	control  *discoveryControl
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	// metricsServer is nil when the metrics are not served.
	metricsServer *http.Server
	startedAt     time.Time
	// schedule is used only by updateSessions.
	schedule connectSchedule

	mu sync.Mutex
	// members are the control hosts according to the last push.
	members []string
}

// NewDiscoveryProcess opens all listeners and the data directory.
func NewDiscoveryProcess(cfg DiscoveryConfig) (*DiscoveryProcess, error) {
	s := cfg.Settings
	if s.MemoryLimitMiB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimitMiB) * heapMemoryRatio * (1 << 20)))
	}
	debug.SetGCPercent(discoveryGCPercent)
	roles := sycamorevane.NewSet[string]()
	if s.Entry != nil {
		roles.Add(sycamorevane.RoleEntry)
	}
	if s.Control != nil {
		roles.Add(sycamorevane.RoleControl)
	}
	cfg.Log = cfg.Log.WithValues("host", s.Name)
	selector := newControlSelector(s.MeshAddr())
	var p *DiscoveryProcess
	skipHandshakeLimit := func(host string) bool { return p.isControl(host) }
	mesh, err := messenger.New(messenger.Config{
		Self: s.MeshAddr(), DC: s.DC, Roles: roles, ListenAddr: s.MeshAddr(), ClusterKey: s.Key, Relays: selector.relays, SkipHandshakeLimit: skipHandshakeLimit, Log: cfg.Log,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	p = &DiscoveryProcess{
		cfg: cfg, mesh: mesh, selector: selector, metrics: recorder.NewMetrics(s.Name), features: cfg.Adapter.Features(s.Contracts),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if s.Control != nil {
		if p.control, err = newDiscoveryControl(p); err != nil {
			return nil, errors.Annotate(err, "control role")
		}
	}
	if s.Entry != nil {
		if p.entry, err = newDiscoveryEntry(p); err != nil {
			return nil, errors.Annotate(err, "entry role")
		}
	}
	return p, nil
}

// Start connects to control hosts, starts the roles and serves requests.
func (p *DiscoveryProcess) Start() error {
	p.mesh.Start()
	p.startedAt = time.Now()
	p.updateSessions()
	if p.control != nil {
		if err := p.control.start(); err != nil {
			return errors.Trace(err)
		}
	}
	if p.entry != nil {
		p.entry.start()
	}
	p.serveMetrics()
	p.wg.Go(p.sessionLoop)
	p.cfg.Log.Info("process started", "mesh", p.mesh.Addr(), "seeds", p.cfg.Settings.Seeds, "first", p.cfg.Settings.FirstStart)
	return nil
}

// serveMetrics serves the metrics if a port is configured. A failure is only logged, since callers can be served without
// metrics.
func (p *DiscoveryProcess) serveMetrics() {
	port := p.cfg.Settings.MetricsPort
	if port == 0 {
		return
	}
	l, err := net.Listen("tcp", net.JoinHostPort(p.cfg.Settings.IPAddr, strconv.Itoa(port)))
	if err != nil {
		p.cfg.Log.Error(err, "metrics are not served", "port", port)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metrics)
	p.metricsServer = p.serveHTTP(l, mux)
}

// Stop shuts down gracefully. The end of ctx is the forced end of the process; requests that still run closingTime before
// are aborted.
func (p *DiscoveryProcess) Stop(ctx context.Context) {
	p.cfg.Log.Info("process stops")
	reserve := closingTime
	if p.control != nil {
		reserve += handOverTime
	}
	ctx, cancel := withEarlierEnd(ctx, reserve)
	defer cancel()
	if p.entry != nil {
		p.entry.stop(ctx)
	}
	if p.control != nil {
		p.control.stop(ctx)
	}
	p.cancel()
	if p.metricsServer != nil {
		_ = p.metricsServer.Close()
	}
	p.mesh.Close()
	p.wg.Wait()
	_ = p.metrics.Close()
	p.cfg.Log.Info("process stopped")
}

// withEarlierEnd returns a context that ends the given time before ctx does.
func withEarlierEnd(ctx context.Context, reserve time.Duration) (context.Context, context.CancelFunc) {
	end, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, end.Add(-reserve))
}

// seeds returns the seeds. It reads the settings again, since they may change without a signal.
func (p *DiscoveryProcess) seeds() []string {
	s, err := p.cfg.Reload()
	if err != nil {
		p.cfg.Log.Info("settings could not be reloaded, using the previous ones", "reason", err.Error())
		s = p.cfg.Settings
	}
	return s.SeedMeshAddrs()
}

func (p *DiscoveryProcess) sessionLoop() {
	t := time.NewTicker(sessionCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.updateSessions()
		case <-p.ctx.Done():
			return
		}
	}
}

// updateSessions opens sessions with the control hosts that this process needs and, while none of them is reached, with the
// seeds. It ends sessions that are no longer needed.
func (p *DiscoveryProcess) updateSessions() {
	if p.control == nil && p.cfg.Settings.FirstStart && time.Since(p.startedAt) < firstContactDelay {
		return
	}
	alive := p.aliveControls()
	names := p.controlHosts()
	if p.control == nil {
		names = p.selector.selectTargets(time.Now(), names, alive)
	}
	wanted := sycamorevane.NewSet(names...)
	if p.control != nil {
		for _, name := range p.control.hostsToJoin() {
			wanted.Add(name)
		}
	}
	if p.entry != nil && p.control == nil {
		for _, name := range p.entry.schedulingHosts() {
			wanted.Add(name)
		}
	}
	delay := p.connectDelay
	if !slices.ContainsFunc(names, alive.Has) {
		delay = p.addSeeds(wanted, alive)
	}
	delete(wanted, p.mesh.Self())
	for _, name := range p.schedule.dueHosts(time.Now(), wanted, delay) {
		if p.control == nil && len(alive) == 0 && p.mesh.HandshakePending() {
			break // The host being dialled may be busy with the handshakes of all entries. Don't add load to the next one.
		}
		p.mesh.Connect(name, "", name)
	}
	removeOthers := p.control != nil || p.selector.hasEnoughSessions(alive)
	for _, peer := range p.mesh.Peers() {
		if peer.Addr != "" && !wanted.Has(peer.Name) && (removeOthers || !peer.Alive) {
			p.mesh.RemovePeer(peer.Name)
		}
	}
}

// connectDelay returns the delay before a session with a control host is opened. A session costs a small host some
// milliseconds, and after a power failure all entries connect at once, so entries delay it by a random time. An entry
// connects to its preferred control host without delay.
func (p *DiscoveryProcess) connectDelay(name string) time.Duration {
	if p.control != nil || name == p.selector.preferred() {
		return 0
	}
	return time.Duration(rand.Float64() * float64(connectSpread))
}

// addSeeds adds the seeds to the wanted hosts if no control host is reached, and returns the function that gives the
// delay before a host is dialled. An entry dials the seeds one after the other, since the first sessions of all entries
// go to these few hosts.
func (p *DiscoveryProcess) addSeeds(wanted, alive sycamorevane.Set[string]) func(string) time.Duration {
	if p.control == nil && len(alive) > 0 {
		return p.connectDelay
	}
	seeds := p.seeds()
	for _, name := range seeds {
		wanted.Add(name)
	}
	ranked := placer.TopHosts(p.mesh.Self(), seeds, len(seeds))
	return func(name string) time.Duration {
		if i := slices.Index(ranked, name); i > 0 && p.control == nil {
			return time.Duration(i) * seedDialDelay
		}
		return 0
	}
}

// isControl reports whether host is the address of a known control host. Before the first contact these are the seeds.
func (p *DiscoveryProcess) isControl(host string) bool {
	names := p.controlHosts()
	if len(names) == 0 {
		names = p.cfg.Settings.SeedMeshAddrs()
	}
	return slices.ContainsFunc(names, func(name string) bool {
		addr, _, _ := net.SplitHostPort(name)
		return addr == host
	})
}

// aliveControls returns the control hosts with a working session.
func (p *DiscoveryProcess) aliveControls() sycamorevane.Set[string] {
	alive := sycamorevane.NewSet[string]()
	for _, peer := range p.mesh.Peers() {
		if peer.Alive && peer.Roles.Has(sycamorevane.RoleControl) {
			alive.Add(peer.Name)
		}
	}
	return alive
}

// controlHosts returns the known control hosts.
func (p *DiscoveryProcess) controlHosts() []string {
	if p.control != nil {
		return p.control.members()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.members)
}

// setInitialMembers sets the members unless some are known. It is used for members that are reported by a control host
// without contact with a leader, and that may therefore be outdated.
func (p *DiscoveryProcess) setInitialMembers(members []string) {
	if len(p.controlHosts()) == 0 {
		p.setMembers(members)
	}
}

func (p *DiscoveryProcess) setMembers(members []string) {
	if len(members) == 0 {
		return
	}
	p.mu.Lock()
	changed := !slices.Equal(p.members, members)
	p.members = members
	p.mu.Unlock()
	if changed {
		p.cfg.Log.Info("control hosts changed", "members", members)
	}
}

// serveHTTP starts an HTTP server with the default time limits. The caller has to close it.
func (p *DiscoveryProcess) serveHTTP(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnContext: inspector.ConnContext,
	}
	p.wg.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.cfg.Log.Error(err, "listener ended", "addr", l.Addr().String())
		}
	})
	return server
}
