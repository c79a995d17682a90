// Package runner assembles one process of the system out of its roles, starts it and stops it gracefully.
package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"golang.org/x/net/netutil"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/messenger"
	"sycamorevane.example/sycamorevane/parser"
	"sycamorevane.example/sycamorevane/recorder"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	gaugeInterval = time.Second
	// Open connections per listener. Callers may be many; announcements and operators are few, and a flood of them
	// must not take the file descriptors of callers.
	maxCallers   = 20_000
	maxAnnounces = 2_000
	maxOperators = 500
)

// Config holds what a Process is built from.
type Config struct {
	Settings *parser.Settings
	Log      logr.Logger
	// Filter, when set, drops mesh messages to and from peers for which it returns false; for tests.
	Filter func(peer string) bool
}

// Process is one running process of the system.
type Process struct {
	cfg     Config
	mesh    *messenger.Messenger
	metrics *recorder.Metrics
	entry   *entry
	control *control
	wg      sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// New opens all listeners and the data folder. Nothing is served before Start.
func New(cfg Config) (*Process, error) {
	s := cfg.Settings
	roles := sycamorevane.NewSet[string]()
	if s.Entry != nil {
		roles.Add(sycamorevane.RoleEntry)
	}
	if s.Control != nil {
		roles.Add(sycamorevane.RoleControl)
	}
	cfg.Log = cfg.Log.WithValues("host", s.Name)
	metrics := recorder.NewMetrics(s.Name)
	mesh, err := messenger.New(messenger.Config{
		Metrics: metrics,
		Self:    s.Name, DC: s.DC, Roles: roles, Listen: s.MeshAddr, Key: s.Key, Log: cfg.Log, Filter: cfg.Filter,
	})
	if err != nil {
		_ = metrics.Close()
		return nil, errors.Trace(err)
	}
	p := &Process{cfg: cfg, mesh: mesh, metrics: metrics}
	if err := p.addRoles(); err != nil {
		p.Kill()
		return nil, errors.Trace(err)
	}
	return p, nil
}

func (p *Process) addRoles() error {
	var err error
	if p.cfg.Settings.Control != nil {
		if p.control, err = newControl(p); err != nil {
			return errors.Annotate(err, "control role")
		}
	}
	if p.cfg.Settings.Entry != nil {
		if p.entry, err = newEntry(p); err != nil {
			return errors.Annotate(err, "entry role")
		}
	}
	return nil
}

// Start begins to serve.
func (p *Process) Start() error {
	p.mesh.Start()
	for _, c := range p.cfg.Settings.ControlHosts {
		p.mesh.Connect(c.Name, "", c.Addr)
	}
	if p.control != nil {
		if err := p.control.start(); err != nil {
			return errors.Trace(err)
		}
	}
	if p.entry != nil {
		p.entry.start()
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wg.Go(p.gaugeLoop)
	p.cfg.Log.Info("process started", "mesh", p.mesh.Addr())
	return nil
}

// Stop is a graceful shutdown: the entry leaves the entries answer, serves one ttl longer and finishes running
// requests. It cuts what still runs when ctx ends, and then returns the context's error.
func (p *Process) Stop(ctx context.Context) error {
	var err error
	if p.entry != nil {
		err = p.entry.stop(ctx)
	}
	if p.control != nil {
		p.control.stop(ctx)
	}
	p.close()
	p.cfg.Log.Info("process stopped")
	return err
}

// Kill ends everything at once, as the death of the process would; for tests and failed starts. The mesh ends first,
// since parts that close in order hand over leadership and return leases, which a dead process cannot.
func (p *Process) Kill() {
	p.mesh.Close()
	if p.entry != nil {
		p.entry.kill()
	}
	if p.control != nil {
		p.control.kill()
	}
	p.close()
}

func (p *Process) close() {
	if p.cancel != nil {
		p.cancel()
	}
	p.mesh.Close()
	p.wg.Wait()
	_ = p.metrics.Close()
}

// State returns the state in force in the entry role, or nil.
func (p *Process) State() *sycamorevane.State {
	if p.entry == nil {
		return nil
	}
	return p.entry.sub.State()
}

// gaugeLoop exposes what the mesh carries.
func (p *Process) gaugeLoop() {
	t := time.NewTicker(gaugeInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			traffic := p.mesh.Traffic()
			p.metrics.Gauge("mesh_sent_bytes").Update(float64(traffic.Sent))
			p.metrics.Gauge("mesh_received_bytes").Update(float64(traffic.Received))
		case <-p.ctx.Done():
			return
		}
	}
}

// meshWith keeps sessions with all configured hosts and ends those with hosts that left the configuration.
func (p *Process) meshWith(st *sycamorevane.State) {
	keep := sycamorevane.NewSet[string]()
	for _, h := range st.Config.Hosts {
		keep.Add(h.Name)
		p.mesh.Connect(h.Name, h.DC, h.MeshAddr)
	}
	for _, c := range p.cfg.Settings.ControlHosts {
		keep.Add(c.Name)
	}
	for _, peer := range p.mesh.Peers() {
		if !keep.Has(peer.Name) {
			p.mesh.Forget(peer.Name)
		}
	}
}

// listener is one HTTP listener of the process.
type listener struct {
	net.Listener
	server *http.Server
}

func listen(addr string, h http.Handler, conns int) (*listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &listener{Listener: netutil.LimitListener(l, conns), server: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}}, nil
}

func (l *listener) serve(p *Process) {
	p.wg.Go(func() {
		err := l.server.Serve(l.Listener)
		if !errors.Is(err, http.ErrServerClosed) {
			p.cfg.Log.Error(err, "listener ended", "addr", l.Addr().String())
		}
	})
}

// shutdown waits for running requests until ctx ends and then cuts them.
func (l *listener) shutdown(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close()
	}
	return err
}

func (l *listener) kill() {
	if l == nil {
		return
	}
	_ = l.server.Close()
	_ = l.Listener.Close()
}
