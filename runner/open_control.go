package runner

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/administrator"
	"sycamorevane.example/sycamorevane/adopter"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/cataloger"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/persister"
	"sycamorevane.example/sycamorevane/promoter"
	"sycamorevane.example/sycamorevane/publisher"
	"sycamorevane.example/sycamorevane/replicator"
	"sycamorevane.example/sycamorevane/resolver"
)

const (
	// joinInterval is how often a host that is outside of the control group, or cut off from it, asks to join.
	joinInterval = 500 * time.Millisecond
	joinTimeout  = 400 * time.Millisecond
	// removeAfter is the silence after which a control host is taken out of the group, so that it does not count for
	// the majority any more; it joins again when it is back. It is longer than the disruptions that hosts survive.
	removeAfter = 12 * time.Second
	// greetInterval is how often the leader looks for entries that have just come up.
	greetInterval = 100 * time.Millisecond
	// bootTime is how long after the start a control host takes reports of servers without knowing a leader.
	bootTime = 3 * time.Second
	// minGroup is the smallest group that hosts are taken out of.
	minGroup = 3
	// directoryMax bounds the addresses in an answer of the directory.
	directoryMax = 64
	// directoryFresh is how old the directory's view of the entries may be for an answer: a small control host answers
	// hundreds of callers a second.
	directoryFresh = 50 * time.Millisecond
)

// openControl is the control role in an open deployment.
type openControl struct {
	o       *DiscoveryProcess
	machine *applier.Machine
	repl    *replicator.Replicator
	pub     *publisher.Publisher
	keeper  *cataloger.ControlCatalog
	admin   *administrator.Administrator
	promote *promoter.Promoter
	dir     *resolver.Directory
	reads   sharedReads
	api     net.Listener
	lookup  net.Listener
	servers []*http.Server
	running atomic.Bool
	started time.Time
}

func newOpenControl(o *DiscoveryProcess) (*openControl, error) {
	c := &openControl{o: o, machine: applier.New(), started: time.Now()}
	s := o.cfg.Settings
	open := func() (sycamorevane.Store, error) { return persister.Open(persister.Config{Dir: s.Control.DataDir}) }
	store, err := open()
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.repl = replicator.New(replicator.Config{
		Self: o.mesh.Self(), Transport: o.mesh, Store: store, StateMachine: c.machine,
		BootstrapVoters: c.bootstrap(), ReopenStore: open, Log: o.cfg.Log, Metrics: o.metrics,
	})
	c.reads.read = func(ctx context.Context) error {
		_, err := c.repl.ReadIndex(ctx)
		return err
	}
	c.dir = resolver.NewDirectory(resolver.DirectoryConfig{
		Transport: o.mesh, Max: directoryMax, Controls: c.others, Fresh: directoryFresh,
	})
	c.admin = administrator.New(administrator.Config{
		State: c.machine.State, Propose: c.repl.Propose, ReadBarrier: c.read, Versions: c.versions,
		Policy: administrator.NewPolicy(s.Bounds.RetryRatio, s.Bounds.MaxTrialShare),
		Clock:  processClock, Log: o.cfg.Log,
	})
	c.keeper = cataloger.NewControlCatalog(cataloger.ControlCatalogConfig{
		Transport: o.mesh, Epoch: o.mesh.Incarnation(), Controls: c.others, Entries: c.followers,
		IsLeader:         func() bool { self, _ := c.leads(); return self },
		HasLeaderContact: c.follows,
		EndCommitted:     c.left, CommitEnd: c.admin.RecordLeaving, OnRemoved: c.forgot, Interval: s.Bounds.HeartbeatInterval,
		File: cataloger.File{Path: filepath.Join(s.Control.DataDir, "catalog")}, Log: o.cfg.Log,
	})
	c.pub = publisher.New(publisher.Config{
		Transport: o.mesh, State: c.machine.State, IsPushing: c.inTouch, NotifyDetached: true, ReadBarrier: c.read, Entries: c.entries,
		ServesEntry: c.dir.Follows, AddFields: c.complete, IsServable: func(st *sycamorevane.State) bool { return st.Config.SequenceNumber > 0 }, Log: o.cfg.Log,
	})
	c.promote = promoter.New(promoter.Config{
		Transport: o.mesh, Clock: processClock, Log: o.cfg.Log,
		IsLeader: func() bool { self, _ := c.leads(); return self },
		State:    func() sycamorevane.State { return *c.machine.State() },
		Capacity: c.capacity, Submit: c.submit,
	})
	if c.api, err = net.Listen("tcp", s.Control.OperatorAddr); err != nil {
		return nil, errors.Annotate(err, "control listener")
	}
	if c.lookup, err = net.Listen("tcp", s.Control.DirectoryAddr); err != nil {
		return nil, errors.Annotate(err, "directory listener")
	}
	return c, nil
}

// bootstrap lists the first voters: the seeds, which are the same on all hosts at the first start. Other hosts join.
func (c *openControl) bootstrap() []string {
	seeds := c.o.cfg.Settings.SeedMeshAddrs()
	if !c.o.cfg.Settings.FirstStart || !slices.Contains(seeds, c.o.mesh.Self()) {
		return nil
	}
	return seeds
}

func (c *openControl) start() error {
	if err := c.repl.Start(); err != nil {
		return errors.Annotate(err, "replicated log")
	}
	c.running.Store(true)
	c.dir.Start()
	c.keeper.Start()
	c.pub.Start()
	c.promote.Start()
	c.o.wg.Go(c.follow)
	c.o.wg.Go(c.greetLoop)
	c.o.wg.Go(c.adoptLoop)
	c.o.wg.Go(c.groupLoop)
	adapter, s := c.o.cfg.Adapter, c.o.cfg.Settings
	api := adapter.Control(Control{Administrator: c.admin, Catalog: c.keeper, DCs: s.DCs})
	lookup := adapter.Directory(c.dir.Addresses, min(directoryTTL, s.Bounds.DirectoryTTL))
	c.servers = []*http.Server{c.o.serveHTTP(c.api, api), c.o.serveHTTP(c.lookup, lookup)}
	return nil
}

func (c *openControl) read(ctx context.Context) error { return c.reads.Read(ctx) }

// follows reports whether reports of servers reach a leader: the one that is known, or the one that is being elected
// just after the start.
func (c *openControl) follows() bool {
	name, _, _ := c.repl.Leader()
	return name != "" || time.Since(c.started) < bootTime
}

func (c *openControl) leads() (bool, uint64) {
	_, self, term := c.repl.Leader()
	return self, term
}

// inTouch reports whether this host is in contact with a leader, itself included, and the term. What it has applied is
// then at most a heartbeat old.
func (c *openControl) inTouch() (bool, uint64) {
	name, _, term := c.repl.Leader()
	return name != "", term
}

// members lists the control group; empty on a host that has not joined yet.
func (c *openControl) members() []string {
	var names []string
	for _, m := range c.repl.Members() {
		names = append(names, m.Name)
	}
	return names
}

func (c *openControl) others() []string {
	return slices.DeleteFunc(c.members(), func(name string) bool { return name == c.o.mesh.Self() })
}

// entries lists the entries that have a session with this host.
func (c *openControl) entries() []string {
	var names []string
	for _, p := range c.o.mesh.Peers() {
		if p.Alive && p.Roles.Has(sycamorevane.RoleEntry) {
			names = append(names, p.Name)
		}
	}
	return names
}

// followers lists the entries that take the catalog from this host.
func (c *openControl) followers() []string {
	return slices.DeleteFunc(c.entries(), func(name string) bool { return !c.dir.Follows(name) })
}

// complete adds to a push what an entry cannot know by itself. Only the rank differs from entry to entry.
func (c *openControl) complete() func(m *encoder.StatePush, entry string) {
	names, members := c.dir.Names(), c.members()
	leader, _, _ := c.repl.Leader()
	epoch, revision := c.keeper.Revision()
	return func(m *encoder.StatePush, entry string) {
		m.Leader = leader
		rank, entries := c.dir.Share(names, entry)
		m.Rank, m.Entries = uint32(rank), uint32(entries)
		m.Members, m.Epoch, m.Revision = members, epoch, revision
	}
}

func (c *openControl) left(id string) bool {
	_, ok := c.machine.State().DrainedServers[id]
	return ok
}

// forgot removes the records of servers that are not in the catalog any more.
func (c *openControl) forgot(ids []string) {
	gone := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !c.left(id) })
	if len(gone) == 0 {
		return
	}
	c.o.wg.Go(func() {
		c.log("drain records not removed", c.propose(applier.OpForget, applier.Args{RemovedServers: gone}))
	})
}

func (c *openControl) log(what string, err error) {
	if err != nil {
		c.o.cfg.Log.Info(what, "reason", err.Error())
	}
}

func (c *openControl) propose(op string, args applier.Args) error {
	data, err := applier.Encode(applier.Command{Op: op, Actor: c.o.mesh.Self(), AcceptedAt: processClock.Now().UnixMilli(), Args: args})
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(c.o.ctx, time.Second)
	defer cancel()
	_, err = c.repl.Propose(ctx, data)
	return errors.Trace(err)
}

// follow reacts to each applied change.
func (c *openControl) follow() {
	version := uint64(0)
	for {
		select {
		case <-c.repl.AppliedUpdates():
		case <-c.o.ctx.Done():
			return
		}
		if st := c.machine.State(); st.Version != version {
			version = st.Version
			c.pub.PushNow()
		}
	}
}

// greetLoop pushes at once to entries that have just come up and, when this host gets in contact with a new leader or
// loses it, to all: an entry without a catalog serves nobody.
func (c *openControl) greetLoop() {
	t := time.NewTicker(greetInterval)
	defer t.Stop()
	greeted := make(map[string]uint64)
	inTouch, term := false, uint64(0)
	for {
		select {
		case <-t.C:
		case <-c.o.ctx.Done():
			return
		}
		touch, now := c.inTouch()
		fresh := touch != inTouch || now != term
		inTouch, term = touch, now
		for _, p := range c.o.mesh.Peers() {
			if p.Alive && p.Roles.Has(sycamorevane.RoleEntry) && greeted[p.Name] != p.Incarnation {
				greeted[p.Name] = p.Incarnation
				fresh = true
			}
		}
		if fresh {
			c.pub.PushNow()
		}
	}
}

// versions returns the announced slots per version of a service, without servers that are leaving.
func (c *openControl) versions(service string) map[string]int {
	slots := make(map[string]int)
	for _, e := range c.keeper.All() {
		if e.Server.Service == service && !e.Leaving() && !e.LeaseExpired {
			slots[e.Server.Version] += e.Server.Slots
		}
	}
	return slots
}

// adoptLoop records the serving versions while this host leads.
func (c *openControl) adoptLoop() {
	t := time.NewTicker(adoptInterval)
	defer t.Stop()
	core := adopter.NewCore()
	for {
		select {
		case <-t.C:
		case <-c.o.ctx.Done():
			return
		}
		if self, _ := c.leads(); !self {
			core = adopter.NewCore()
			continue
		}
		for _, change := range core.Decide(time.Now(), c.machine.State(), c.versions) {
			err := c.propose(applier.OpServe, applier.Args{Service: change.Service, ToVersion: change.ToVersion, Counterpart: change.FromVersion})
			c.log("serving version not recorded", err)
		}
	}
}

// capacity tells the promoter what the catalog knows about the versions under rollout.
func (c *openControl) capacity() map[string]promoter.Capacity {
	now := time.Now()
	list := make(map[string]promoter.Capacity)
	rollouts := c.machine.State().Rollouts
	for _, e := range c.keeper.All() {
		r, ok := rollouts[e.Server.Service]
		if !ok || e.Leaving() || e.LeaseExpired {
			continue
		}
		known := list[e.Server.Service]
		v := &known.Old
		switch e.Server.Version {
		case r.ToVersion:
			v = &known.New
		case r.FromVersion:
		default:
			continue
		}
		v.Servers++
		v.Slots += e.Server.Slots
		if !now.Before(e.ColdUntil) {
			v.Warm++
		}
		list[e.Server.Service] = known
	}
	for service, known := range list {
		known.Old.Running = c.dir.Running(service, rollouts[service].FromVersion)
		known.New.Running = c.dir.Running(service, rollouts[service].ToVersion)
		list[service] = known
	}
	return list
}

// submit records a rollout decision in the replicated log.
func (c *openControl) submit(_ context.Context, service string, step promoter.Step) error {
	return c.propose(applier.OpStep, stepArgs(service, step))
}

// groupLoop keeps this host in the control group and, on the leader, takes hosts out that are lost.
func (c *openControl) groupLoop() {
	t := time.NewTicker(joinInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-c.o.ctx.Done():
			return
		}
		if self, _ := c.leads(); self {
			c.prune()
			continue
		}
		name, _, _ := c.repl.Leader()
		if name == "" || !slices.Contains(c.members(), c.o.mesh.Self()) {
			c.join()
		}
	}
}

// prune takes one lost host out, as long as all others answer: otherwise hosts may be lost that come back.
func (c *openControl) prune() {
	silent := c.repl.UnresponsiveMembers(removeAfter)
	if len(silent) != 1 || len(c.members())-1 < minGroup || len(c.repl.UnresponsiveMembers(time.Second)) != 1 {
		return
	}
	c.o.cfg.Log.Info("control host is taken out of the group", "peer", silent[0], "silent", removeAfter.String())
	ctx, cancel := context.WithTimeout(c.o.ctx, time.Second)
	defer cancel()
	c.log("control host not taken out", c.repl.RemoveMember(ctx, silent[0]))
}

// join asks the known control hosts, and the leader that they name, to let this host in.
func (c *openControl) join() {
	asked := sycamorevane.NewSet(c.o.mesh.Self())
	names := append(c.others(), c.o.seeds()...)
	for i := 0; i < len(names); i++ {
		if asked.Has(names[i]) {
			continue
		}
		asked.Add(names[i])
		c.o.mesh.Connect(names[i], "", names[i])
		ctx, cancel := context.WithTimeout(c.o.ctx, joinTimeout)
		reply, err := c.o.mesh.Call(ctx, names[i], &encoder.ReplaceAsk{New: c.o.mesh.Self()})
		cancel()
		if err != nil {
			continue
		}
		r, ok := reply.(*encoder.ConsensusReply)
		switch {
		case !ok:
		case r.Status == encoder.ConsensusReply_NOT_LEADER && r.Leader != "":
			names = append(names, r.Leader)
		case r.Status != encoder.ConsensusReply_NOT_LEADER:
			return
		}
	}
}

func (c *openControl) stop(ctx context.Context) {
	for _, s := range c.servers {
		_ = s.Shutdown(ctx)
	}
	c.promote.Close()
	c.pub.Close()
	c.keeper.Close()
	c.dir.Close()
	if c.running.Load() {
		c.repl.Close()
	}
}
