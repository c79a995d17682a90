// Package runner builds one process of the system from its configured roles, starts it and shuts it down gracefully.
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
	// Maximum number of open connections per listener. There may be many callers, but only few announcing servers and
	// operators, whose connections must not use up the file descriptors that callers need.
	maxCallerConns   = 20_000
	maxAnnounceConns = 2_000
	maxOperatorConns = 500
)

// Config configures a Process.
type Config struct {
	Settings *parser.Settings
	Log      logr.Logger
	// Filter, if set, drops mesh messages to and from peers for which it returns false. Used by tests.
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

// New opens all listeners and the data directory. It serves no requests before Start.
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
		Self:    s.Name, DC: s.DC, Roles: roles, ListenAddr: s.MeshAddr, ClusterKey: s.Key, Log: cfg.Log, Filter: cfg.Filter,
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

// Start connects to the control hosts, starts the roles and serves requests.
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

// Stop shuts down gracefully: the entry is removed from the list of entries, keeps serving for one TTL of that list and
// completes running requests. Shortly before ctx ends, remaining requests are aborted; their error is returned.
func (p *Process) Stop(ctx context.Context) error {
	var err error
	if p.entry != nil {
		err = p.stopEntry(ctx)
	}
	if p.control != nil {
		p.control.stop(ctx)
	}
	p.close()
	p.cfg.Log.Info("process stopped")
	return err
}

// stopEntry stops the entry so early that the control role can complete the calls of operators.
func (p *Process) stopEntry(ctx context.Context) error {
	reserve := closingTime
	if p.control != nil {
		reserve += handOverTime
	}
	ctx, cancel := withEarlierEnd(ctx, reserve)
	defer cancel()
	return p.entry.stop(ctx)
}

// Kill stops the process abruptly, as a crash would. It is used by tests and after a failed start. The mesh is closed
// first: components that close while it works would hand over leadership and return leases, which a crashed process
// does not do.
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

// State returns the state that is in force in the entry role; nil without an entry role or before the first state.
func (p *Process) State() *sycamorevane.State {
	if p.entry == nil {
		return nil
	}
	return p.entry.subscriber.State()
}

// gaugeLoop updates the metrics of the mesh's traffic.
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

// connectConfiguredHosts opens sessions with all configured hosts and ends those with hosts that are no longer
// configured.
func (p *Process) connectConfiguredHosts(st *sycamorevane.State) {
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
			p.mesh.RemovePeer(peer.Name)
		}
	}
}

// listener is an HTTP listener of the process with its server.
type listener struct {
	net.Listener
	server *http.Server
}

func listen(addr string, h http.Handler, maxConns int) (*listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &listener{Listener: netutil.LimitListener(l, maxConns), server: &http.Server{
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

// shutdown waits for running requests until ctx ends and then aborts them.
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
