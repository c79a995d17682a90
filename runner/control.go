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
	streamShutdownTimeout = time.Second
	operatorReadTimeout   = 30 * time.Second
	adoptInterval         = time.Second
)

// control is the role that stores the replicated state and serves operators.
type control struct {
	p                *Process
	store            *persister.Store
	stateMachine     *applier.Machine
	replicator       *replicator.Replicator
	publisher        *publisher.Publisher
	viewer           *viewer.Viewer
	promoter         *promoter.Promoter
	querier          *querier.Querier
	operatorListener *listener
	ctx              context.Context
	cancel           context.CancelFunc
	started          bool
}

func newControl(p *Process) (*control, error) {
	c := &control{p: p, stateMachine: applier.New()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	s := p.cfg.Settings
	var err error
	if c.store, err = persister.Open(persister.Config{Dir: s.Control.DataDir}); err != nil {
		return nil, errors.Trace(err)
	}
	c.replicator = replicator.New(replicator.Config{
		Self: s.Name, Transport: p.mesh, Store: c.store, StateMachine: c.stateMachine, BootstrapVoters: c.bootstrapVoters(),
		Log: p.cfg.Log, Metrics: p.metrics,
	})
	c.publisher = publisher.New(publisher.Config{
		Transport: p.mesh, State: c.stateMachine.State, Log: p.cfg.Log, IsPushing: c.isLeader,
		ReadBarrier: func(ctx context.Context) error { _, err := c.replicator.ReadIndex(ctx); return err },
	})
	c.viewer = viewer.New(viewer.Config{
		Transport: p.mesh, StateMachine: c.stateMachine, CurrentLeader: c.replicator.Leader, ControlStatus: c.controlHosts, Log: p.cfg.Log,
	})
	c.promoter = promoter.New(promoter.Config{
		Transport: p.mesh, Clock: processClock, Log: p.cfg.Log,
		IsLeader: func() bool { self, _ := c.isLeader(); return self },
		State:    func() sycamorevane.State { return *c.stateMachine.State() },
		Capacity: c.capacity, Submit: c.submit,
	})
	return c, c.listen()
}

// bootstrapVoters returns the initial voters. A host that replaces another one gets none and waits to be added.
func (c *control) bootstrapVoters() []string {
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
	operatorsByDigest := make(map[string]string, len(s.Control.Operators))
	for operator, digest := range s.Control.Operators {
		operatorsByDigest[digest] = operator
	}
	auth, err := authenticator.New(operatorsByDigest, c.p.cfg.Log)
	if err != nil {
		return errors.Trace(err)
	}
	mux := http.NewServeMux()
	commander.New(commander.Config{
		Machine: c.stateMachine, Proposer: c.replicator, Reader: c.replicator, Cluster: c, Replacer: c.replicator, Auth: auth,
		Clock: processClock, Log: c.p.cfg.Log, MinEvidenceTime: promoter.MinEvidenceTime,
	}).Register(mux)
	c.querier = querier.New(querier.Config{
		Machine: c.stateMachine, Reader: c.replicator, Cluster: c, Auth: auth, Metrics: c.p.metrics, Clock: processClock, Log: c.p.cfg.Log,
	})
	c.querier.Register(mux)
	c.operatorListener, err = listen(s.Control.OperatorAddr, mux, maxOperatorConns)
	if err != nil {
		return errors.Annotate(err, "operator listener")
	}
	c.operatorListener.server.ReadTimeout = operatorReadTimeout
	return nil
}

func (c *control) start() error {
	if err := c.replicator.Start(); err != nil {
		return errors.Annotate(err, "replicated log")
	}
	c.started = true
	c.publisher.Start()
	c.viewer.Start()
	c.promoter.Start()
	c.p.wg.Go(c.watchState)
	c.p.wg.Go(c.adoptLoop)
	c.operatorListener.serve(c.p)
	return nil
}

// watchState updates the sessions and pushes the state to entries whenever a command has changed it.
func (c *control) watchState() {
	version := uint64(0)
	for {
		select {
		case <-c.replicator.AppliedUpdates():
		case <-c.ctx.Done():
			return
		}
		st := c.stateMachine.State()
		if st.Version == version {
			continue
		}
		version = st.Version
		c.p.connectConfiguredHosts(st)
		c.publisher.PushNow()
	}
}

// adoptLoop records the serving versions while this host is the leader.
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
		view := c.viewer.View()
		if self, _ := c.isLeader(); !self || view == nil || view.Stale(time.Now()) || !view.HasReports() {
			core = adopter.NewCore() // Versions that had no servers under another leader may have some again.
			continue
		}
		for _, change := range core.Decide(time.Now(), c.stateMachine.State(), view.AnnouncedSlots) {
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

func (c *control) isLeader() (bool, uint64) {
	_, self, term := c.replicator.Leader()
	return self, term
}

// Leader implements querier.Cluster.
func (c *control) Leader() string {
	name, _, _ := c.replicator.Leader()
	return name
}

// CountAcknowledged implements commander.Cluster.
func (c *control) CountAcknowledged(version uint64) (acknowledged, total int) {
	return c.publisher.CountAcknowledged(version)
}

// View implements commander.Cluster and querier.Cluster.
func (c *control) View() *renderer.View { return c.viewer.View() }

// Members implements querier.Cluster.
func (c *control) Members() []renderer.Control { return c.controlHosts() }

func (c *control) controlHosts() []renderer.Control {
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
	for _, m := range c.replicator.Members() {
		list = append(list, renderer.Control{Name: m.Name, DC: dcs[m.Name], Role: memberRole(m, leader), Alive: alive.Has(m.Name)})
	}
	return list
}

func memberRole(m replicator.Member, leader string) string {
	switch {
	case !m.Voter:
		return "learner"
	case m.Name == leader:
		return "leader"
	}
	return "voter"
}

// capacity returns the capacity of the old and new versions under rollout according to the latest view.
func (c *control) capacity() map[string]promoter.Capacity {
	view := c.viewer.View()
	if view == nil || view.Stale(time.Now()) {
		return nil
	}
	rollouts := c.stateMachine.State().Rollouts
	capacities := make(map[string]promoter.Capacity)
	for _, s := range view.Services {
		r, ok := rollouts[s.Name]
		if ok {
			capacities[s.Name] = promoter.Capacity{Old: versionCapacity(s, r.FromVersion), New: versionCapacity(s, r.ToVersion)}
		}
	}
	return capacities
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
		args.Step.FromShare = &step.FromShare // Lowering the share, such as by a revert, is always allowed.
	}
	return args
}

func (c *control) propose(ctx context.Context, cmd applier.Command) error {
	data, err := applier.Encode(cmd)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.replicator.Propose(ctx, data)
	return errors.Trace(err)
}

func (c *control) stop(ctx context.Context) {
	c.querier.Close() // Status streams do not end by themselves.
	ctx, cancel := context.WithTimeout(ctx, streamShutdownTimeout)
	defer cancel()
	_ = c.operatorListener.shutdown(ctx)
	c.closeComponents()
}

func (c *control) kill() {
	c.operatorListener.kill()
	c.querier.Close()
	c.closeComponents()
}

func (c *control) closeComponents() {
	c.cancel()
	c.promoter.Close()
	c.viewer.Close()
	c.publisher.Close()
	if c.started {
		c.replicator.Close()
	}
	_ = c.store.Close()
}
