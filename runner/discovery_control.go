package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/accountant"
	"sycamorevane.example/sycamorevane/administrator"
	"sycamorevane.example/sycamorevane/adopter"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/cataloger"
	"sycamorevane.example/sycamorevane/coordinator"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/persister"
	"sycamorevane.example/sycamorevane/promoter"
	"sycamorevane.example/sycamorevane/publisher"
	"sycamorevane.example/sycamorevane/quarantiner"
	"sycamorevane.example/sycamorevane/replicator"
	"sycamorevane.example/sycamorevane/resolver"
)

const (
	// joinInterval is how often a host that is not a member of the control group, or is cut off from it, asks to join.
	joinInterval = 500 * time.Millisecond
	joinTimeout  = 400 * time.Millisecond
	// joinRetryInterval is how often it asks again a host with which no session is open yet, or which is making another change.
	joinRetryInterval = 20 * time.Millisecond
	// memberRemovalTimeout is how long a control host must be unresponsive before it is removed from the group, so that
	// it no longer counts towards the majority. It joins again when it is back. The timeout is longer than the
	// disruptions that hosts survive. A host that joins takes the place of an unresponsive one earlier.
	memberRemovalTimeout = 12 * time.Second
	// contactCheckInterval is how often a control host checks for entries that have just started and for a changed leader.
	contactCheckInterval = 100 * time.Millisecond
	// startupReportPeriod is how long after its start a control host accepts reports of servers without knowing a leader.
	startupReportPeriod = 3 * time.Second
	// minRemainingVoters is the smallest number of voters that a removal may leave: with fewer, the loss of one more host
	// would end control.
	minRemainingVoters = 3
	// maxDirectoryAddrs limits the addresses in a response of the directory.
	maxDirectoryAddrs = 64
	// finalCommitTime is how long a control host that stops waits for the commits of its own decisions. It is a part of
	// handOverTime.
	finalCommitTime = 200 * time.Millisecond
	// maxDirectoryAge is how long the directory may reuse its list of entries, since a small control host answers
	// hundreds of callers a second.
	maxDirectoryAge = 50 * time.Millisecond
)

// discoveryControl is the control role of a DiscoveryProcess.
type discoveryControl struct {
	p             *DiscoveryProcess
	stateMachine  *applier.Machine
	replicator    *replicator.Replicator
	publisher     *publisher.Publisher
	catalog       *cataloger.ControlCatalog
	administrator *administrator.Administrator
	promoter      *promoter.Promoter
	quarantiner   *quarantiner.Collector
	// accountant is nil in a deployment without usage reports.
	accountant *accountant.Accountant
	// coordinator and prober are nil without shared placement.
	coordinator       *coordinator.Coordinator
	prober            *coordinator.Prober
	directory         *resolver.Directory
	reads             readCoalescer
	apiListener       net.Listener
	directoryListener net.Listener
	servers           []*http.Server
	replicating       atomic.Bool
	startedAt         time.Time
	// proposals ends when this host stops; the commits of its own decisions end with it.
	proposals      context.Context
	stopProposals  context.CancelFunc
	formingMembers memberList
	// joinHosts are the hosts that join asks; nil while this host is a member that knows a leader.
	joinHosts atomic.Pointer[[]string]
}

func newDiscoveryControl(p *DiscoveryProcess) (*discoveryControl, error) {
	c := &discoveryControl{p: p, stateMachine: applier.New(), startedAt: time.Now()}
	c.proposals, c.stopProposals = context.WithCancel(p.ctx)
	s := p.cfg.Settings
	if s.FirstStart {
		c.formingMembers.startedAt = c.startedAt
	}
	openStore := func() (sycamorevane.Store, error) { return persister.Open(persister.Config{Dir: s.Control.DataDir}) }
	store, err := openStore()
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.replicator = replicator.New(replicator.Config{
		Self: p.mesh.Self(), Transport: p.mesh, Store: store, StateMachine: c.stateMachine,
		BootstrapVoters: c.bootstrapVoters(), ReopenStore: openStore, Log: p.cfg.Log, Metrics: p.metrics,
		Removal: replicator.RemovalPolicy{Silence: memberRemovalTimeout, MinVoters: max(minRemainingVoters, 2*s.Bounds.LostHosts+1)},
	})
	c.reads.read = func(ctx context.Context) error {
		_, err := c.replicator.ReadIndex(ctx)
		return err
	}
	c.directory = resolver.NewDirectory(resolver.DirectoryConfig{
		Transport: p.mesh, MaxAddresses: maxDirectoryAddrs, ControlHosts: c.otherMembers, MaxListAge: maxDirectoryAge,
		OnLimits: func(list []*encoder.ServerLimit, age time.Duration) { c.catalog.MergeLimits(list, age) },
	})
	c.administrator = administrator.New(administrator.Config{
		State: c.stateMachine.State, AppliedIndex: c.stateMachine.Index, CallerWaits: callerWaits,
		Propose: c.replicator.Propose, ReadBarrier: c.readBarrier, Versions: c.announcedSlots,
		Policy: administrator.NewPolicy(s.Bounds.RetryRatio, s.Bounds.MaxTrialShare),
		Clock:  processClock, Log: p.cfg.Log,
	})
	c.catalog = cataloger.NewControlCatalog(cataloger.ControlCatalogConfig{
		Transport: p.mesh, Epoch: p.mesh.Incarnation(), ControlHosts: c.otherMembers, FollowingEntries: c.catalogFollowers,
		IsLeader:         func() bool { self, _ := c.isLeader(); return self },
		HasLeaderContact: c.acceptsReports, NamesService: c.namesService,
		EndCommitted: c.administrator.LeavingRecorded, CommitEnd: c.administrator.RecordLeaving, CallerWaits: callerWaits,
		OnRemoved: c.forgetServers, ReportInterval: s.Bounds.HeartbeatInterval,
		File: cataloger.File{Path: filepath.Join(s.Control.DataDir, "catalog")}, Log: p.cfg.Log,
	})
	c.publisher = publisher.New(publisher.Config{
		Transport: p.mesh, State: c.stateMachine.State, IsPushing: c.leaderContact, NotifyDetached: true,
		ReadBarrier: c.readBarrier, Entries: c.connectedEntries, ServesEntry: c.directory.Follows, AddFields: c.completePush,
		IsServable: func(st *sycamorevane.State) bool { return st.Config.SequenceNumber > 0 }, Log: p.cfg.Log,
	})
	c.promoter = promoter.New(promoter.Config{
		Transport: p.mesh, Clock: processClock, Log: p.cfg.Log,
		IsLeader: func() bool { self, _ := c.isLeader(); return self },
		State:    func() sycamorevane.State { return *c.stateMachine.State() },
		Capacity: c.capacity, Submit: c.submit,
		Exposure: promoter.ExposureLimit{Share: s.Bounds.MaxTrialShare, Calls: s.Bounds.TrialSlack},
	})
	c.quarantiner = quarantiner.NewCollector(quarantiner.CollectorConfig{
		Transport:   p.mesh,
		IsLeader:    func() bool { self, _ := c.isLeader(); return self },
		Quarantined: func() map[string]int64 { return c.stateMachine.State().Quarantined },
		Submit: func(quarantined, released []string) error {
			return c.propose(applier.OpQuarantine, applier.Args{Quarantined: quarantined, Released: released})
		},
		Log: p.cfg.Log, Metrics: p.metrics,
	})
	c.accountant = c.newAccountant()
	if p.features.SharedPlacement {
		c.coordinator = newCoordinator(c)
	}
	if c.apiListener, err = net.Listen("tcp", s.Control.OperatorAddr); err != nil {
		return nil, errors.Annotate(err, "control listener")
	}
	if c.directoryListener, err = net.Listen("tcp", s.Control.DirectoryAddr); err != nil {
		return nil, errors.Annotate(err, "directory listener")
	}
	return c, nil
}

// bootstrapVoters returns the initial voters on a host that is one of them. These are the seeds, which are the same on all
// hosts at the first start. Other hosts join later.
func (c *discoveryControl) bootstrapVoters() []string {
	seeds := c.p.cfg.Settings.SeedMeshAddrs()
	if !c.p.cfg.Settings.FirstStart || !slices.Contains(seeds, c.p.mesh.Self()) {
		return nil
	}
	return seeds
}

func (c *discoveryControl) start() error {
	if err := c.replicator.Start(); err != nil {
		return errors.Annotate(err, "replicated log")
	}
	c.replicating.Store(true)
	c.directory.Start()
	c.catalog.Start()
	c.publisher.Start()
	c.promoter.Start()
	c.quarantiner.Start()
	if c.accountant != nil {
		c.accountant.Start()
	}
	if c.coordinator != nil {
		c.coordinator.Start()
	}
	c.p.wg.Go(c.watchState)
	c.p.wg.Go(c.contactPushLoop)
	c.p.wg.Go(c.adoptLoop)
	c.p.wg.Go(c.membershipLoop)
	adapter, s := c.p.cfg.Adapter, c.p.cfg.Settings
	api := adapter.Control(ControlServices{Administrator: c.administrator, Catalog: c.catalog, DCs: s.DCs})
	lookup := adapter.Directory(c.directory.Addresses, min(directoryTTL, s.Bounds.DirectoryTTL))
	c.servers = []*http.Server{c.p.serveHTTP(c.apiListener, api), c.p.serveHTTP(c.directoryListener, lookup)}
	return nil
}

func (c *discoveryControl) readBarrier(ctx context.Context) error { return c.reads.Read(ctx) }

// acceptsReports reports whether reports of servers can be expected to reach a leader: one is known, or is still being
// elected because this host has just started.
func (c *discoveryControl) acceptsReports() bool {
	name, _, _ := c.replicator.Leader()
	return name != "" || time.Since(c.startedAt) < startupReportPeriod
}

func (c *discoveryControl) isLeader() (bool, uint64) {
	_, self, term := c.replicator.Leader()
	return self, term
}

// leaderContact reports whether this host is the leader or in contact with it, and the term. If so, the state applied
// here is at most one heartbeat interval old.
func (c *discoveryControl) leaderContact() (bool, uint64) {
	name, _, term := c.replicator.Leader()
	return name != "", term
}

// members returns the names of the control group's members. It is empty on a host that has not joined yet.
func (c *discoveryControl) members() []string {
	var names []string
	for _, m := range c.replicator.Members() {
		names = append(names, m.Name)
	}
	return names
}

func (c *discoveryControl) otherMembers() []string {
	return slices.DeleteFunc(c.members(), func(name string) bool { return name == c.p.mesh.Self() })
}

// connectedEntries returns the entries that have a session with this host.
func (c *discoveryControl) connectedEntries() []string {
	var names []string
	for _, peer := range c.p.mesh.Peers() {
		if peer.Alive && peer.Roles.Has(sycamorevane.RoleEntry) {
			names = append(names, peer.Name)
		}
	}
	return names
}

// catalogFollowers returns the entries that receive the catalog from this host.
func (c *discoveryControl) catalogFollowers() []string {
	return slices.DeleteFunc(c.connectedEntries(), func(name string) bool { return !c.directory.Follows(name) })
}

// completePush returns a function that adds to a push what the receiving entry cannot know by itself. Only the rank differs
// between entries; everything else is computed once.
func (c *discoveryControl) completePush() func(m *encoder.StatePush, entry string) {
	names, members := c.directory.Names(), c.formingMembers.settled(time.Now(), c.members())
	leader, _, _ := c.replicator.Leader()
	epoch, revision := c.catalog.Revision()
	addNearby := c.addNearby(c.members())
	return func(m *encoder.StatePush, entry string) {
		m.Leader = leader
		rank, entries := c.directory.Rank(names, entry)
		m.Rank, m.Entries = uint32(rank), uint32(entries)
		m.Members, m.Epoch, m.Revision = members, epoch, revision
		addNearby(m, entry)
	}
}

func (c *discoveryControl) namesService(service string) bool {
	return c.stateMachine.State().Config.Service(service) != nil
}

func (c *discoveryControl) endCommitted(id string) bool {
	_, ok := c.stateMachine.State().DrainedServers[id]
	return ok
}

// forgetServers removes the drain records of servers that are no longer in the catalog.
func (c *discoveryControl) forgetServers(ids []string) {
	recorded := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !c.endCommitted(id) })
	if len(recorded) == 0 {
		return
	}
	c.p.wg.Go(func() {
		c.logFailure("drain records not removed", c.propose(applier.OpForget, applier.Args{RemovedServers: recorded}))
	})
}

func (c *discoveryControl) logFailure(msg string, err error) {
	if err != nil {
		c.p.cfg.Log.Info(msg, "reason", err.Error())
	}
}

func (c *discoveryControl) propose(op string, args applier.Args) error {
	data, err := applier.Encode(applier.Command{Op: op, Actor: c.p.mesh.Self(), AcceptedAt: processClock.Now().UnixMilli(), Args: args})
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(c.proposals, time.Second)
	defer cancel()
	_, err = c.replicator.Propose(ctx, data)
	return errors.Trace(err)
}

// watchState pushes the state to entries whenever a command has changed it.
func (c *discoveryControl) watchState() {
	version := uint64(0)
	for {
		select {
		case <-c.replicator.AppliedUpdates():
		case <-c.p.ctx.Done():
			return
		}
		if st := c.stateMachine.State(); st.Version != version {
			version = st.Version
			c.publisher.PushNow()
		}
	}
}

// contactPushLoop triggers a push to entries when one of them has just started, or when this host gains or loses
// contact with a leader: an entry cannot serve requests before it has received the catalog.
func (c *discoveryControl) contactPushLoop() {
	t := time.NewTicker(contactCheckInterval)
	defer t.Stop()
	pushedTo := make(map[string]uint64)
	lastContact, lastTerm := false, uint64(0)
	for {
		select {
		case <-t.C:
		case <-c.p.ctx.Done():
			return
		}
		contact, term := c.leaderContact()
		push := contact != lastContact || term != lastTerm
		lastContact, lastTerm = contact, term
		for _, peer := range c.p.mesh.Peers() {
			if peer.Alive && peer.Roles.Has(sycamorevane.RoleEntry) && pushedTo[peer.Name] != peer.Incarnation {
				pushedTo[peer.Name] = peer.Incarnation
				push = true
			}
		}
		if push {
			c.publisher.PushNow()
		}
	}
}

// announcedSlots returns the announced slots per version of a service, without servers that are leaving.
func (c *discoveryControl) announcedSlots(service string) map[string]int {
	slots := make(map[string]int)
	for _, record := range c.catalog.All() {
		if record.Server.Service == service && !record.Leaving() && !record.LeaseExpired {
			slots[record.Server.Version] += record.Server.Slots
		}
	}
	return slots
}

// adoptLoop records the serving versions while this host is the leader.
func (c *discoveryControl) adoptLoop() {
	t := time.NewTicker(adoptInterval)
	defer t.Stop()
	core := adopter.NewCore()
	for {
		select {
		case <-t.C:
		case <-c.p.ctx.Done():
			return
		}
		if self, _ := c.isLeader(); !self {
			core = adopter.NewCore()
			continue
		}
		for _, change := range core.Decide(time.Now(), c.stateMachine.State(), c.announcedSlots) {
			err := c.propose(applier.OpServe, applier.Args{Service: change.Service, ToVersion: change.ToVersion, Counterpart: change.FromVersion})
			c.logFailure("serving version not recorded", err)
		}
	}
}

// capacity returns the capacity of the old and new versions under rollout according to the catalog.
func (c *discoveryControl) capacity() map[string]promoter.Capacity {
	now := time.Now()
	capacities := make(map[string]promoter.Capacity)
	rollouts := c.stateMachine.State().Rollouts
	for _, record := range c.catalog.All() {
		r, ok := rollouts[record.Server.Service]
		if !ok || record.Leaving() || record.LeaseExpired {
			continue
		}
		pair := capacities[record.Server.Service]
		v := &pair.Old
		switch record.Server.Version {
		case r.ToVersion:
			v = &pair.New
		case r.FromVersion:
		default:
			continue
		}
		v.Servers++
		v.Slots += record.Server.Slots
		if !now.Before(record.ColdUntil) {
			v.Warm++
		}
		capacities[record.Server.Service] = pair
	}
	for service, pair := range capacities {
		pair.Old.Running = c.directory.Running(service, rollouts[service].FromVersion)
		pair.New.Running = c.directory.Running(service, rollouts[service].ToVersion)
		capacities[service] = pair
	}
	return capacities
}

// submit records a rollout decision in the replicated log.
func (c *discoveryControl) submit(_ context.Context, service string, step promoter.Step) error {
	return c.propose(applier.OpStep, stepArgs(service, step))
}

// membershipLoop keeps this host in the control group.
func (c *discoveryControl) membershipLoop() {
	t := time.NewTicker(joinInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-c.p.ctx.Done():
			return
		}
		name, self, _ := c.replicator.Leader()
		if !self && (name == "" || !slices.Contains(c.members(), c.p.mesh.Self())) {
			c.join()
			continue
		}
		c.joinHosts.Store(nil)
	}
}

// hostsToJoin returns the hosts that this host asks to add it to the control group.
func (c *discoveryControl) hostsToJoin() []string {
	if hosts := c.joinHosts.Load(); hosts != nil {
		return *hosts
	}
	return nil
}

// join asks the known control hosts, and the leaders that they name, to add this host to the control group. It keeps the sessions
// with all of them until the next round.
func (c *discoveryControl) join() {
	asked := sycamorevane.NewSet(c.p.mesh.Self())
	var hosts []string
	for names := append(c.otherMembers(), c.p.seeds()...); len(names) > 0; {
		var next []string
		for _, name := range names {
			if !asked.Has(name) {
				asked.Add(name)
				next = append(next, name)
			}
		}
		hosts = append(hosts, next...)
		wanted := append(slices.Clone(hosts), c.hostsToJoin()...)
		c.joinHosts.Store(&wanted)
		names = c.requestJoin(next)
	}
	c.joinHosts.Store(&hosts)
}

// requestJoin asks the hosts at the same time and returns the leaders that they name.
func (c *discoveryControl) requestJoin(hosts []string) []string {
	leaders := make(chan string, len(hosts))
	for _, name := range hosts {
		c.p.mesh.Connect(name, "", name)
		c.p.wg.Go(func() { leaders <- c.requestJoinFrom(name) })
	}
	var named []string
	for range hosts {
		if leader := <-leaders; leader != "" {
			named = append(named, leader)
		}
	}
	return named
}

// requestJoinFrom asks one host, once a session with it is open, and returns the leader that it names; empty for none. A leader that is
// still making another change is asked again soon: when a group is being formed, all hosts join at the same time.
func (c *discoveryControl) requestJoinFrom(name string) string {
	ctx, cancel := context.WithTimeout(c.p.ctx, joinTimeout)
	defer cancel()
	isMember := func() bool { return slices.Contains(c.members(), c.p.mesh.Self()) }
	// A host that was removed while it was cut off may still take itself for a member.
	for wasMember := isMember(); ctx.Err() == nil && (wasMember || !isMember()); {
		reply, err := c.p.mesh.Call(ctx, name, &encoder.ReplaceAsk{New: c.p.mesh.Self()})
		r, _ := reply.(*encoder.ConsensusReply)
		var unreachable *sycamorevane.UnreachableError
		switch {
		case errors.As(err, &unreachable):
			sleep(ctx, joinRetryInterval)
		case err != nil || r == nil:
			return ""
		case r.Status == encoder.ConsensusReply_NOT_LEADER:
			return r.Leader
		case r.Status == encoder.ConsensusReply_UNCERTAIN:
			sleep(ctx, joinRetryInterval+rand.N(2*joinRetryInterval))
		default:
			return ""
		}
	}
	return ""
}

func (c *discoveryControl) stop(ctx context.Context) {
	for _, s := range c.servers {
		_ = s.Shutdown(ctx)
	}
	// The components below wait for their commits, which take a second without a majority.
	time.AfterFunc(finalCommitTime, c.stopProposals)
	if c.accountant != nil {
		c.accountant.Close()
	}
	if c.coordinator != nil {
		c.coordinator.Close()
		c.prober.Close()
	}
	c.promoter.Close()
	c.quarantiner.Close()
	c.publisher.Close()
	c.catalog.Close()
	c.directory.Close()
	if c.replicating.Load() {
		c.replicator.Close()
	}
}
