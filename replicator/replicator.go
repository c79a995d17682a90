// Package replicator replicates the control log to the control hosts with the Raft consensus algorithm. The algorithm
// is in core, which uses no clock, sockets or files; Replicator drives it with a Transport, a Store and a StateMachine.
package replicator

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// TickInterval is the duration of one tick, the unit of time in core.
	TickInterval = 50 * time.Millisecond
	// defaultRequestTimeout applies to requests whose context has no deadline.
	defaultRequestTimeout = 10 * time.Second
	// readAttemptTimeout limits one attempt of a read. It is short, since a read can be retried without side effects.
	readAttemptTimeout = 500 * time.Millisecond
	// requestRetryInterval is the delay before a request is retried, for example because no leader accepted it.
	requestRetryInterval = 25 * time.Millisecond

	// storeReopenTicks is the delay before each attempt to reopen a failed store: 0.5 s.
	storeReopenTicks = 10
	// leaderTransferTicks limits how long a stopping leader waits for the vote request of its successor.
	leaderTransferTicks = 4

	inboxCapacity        = 4096
	requestQueueCapacity = 1024
	// maxRequestBatch limits how many more queued requests are handled after the first one before the store is written,
	// so that the commands among them share one write.
	maxRequestBatch = 256

	// MaxCommandBytes is the maximum size of a command's data.
	MaxCommandBytes = 8 << 20
	// A snapshot is taken when the log since the last snapshot reaches defaultSnapshotEntries entries or
	// snapshotThresholdBytes of data. This limits the size of the log in memory and on disk.
	defaultSnapshotEntries = 2048
	snapshotThresholdBytes = 4 << 20
)

// Config holds the dependencies and settings of a Replicator.
type Config struct {
	// Self is this host's name in the membership.
	Self      string
	Transport sycamorevane.Transport
	Store     sycamorevane.Store
	// StateMachine receives only commands, not membership changes or the no-op entries of new leaders.
	StateMachine sycamorevane.StateMachine
	// BootstrapVoters lists the voters of a new cluster and must be the same on all of them. It is empty on a host that
	// joins an existing cluster through Replace or AddMember, and ignored when the store is not empty.
	BootstrapVoters []string
	// ReopenStore opens the store again after a failed write, since it is unknown how much of that write was stored. If
	// it is nil, the replica takes part again only after a restart of the process.
	ReopenStore func() (sycamorevane.Store, error)
	Log         logr.Logger
	Metrics     tally.Scope
	// SnapshotEntries is the number of entries after which a snapshot is taken; zero means the default of 2048.
	SnapshotEntries uint64
	// Removal says when the leader removes members that no longer reply. It must be the same on all members.
	Removal RemovalPolicy
}

// RemovalPolicy says when the leader removes members that no longer reply. The zero value disables removal.
type RemovalPolicy struct {
	// Silence is the time without a reply after which a member is removed. It must be longer than the disruptions that
	// members are expected to survive.
	Silence time.Duration
	// MinVoters is the number of voters that must be responsive for a voter to be removed. With 2n+1 voters the log
	// survives the loss of n disks.
	MinVoters int
}

// UncertainCommitError means that it is unknown whether the command is or will be committed. Resending it with the same
// command id is safe, since the state machine applies each id only once.
type UncertainCommitError struct {
	// Leader is the host that the command was sent to.
	Leader string
	Reason string
}

func (e *UncertainCommitError) Error() string {
	return fmt.Sprintf("outcome of a command sent to control leader %q is unknown: %s", e.Leader, e.Reason)
}

// status is the state of the core that the event loop publishes to other goroutines.
type status struct {
	leader       string
	isLeader     bool
	term         uint64
	appliedIndex uint64
	failed       bool
	// recovering is true while the host does not vote because it may have lost its log; see core.recovering.
	recovering bool
	members    []Member
}

type requestKind uint8

const (
	requestPropose requestKind = iota
	requestRead
	requestReplace
)

// request is a proposal, read or membership change that another goroutine sends to the event loop.
type request struct {
	kind             requestKind
	data             []byte
	oldName, newName string
	reply            chan *encoder.ConsensusReply
}

type inboundMessage struct {
	from string
	msg  *encoder.Consensus
}

type pendingProposal struct {
	term  uint64
	reply chan *encoder.ConsensusReply
}

// Replicator is one replica of the control log.
type Replicator struct {
	cfg            Config
	core           *core
	inbox          *sycamorevane.Ring[inboundMessage]
	requests       chan *request
	ctx            context.Context
	stop           context.CancelFunc
	wg             sync.WaitGroup
	appliedUpdates chan uint64

	// The fields from here to ticksSinceReopen are used only by the event loop. The maps hold the reply channels of
	// proposals by log index and of reads by read id.
	pendingProposals map[uint64]pendingProposal
	pendingReads     map[uint64]chan *encoder.ConsensusReply
	lastReadID       uint64
	// machineIndex is the index of the last log entry that the state machine has applied or restored.
	machineIndex uint64
	// ticksSinceReopen counts ticks since the store failed or since the last attempt to reopen it.
	ticksSinceReopen int

	mu     sync.Mutex
	status status
	// statusChanged is closed and replaced when the status changes.
	statusChanged chan struct{}
	// leaderChanged is closed and replaced when the leader or the term changes.
	leaderChanged chan struct{}
}

// New returns a Replicator and registers its message handlers, so it must be called before the transport starts.
func New(cfg Config) *Replicator {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = defaultSnapshotEntries
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &Replicator{
		cfg: cfg, ctx: ctx, stop: stop,
		inbox:            sycamorevane.NewRing[inboundMessage](inboxCapacity),
		requests:         make(chan *request, requestQueueCapacity),
		appliedUpdates:   make(chan uint64, 1),
		pendingProposals: make(map[uint64]pendingProposal),
		pendingReads:     make(map[uint64]chan *encoder.ConsensusReply),
		statusChanged:    make(chan struct{}),
		leaderChanged:    make(chan struct{}),
	}
	cfg.Transport.Handle(&encoder.Consensus{}, r.enqueueMessage)
	cfg.Transport.Handle(&encoder.ProposeAsk{}, r.onProposeAsk)
	cfg.Transport.Handle(&encoder.ReadAsk{}, r.onReadAsk)
	cfg.Transport.Handle(&encoder.ReplaceAsk{}, r.onReplaceAsk)
	return r
}

// Start loads the store, restores the state machine and takes part in the cluster until Close. It returns a
// *sycamorevane.CorruptError when the store is damaged.
func (r *Replicator) Start() error {
	d, err := r.cfg.Store.Load()
	if err != nil {
		return errors.Annotate(err, "loading the control log")
	}
	if d, err = r.writeBootstrapEntry(d); err != nil {
		return errors.Annotate(err, "writing the bootstrap entry of the control log")
	}
	if r.core, err = r.newCore(d); err != nil {
		return errors.Trace(err)
	}
	if d.Snapshot.Index > 0 {
		if err := r.cfg.StateMachine.Restore(d.Snapshot.Data); err != nil {
			return errors.Annotatef(err, "restoring the snapshot at index %d", d.Snapshot.Index)
		}
		r.machineIndex = d.Snapshot.Index
	}
	r.cfg.Log.Info("control log loaded", "term", d.HardState.Term, "snapshot", d.Snapshot.Index, "entries", len(d.Entries))
	r.publishStatus()
	r.wg.Go(r.run)
	return nil
}

func (r *Replicator) newCore(d sycamorevane.DurableState) (*core, error) {
	c, err := newCore(r.cfg.Self, d, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		return nil, err
	}
	c.removal = removalPolicy{silentTicks: int(r.cfg.Removal.Silence / TickInterval), minVoters: r.cfg.Removal.MinVoters}
	return c, nil
}

// writeBootstrapEntry writes the first log entry of a new cluster if the store is empty. It writes the hard state
// first, with term 1 and no vote, so that an interrupted bootstrap is recognised and repeated at the next start.
func (r *Replicator) writeBootstrapEntry(d sycamorevane.DurableState) (sycamorevane.DurableState, error) {
	isNew := len(d.Entries) == 0 && d.Snapshot.Index == 0 && d.HardState.Term <= 1 && d.HardState.VotedFor == ""
	if !isNew || len(r.cfg.BootstrapVoters) == 0 {
		return d, nil
	}
	d.HardState = sycamorevane.HardState{Term: 1}
	if err := r.cfg.Store.SaveHardState(d.HardState); err != nil {
		return d, err
	}
	d.Entries = []sycamorevane.LogEntry{bootstrapEntry(r.cfg.BootstrapVoters)}
	return d, r.cfg.Store.Append(d.Entries)
}

// Close stops the replica. A leader first transfers leadership to another voter. Close does not close the transport,
// and it closes the store only if ReopenStore is set. Both must stay open until Close returns.
func (r *Replicator) Close() {
	r.stop()
	r.wg.Wait()
	r.inbox.Close()
	if r.cfg.ReopenStore != nil {
		_ = r.cfg.Store.Close()
	}
}

// Leader returns the known leader (empty for none), whether it is this host, and the term. A leader that has lost
// contact with the other voters still reports itself as leader for up to a second; use ReadIndex to confirm leadership.
func (r *Replicator) Leader() (name string, isLeader bool, term uint64) {
	s := r.currentStatus()
	return s.leader, s.isLeader, s.term
}

// Members returns the latest membership in the log of this host; it may not be committed yet.
func (r *Replicator) Members() []Member { return slices.Clone(r.currentStatus().members) }

// AppliedUpdates returns a channel that receives the applied index after it changes. Only the newest index is buffered,
// so intermediate ones may be skipped. The channel is meant for a single receiver.
func (r *Replicator) AppliedUpdates() <-chan uint64 { return r.appliedUpdates }

// AppliedIndex returns the index of the last entry applied on this host.
func (r *Replicator) AppliedIndex() uint64 { return r.currentStatus().appliedIndex }

func (r *Replicator) currentStatus() status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// watchStatus returns the status and a channel that is closed when it next changes.
func (r *Replicator) watchStatus() (status, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status, r.statusChanged
}

// run is the event loop. It owns the core and everything that is not guarded by mu.
func (r *Replicator) run() {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.core.tick()
			r.reopenStore()
		case <-r.inbox.Wake():
			r.processInbox()
		case req := <-r.requests:
			r.handleRequest(req)
			for range min(len(r.requests), maxRequestBatch) {
				r.handleRequest(<-r.requests)
			}
		case <-r.ctx.Done():
			r.transferLeadership(t.C)
			r.failPendingProposals("this host is stopping")
			return
		}
		r.processEffects()
		r.compactIfDue()
		r.publishStatus()
	}
}

// reopenStore tries to resume after a failed write, for example when a full disk has free space again. As after a
// restart, the core starts from the content of the store. The state machine keeps its state.
func (r *Replicator) reopenStore() {
	if !r.core.failed || r.cfg.ReopenStore == nil {
		return
	}
	if r.ticksSinceReopen++; r.ticksSinceReopen < storeReopenTicks {
		return
	}
	r.ticksSinceReopen = 0
	_ = r.cfg.Store.Close() // After the failed write it rejects further writes anyway.
	s, d, err := r.openStore()
	if err != nil {
		r.cfg.Log.Info("failed store could not be reopened; will retry", "reason", err.Error())
		return
	}
	c, err := r.newCore(d)
	if err != nil {
		r.cfg.Log.Error(err, "membership in the reopened store could not be decoded")
		return
	}
	if d.Snapshot.Index > r.machineIndex {
		if err := r.cfg.StateMachine.Restore(d.Snapshot.Data); err != nil {
			r.cfg.Log.Error(err, "state machine could not restore the snapshot of the reopened store", "index", d.Snapshot.Index)
			return
		}
		r.machineIndex = d.Snapshot.Index
	}
	r.failPendingProposals("the store was opened again")
	r.cfg.Store, r.core = s, c
	r.cfg.Log.Info("store opened again, this host votes",
		"term", d.HardState.Term, "entries", len(d.Entries))
}

// openStore opens the store and loads its content.
func (r *Replicator) openStore() (sycamorevane.Store, sycamorevane.DurableState, error) {
	s, err := r.cfg.ReopenStore()
	if err != nil {
		return nil, sycamorevane.DurableState{}, err
	}
	d, err := s.Load()
	if err != nil {
		_ = s.Close()
		return nil, d, err
	}
	return s, d, nil
}

func (r *Replicator) processInbox() {
	for in, ok := r.inbox.Pop(); ok; in, ok = r.inbox.Pop() {
		r.core.step(in.from, in.msg)
		r.processEffects()
	}
}

// transferLeadership lets another voter take over before a planned stop of the leader, so that the cluster does not
// have to wait for an election timeout. It returns when leadership has moved or after leaderTransferTicks.
func (r *Replicator) transferLeadership(ticks <-chan time.Time) {
	r.core.transferLeadership()
	r.processEffects()
	for i := 0; i < leaderTransferTicks && r.core.transferTarget != ""; {
		select {
		case <-ticks:
			i++
		case <-r.inbox.Wake():
			r.processInbox()
		}
	}
}

// processEffects carries out the effects of the core until it has no more.
func (r *Replicator) processEffects() {
	for {
		e := r.core.takeEffects()
		for _, m := range e.messages {
			if err := r.cfg.Transport.Send(m.to, m.msg); err != nil {
				r.cfg.Log.V(1).Info("consensus message not sent", "peer", m.to, "reason", err.Error())
			}
		}
		r.replyToReads(e.readResults)
		for _, name := range e.lostLogPeers {
			r.cfg.Log.Info("member returned without its log; it votes again once it has caught up", "peer", name)
		}
		r.logElections(&e)
		for _, d := range e.departures {
			r.cfg.Log.Info("silent control host is removed from the group", "peer", d.name, "successor", d.successor,
				"silent", (time.Duration(d.silentTicks) * TickInterval).String(), "responsive_voters", d.responsive)
		}
		if !e.write.empty() {
			r.persist(e.write)
			continue
		}
		if e.snapshotToRestore != nil {
			r.restoreSnapshot(e.snapshotToRestore)
		}
		for _, entry := range e.committedEntries {
			r.apply(entry)
		}
		if len(e.committedEntries) == 0 {
			break
		}
	}
	if r.core.role != leader && len(r.pendingProposals) > 0 {
		r.failPendingProposals("the leader was lost")
	}
}

// logElections logs why the leader changes.
func (r *Replicator) logElections(e *effects) {
	for _, c := range e.campaigns {
		r.cfg.Log.Info("election started", "term", c.term, "last_index", c.lastIndex, "undecided", c.undecided)
	}
	if e.silences != nil {
		ages := make(map[string]string, len(e.silences))
		for name, ticks := range e.silences {
			ages[name] = (time.Duration(ticks) * TickInterval).String()
		}
		r.cfg.Log.Info("leadership given up, no majority replies", "since_last_reply", ages)
	}
}

func (r *Replicator) persist(w storeWrite) {
	start := time.Now()
	err := writeToStore(r.cfg.Store, w)
	r.cfg.Metrics.Timer("store_write").Record(time.Since(start))
	if err != nil {
		r.cfg.Log.Error(err, "store failed, this host no longer votes")
		r.cfg.Metrics.Counter("store_failures").Inc(1)
	}
	r.core.writeDone(err)
}

// writeToStore writes the parts in an order in which the store is consistent after each of them, since a crash in
// between leaves only the first parts in the store.
func writeToStore(s sycamorevane.Store, w storeWrite) error {
	if w.hardState != nil {
		if err := s.SaveHardState(*w.hardState); err != nil {
			return err
		}
	}
	if w.snapshot != nil {
		if err := s.SaveSnapshot(*w.snapshot); err != nil {
			return err
		}
	}
	if w.truncateFrom > 0 {
		if err := s.Truncate(w.truncateFrom); err != nil {
			return err
		}
	}
	if len(w.entries) > 0 {
		return s.Append(w.entries)
	}
	return nil
}

func (r *Replicator) restoreSnapshot(s *sycamorevane.Snapshot) {
	r.cfg.Log.Info("snapshot received from the leader", "index", s.Index, "bytes", len(s.Data))
	if err := r.cfg.StateMachine.Restore(s.Data); err != nil {
		r.cfg.Log.Error(err, "state machine could not restore the snapshot from the leader, this host no longer votes",
			"index", s.Index)
		r.core.fail()
		return
	}
	r.machineIndex = s.Index
}

func (r *Replicator) apply(e sycamorevane.LogEntry) {
	var outcome []byte
	if e.Kind == kindCommand && e.Index > r.machineIndex {
		outcome = r.cfg.StateMachine.Apply(e)
	}
	r.machineIndex = max(r.machineIndex, e.Index)
	p, ok := r.pendingProposals[e.Index]
	if !ok {
		return
	}
	delete(r.pendingProposals, e.Index)
	reply := &encoder.ConsensusReply{Index: e.Index, Outcome: outcome}
	if p.term != e.Term {
		reply = r.notLeaderReply()
	}
	p.reply <- reply
}

// compactIfDue takes a snapshot when the log since the last one has reached a limit.
func (r *Replicator) compactIfDue() {
	l := r.core.log
	if r.core.failed ||
		r.core.appliedIndex-l.snapshot.Index < r.cfg.SnapshotEntries && l.bytesSinceSnapshot < snapshotThresholdBytes {
		return
	}
	if r.core.appliedIndex == l.snapshot.Index {
		return
	}
	data, err := r.cfg.StateMachine.Snapshot()
	if err != nil {
		r.cfg.Log.Error(err, "state machine could not create a snapshot")
		return
	}
	r.core.compact(data)
	r.processEffects()
}

// failPendingProposals replies to all pending proposals that their outcome is unknown.
func (r *Replicator) failPendingProposals(reason string) {
	for index, p := range r.pendingProposals {
		delete(r.pendingProposals, index)
		p.reply <- &encoder.ConsensusReply{
			Status: encoder.ConsensusReply_UNCERTAIN, Leader: r.cfg.Self, Index: index, Reason: reason,
		}
	}
}

func (r *Replicator) notLeaderReply() *encoder.ConsensusReply {
	return &encoder.ConsensusReply{Status: encoder.ConsensusReply_NOT_LEADER, Leader: r.core.leader}
}

// handleRequest handles one request from another goroutine.
func (r *Replicator) handleRequest(req *request) {
	switch req.kind {
	case requestPropose:
		index, term, err := r.core.propose(req.data)
		if err != nil {
			req.reply <- r.notLeaderReply()
			return
		}
		r.pendingProposals[index] = pendingProposal{term: term, reply: req.reply}
	case requestRead:
		r.lastReadID++
		r.pendingReads[r.lastReadID] = req.reply
		r.core.readIndex(r.lastReadID)
	case requestReplace:
		req.reply <- r.handleReplace(req)
	}
}

func (r *Replicator) handleReplace(req *request) *encoder.ConsensusReply {
	done, err := r.core.replaceMember(req.oldName, req.newName)
	var notLeader *sycamorevane.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return r.notLeaderReply()
	case errors.Is(err, errors.NotYetAvailable):
		return &encoder.ConsensusReply{Status: encoder.ConsensusReply_UNCERTAIN, Reason: err.Error()}
	case err != nil:
		return &encoder.ConsensusReply{Status: encoder.ConsensusReply_INVALID, Reason: err.Error()}
	case !done:
		return &encoder.ConsensusReply{Status: encoder.ConsensusReply_UNCERTAIN, Reason: "the replacement is in progress"}
	}
	return &encoder.ConsensusReply{}
}

func (r *Replicator) replyToReads(results []readResult) {
	for _, result := range results {
		reply := r.pendingReads[result.id]
		delete(r.pendingReads, result.id)
		if result.ok {
			reply <- &encoder.ConsensusReply{Index: result.index}
			continue
		}
		reply <- r.notLeaderReply()
	}
}

// publishStatus makes the state of the core visible to other goroutines.
func (r *Replicator) publishStatus() {
	c := r.core
	s := status{
		leader: c.leader, isLeader: c.role == leader, term: c.hardState.Term, appliedIndex: c.appliedIndex, failed: c.failed,
		recovering: c.recovering, members: c.log.members(),
	}
	r.mu.Lock()
	old := r.status
	newLeader := old.leader != s.leader || old.term != s.term
	if !newLeader && old.appliedIndex == s.appliedIndex && old.failed == s.failed &&
		old.recovering == s.recovering && slices.Equal(old.members, s.members) {
		r.mu.Unlock()
		return
	}
	r.status = s
	close(r.statusChanged)
	r.statusChanged = make(chan struct{})
	if newLeader {
		close(r.leaderChanged)
		r.leaderChanged = make(chan struct{})
	}
	r.mu.Unlock()
	r.reportChanges(old, s)
}

// reportChanges logs status changes, updates the metrics and sends a new applied index to the channel of AppliedUpdates.
func (r *Replicator) reportChanges(old, s status) {
	if old.leader != s.leader {
		fields := []any{"leader", s.leader, "term", s.term, "role", r.core.role.String()}
		if s.isLeader {
			fields = append(fields, "votes", slices.Sorted(maps.Keys(r.core.votes)))
		}
		r.cfg.Log.Info("control leader changed", fields...)
	}
	if !slices.Equal(old.members, s.members) {
		r.cfg.Log.Info("control membership changed", "members", fmt.Sprintf("%+v", s.members))
	}
	if old.recovering != s.recovering {
		r.cfg.Log.Info("log recovery started or ended; this host does not vote while it recovers", "votes", !s.recovering)
	}
	r.cfg.Metrics.Gauge("term").Update(float64(s.term))
	r.cfg.Metrics.Gauge("applied").Update(float64(s.appliedIndex))
	if old.appliedIndex == s.appliedIndex {
		return
	}
	select {
	case <-r.appliedUpdates:
	default:
	}
	select {
	case r.appliedUpdates <- s.appliedIndex:
	default:
	}
}

func (r *Replicator) enqueueMessage(from string, m proto.Message) proto.Message {
	if c, ok := m.(*encoder.Consensus); ok && !r.inbox.Push(inboundMessage{from, c}) {
		r.cfg.Metrics.Counter("inbox_full").Inc(1)
	}
	return nil
}
