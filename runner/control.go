package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/adopter"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/authenticator"
	"sycamorevane.example/sycamorevane/commander"
	"sycamorevane.example/sycamorevane/persister"
	"sycamorevane.example/sycamorevane/promoter"
	"sycamorevane.example/sycamorevane/publisher"
	"sycamorevane.example/sycamorevane/querier"
	"sycamorevane.example/sycamorevane/renderer"
	"sycamorevane.example/sycamorevane/replicator"
	"sycamorevane.example/sycamorevane/viewer"
)

const (
	streamShutdown = time.Second
	operatorRead   = 30 * time.Second
	adoptInterval  = time.Second
)

// control is the role that keeps the replicated state and serves operators.
type control struct {
	p        *Process
	store    *persister.Store
	machine  *applier.Machine
	repl     *replicator.Replicator
	pub      *publisher.Publisher
	view     *viewer.Viewer
	promote  *promoter.Promoter
	query    *querier.Querier
	operator *listener
	ctx      context.Context
	cancel   context.CancelFunc
	started  bool
}

func newControl(p *Process) (*control, error) {
	c := &control{p: p, machine: applier.New()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	s := p.cfg.Settings
	var err error
	if c.store, err = persister.Open(persister.Config{Dir: s.Control.DataDir}); err != nil {
		return nil, errors.Trace(err)
	}
	c.repl = replicator.New(replicator.Config{
		Self: s.Name, Transport: p.mesh, Store: c.store, StateMachine: c.machine, BootstrapVoters: c.bootstrap(),
		Log: p.cfg.Log, Metrics: p.metrics,
	})
	c.pub = publisher.New(publisher.Config{
		Transport: p.mesh, State: c.machine.State, Log: p.cfg.Log, IsPushing: c.leads,
		ReadBarrier: func(ctx context.Context) error { _, err := c.repl.ReadIndex(ctx); return err },
	})
	c.view = viewer.New(viewer.Config{
		Transport: p.mesh, StateMachine: c.machine, CurrentLeader: c.repl.Leader, ControlStatus: c.controls, Log: p.cfg.Log,
	})
	c.promote = promoter.New(promoter.Config{
		Transport: p.mesh, Clock: processClock, Log: p.cfg.Log,
		IsLeader: func() bool { self, _ := c.leads(); return self },
		State:    func() sycamorevane.State { return *c.machine.State() },
		Capacity: c.capacity, Submit: c.submit,
	})
	return c, c.listen()
}

// bootstrap lists the first voters; a host that replaces another waits to be added instead.
func (c *control) bootstrap() []string {
	s := c.p.cfg.Settings
	if s.Control.Join {
		return nil
	}
	var names []string
	for _, contact := range s.ControlHosts {
		names = append(names, contact.Name)
	}
	return names
}

func (c *control) listen() error {
	s := c.p.cfg.Settings
	digests := make(map[string]string, len(s.Control.Operators))
	for who, digest := range s.Control.Operators {
		digests[digest] = who
	}
	auth, err := authenticator.New(digests, c.p.cfg.Log)
	if err != nil {
		return errors.Trace(err)
	}
	mux := http.NewServeMux()
	commander.New(commander.Config{
		Machine: c.machine, Proposer: c.repl, Reader: c.repl, Cluster: c, Replacer: c.repl, Auth: auth,
		Clock: processClock, Log: c.p.cfg.Log, MinEvidenceTime: promoter.MinEvidenceTime,
	}).Register(mux)
	c.query = querier.New(querier.Config{
		Machine: c.machine, Reader: c.repl, Cluster: c, Auth: auth, Metrics: c.p.metrics, Clock: processClock, Log: c.p.cfg.Log,
	})
	c.query.Register(mux)
	c.operator, err = listen(s.Control.OperatorAddr, mux, maxOperators)
	if err != nil {
		return errors.Annotate(err, "operator listener")
	}
	c.operator.server.ReadTimeout = operatorRead
	return nil
}

func (c *control) start() error {
	if err := c.repl.Start(); err != nil {
		return errors.Annotate(err, "replicated log")
	}
	c.started = true
	c.pub.Start()
	c.view.Start()
	c.promote.Start()
	c.p.wg.Go(c.follow)
	c.p.wg.Go(c.adoptLoop)
	c.operator.serve(c.p)
	return nil
}

// follow reacts to each applied change.
func (c *control) follow() {
	version := uint64(0)
	for {
		select {
		case <-c.repl.AppliedUpdates():
		case <-c.ctx.Done():
			return
		}
		st := c.machine.State()
		if st.Version == version {
			continue
		}
		version = st.Version
		c.p.meshWith(st)
		c.pub.PushNow()
	}
}

// adoptLoop records the serving versions while this host leads.
func (c *control) adoptLoop() {
	t := time.NewTicker(adoptInterval)
	defer t.Stop()
	core := adopter.NewCore()
	for {
		select {
		case <-t.C:
		case <-c.ctx.Done():
			return
		}
		view := c.view.View()
		if self, _ := c.leads(); !self || view == nil || view.Stale(time.Now()) || !view.HasReports() {
			core = adopter.NewCore() // What was missing under another leader may be back.
			continue
		}
		for _, change := range core.Decide(time.Now(), c.machine.State(), view.AnnouncedSlots) {
			err := c.propose(c.ctx, applier.Command{
				Op: applier.OpServe, Actor: "adopter", AcceptedAt: processClock.Now().UnixMilli(),
				Args: applier.Args{Service: change.Service, ToVersion: change.ToVersion, Counterpart: change.FromVersion},
			})
			if err != nil {
				c.p.cfg.Log.Info("serving version not recorded", "service", change.Service, "version", change.ToVersion, "reason", err.Error())
			}
		}
	}
}

func (c *control) leads() (bool, uint64) {
	_, self, term := c.repl.Leader()
	return self, term
}

// Leader implements querier.Cluster.
func (c *control) Leader() string {
	name, _, _ := c.repl.Leader()
	return name
}

// CountAcknowledged implements commander.Cluster.
func (c *control) CountAcknowledged(version uint64) (have, total int) {
	return c.pub.CountAcknowledged(version)
}

// View implements commander.Cluster and querier.Cluster.
func (c *control) View() *renderer.View { return c.view.View() }

// Members implements querier.Cluster.
func (c *control) Members() []renderer.Control { return c.controls() }

func (c *control) controls() []renderer.Control {
	alive := sycamorevane.NewSet(c.p.mesh.Self())
	dcs := map[string]string{c.p.mesh.Self(): c.p.cfg.Settings.DC}
	for _, peer := range c.p.mesh.Peers() {
		dcs[peer.Name] = peer.DC
		if peer.Alive {
			alive.Add(peer.Name)
		}
	}
	leader := c.Leader()
	var list []renderer.Control
	for _, m := range c.repl.Members() {
		list = append(list, renderer.Control{Name: m.Name, DC: dcs[m.Name], Role: role(m, leader), Alive: alive.Has(m.Name)})
	}
	return list
}

func role(m replicator.Member, leader string) string {
	switch {
	case !m.Voter:
		return "learner"
	case m.Name == leader:
		return "leader"
	}
	return "voter"
}

// capacity tells the promoter what the latest view knows about the versions under rollout.
func (c *control) capacity() map[string]promoter.Capacity {
	view := c.view.View()
	if view == nil || view.Stale(time.Now()) {
		return nil
	}
	rollouts := c.machine.State().Rollouts
	list := make(map[string]promoter.Capacity)
	for _, s := range view.Services {
		r, ok := rollouts[s.Name]
		if ok {
			list[s.Name] = promoter.Capacity{Old: versionCapacity(s, r.FromVersion), New: versionCapacity(s, r.ToVersion)}
		}
	}
	return list
}

func versionCapacity(s renderer.Service, version string) promoter.VersionCapacity {
	var v promoter.VersionCapacity
	for _, dc := range s.DCs {
		for _, srv := range dc.Servers {
			if srv.Version != version || srv.State == renderer.StateDraining || srv.State == renderer.StateDrained {
				continue
			}
			v.Servers++
			v.Running += srv.BusySlots
			v.Slots += srv.UsableSlots
			if srv.Warm {
				v.Warm++
			}
		}
	}
	return v
}

// submit records a rollout decision in the replicated log.
func (c *control) submit(ctx context.Context, service string, step promoter.Step) error {
	return c.propose(ctx, applier.Command{
		Op: applier.OpStep, Actor: "promoter", AcceptedAt: processClock.Now().UnixMilli(),
		Args: stepArgs(service, step),
	})
}

func stepArgs(service string, step promoter.Step) applier.Args {
	args := applier.Args{Service: service, Step: &applier.Step{
		Rollout: step.ID, FromPhase: step.FromPhase, Phase: step.Phase, Share: step.Share, Reason: step.Reason, DeadlineAtRisk: step.DeadlineAtRisk,
	}}
	if step.Raises() {
		args.Step.FromShare = &step.FromShare // Steps down, reverts among them, may always be taken.
	}
	return args
}

func (c *control) propose(ctx context.Context, cmd applier.Command) error {
	data, err := applier.Encode(cmd)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.repl.Propose(ctx, data)
	return errors.Trace(err)
}

func (c *control) stop(ctx context.Context) {
	c.query.Close() // Streams never end by themselves.
	ctx, cancel := context.WithTimeout(ctx, streamShutdown)
	defer cancel()
	_ = c.operator.shutdown(ctx)
	c.closeParts()
}

func (c *control) kill() {
	c.operator.kill()
	c.query.Close()
	c.closeParts()
}

func (c *control) closeParts() {
	c.cancel()
	c.promote.Close()
	c.view.Close()
	c.pub.Close()
	if c.started {
		c.repl.Close()
	}
	_ = c.store.Close()
}
