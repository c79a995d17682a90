// Package replicator keeps the control log identical on the control hosts. The algorithm is in core, which has no
// clock, sockets or files; Replicator drives it with a Transport, a Store and a StateMachine.
package replicator

import (
	"context"
	"fmt"
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
	// TickInterval is the unit of time of the core.
	TickInterval = 50 * time.Millisecond
	// answerTimeout bounds requests whose context has no deadline.
	answerTimeout = 10 * time.Second
	// attemptTimeout bounds one attempt of a read, which can be repeated without harm.
	attemptTimeout = 500 * time.Millisecond
	// retryPause is the wait before a request is repeated while no leader accepts it.
	retryPause = 25 * time.Millisecond

	// reopenTicks is the wait between two attempts to open a failed store again: 0.5 s.
	reopenTicks = 10
	// handOverTicks bounds how long a stopping leader waits for its successor's vote request.
	handOverTicks = 4

	inboxSize   = 4096
	requestSize = 1024
	// batchRequests bounds the commands that share one write to the store.
	batchRequests = 256

	// MaxCommand bounds the data of one command in bytes.
	MaxCommand = 8 << 20
	// defaultSnapshotEntries and snapshotBytes bound the log after the last snapshot, in memory and on disk.
	defaultSnapshotEntries = 2048
	snapshotBytes          = 4 << 20
)

// Config holds what a Replicator is built from.
type Config struct {
	// Self is this host's name in the membership.
	Self      string
	Transport sycamorevane.Transport
	Store     sycamorevane.Store
	// Machine gets the commands only; membership changes and the no-ops of new leaders are not passed on.
	Machine sycamorevane.StateMachine
	// Bootstrap names the voters of a new cluster, the same on all of them; empty on a host that joins by Replace.
	// It is ignored when the store is not empty.
	Bootstrap []string
	// Reopen opens the store again after a failed write, which leaves its end unknown; nil leaves that to a restart of
	// the process.
	Reopen  func() (sycamorevane.Store, error)
	Log     logr.Logger
	Metrics tally.Scope
	// SnapshotEntries is the number of entries after which a snapshot is taken; zero for the default.
	SnapshotEntries uint64
}

// UncertainError says that the command may be committed or not. Sending it again with the same command id is
// safe, since the state machine applies each id once.
type UncertainError struct {
	// Leader is the host that the command was given to.
	Leader string
	Reason string
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("outcome of a command sent to control leader %q is unknown: %s", e.Leader, e.Reason)
}

// status is what the loop publishes for other goroutines.
type status struct {
	leader  string
	self    bool
	term    uint64
	applied uint64
	failed  bool
	// recovering is true while the host does not vote since it may have lost its disk.
	recovering bool
	members    []Member
	// silence is how long each other member has not answered this leader; nil on other hosts.
	silence map[string]time.Duration
}

type requestKind uint8

const (
	requestPropose requestKind = iota
	requestRead
	requestReplace
)

// request is a command or query from another goroutine to the loop.
type request struct {
	kind     requestKind
	data     []byte
	old, new string
	done     chan *encoder.ConsensusReply
}

type inbound struct {
	from string
	m    *encoder.Consensus
}

type waiter struct {
	term uint64
	done chan *encoder.ConsensusReply
}

// Replicator is one replica of the control log.
type Replicator struct {
	cfg      Config
	core     *core
	inbox    *sycamorevane.Ring[inbound]
	requests chan *request
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup
	applied  chan uint64

	// The loop owns these.
	waiting map[uint64]waiter
	reading map[uint64]chan *encoder.ConsensusReply
	readID  uint64
	// handed is the last log index that the state machine has seen, ticks the time since the last attempt to reopen.
	handed uint64
	ticks  int

	mu     sync.Mutex
	status status
	// changed is closed and replaced when the status changes, led when its leader or term does.
	changed chan struct{}
	led     chan struct{}
}

// New registers the message handlers, so it must be called before the transport starts.
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
		inbox:    sycamorevane.NewRing[inbound](inboxSize),
		requests: make(chan *request, requestSize),
		applied:  make(chan uint64, 1),
		waiting:  make(map[uint64]waiter),
		reading:  make(map[uint64]chan *encoder.ConsensusReply),
		changed:  make(chan struct{}),
		led:      make(chan struct{}),
	}
	cfg.Transport.Handle(&encoder.Consensus{}, r.receive)
	cfg.Transport.Handle(&encoder.ProposeAsk{}, r.onPropose)
	cfg.Transport.Handle(&encoder.ReadAsk{}, r.onRead)
	cfg.Transport.Handle(&encoder.ReplaceAsk{}, r.onReplace)
	return r
}

// Start loads the store, restores the state machine and takes part in the cluster until Close. Errors:
// *sycamorevane.CorruptError when the store is damaged.
func (r *Replicator) Start() error {
	d, err := r.cfg.Store.Load()
	if err != nil {
		return errors.Annotate(err, "control log")
	}
	if d, err = r.bootstrap(d); err != nil {
		return errors.Annotate(err, "first entry of the control log")
	}
	r.core, err = newCore(r.cfg.Self, d, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		return errors.Trace(err)
	}
	if d.Snapshot.Index > 0 {
		if err := r.cfg.Machine.Restore(d.Snapshot.Data); err != nil {
			return errors.Annotatef(err, "snapshot at index %d", d.Snapshot.Index)
		}
		r.handed = d.Snapshot.Index
	}
	r.cfg.Log.Info("control log loaded", "term", d.HardState.Term, "snapshot", d.Snapshot.Index, "entries", len(d.Entries))
	r.publish()
	r.wg.Go(r.loop)
	return nil
}

// bootstrap writes the first entry of a new cluster. The hard state goes first, so that an interrupted bootstrap
// is recognised and repeated.
func (r *Replicator) bootstrap(d sycamorevane.DurableState) (sycamorevane.DurableState, error) {
	fresh := len(d.Entries) == 0 && d.Snapshot.Index == 0 && d.HardState.Term <= 1 && d.HardState.VotedFor == ""
	if !fresh || len(r.cfg.Bootstrap) == 0 {
		return d, nil
	}
	d.HardState = sycamorevane.HardState{Term: 1}
	if err := r.cfg.Store.SaveHardState(d.HardState); err != nil {
		return d, err
	}
	d.Entries = []sycamorevane.LogEntry{bootstrapEntry(r.cfg.Bootstrap)}
	return d, r.cfg.Store.Append(d.Entries)
}

// Close stops the replica; a leader first asks another voter to take over. It does not close the transport, nor a store
// that it does not open itself; both must stay open until it returns.
func (r *Replicator) Close() {
	r.stop()
	r.wg.Wait()
	r.inbox.Close()
	if r.cfg.Reopen != nil {
		_ = r.cfg.Store.Close()
	}
}

// Leader returns the known leader, empty for none, whether it is this host, and the term. A leader that was just
// cut off still takes itself for the leader for up to a second; ReadIndex gives certainty.
func (r *Replicator) Leader() (name string, self bool, term uint64) {
	s := r.read()
	return s.leader, s.self, s.term
}

// Members returns the replicas as known to this host.
func (r *Replicator) Members() []Member { return slices.Clone(r.read().members) }

// Applied receives the newest applied index after each change; intermediate ones may be skipped. It is meant for
// one reader.
func (r *Replicator) Applied() <-chan uint64 { return r.applied }

// AppliedIndex is the index of the last entry applied on this host.
func (r *Replicator) AppliedIndex() uint64 { return r.read().applied }

func (r *Replicator) read() status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// watch returns the status with a channel that is closed at its next change.
func (r *Replicator) watch() (status, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status, r.changed
}

func (r *Replicator) loop() {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.core.tick()
			r.reopen()
		case <-r.inbox.Wake():
			r.readInbox()
		case req := <-r.requests:
			r.accept(req)
			for range min(len(r.requests), batchRequests) {
				r.accept(<-r.requests)
			}
		case <-r.ctx.Done():
			r.handOver(t.C)
			r.abandon("this host is stopping")
			return
		}
		r.drain()
		r.compact()
		r.publish()
	}
}

// reopen takes part again after a failed write, for example when a full disk has room again. What the store holds
// counts, as after a restart; the state machine keeps what it has seen.
func (r *Replicator) reopen() {
	if !r.core.failed || r.cfg.Reopen == nil {
		return
	}
	if r.ticks++; r.ticks < reopenTicks {
		return
	}
	r.ticks = 0
	_ = r.cfg.Store.Close() // It refuses writes anyway.
	s, d, err := r.load()
	if err != nil {
		r.cfg.Log.Info("store cannot be opened again yet", "reason", err.Error())
		return
	}
	c, err := newCore(r.cfg.Self, d, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		r.cfg.Log.Error(err, "store does not fit")
		return
	}
	if d.Snapshot.Index > r.handed {
		if err := r.cfg.Machine.Restore(d.Snapshot.Data); err != nil {
			r.cfg.Log.Error(err, "snapshot cannot be restored", "index", d.Snapshot.Index)
			return
		}
		r.handed = d.Snapshot.Index
	}
	r.abandon("the store was opened again")
	r.cfg.Store, r.core = s, c
	r.cfg.Log.Info("store opened again, this host votes", "term", d.HardState.Term, "entries", len(d.Entries))
}

func (r *Replicator) load() (sycamorevane.Store, sycamorevane.DurableState, error) {
	s, err := r.cfg.Reopen()
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

func (r *Replicator) readInbox() {
	for in, ok := r.inbox.Pop(); ok; in, ok = r.inbox.Pop() {
		r.core.step(in.from, in.m)
		r.drain()
	}
}

// handOver saves the group an election timeout when its leader is stopped on purpose.
func (r *Replicator) handOver(ticks <-chan time.Time) {
	r.core.handOver()
	r.drain()
	for i := 0; i < handOverTicks && r.core.transfer != ""; {
		select {
		case <-ticks:
			i++
		case <-r.inbox.Wake():
			r.readInbox()
		}
	}
}

// drain carries out the effects of the core until there are none.
func (r *Replicator) drain() {
	for {
		e := r.core.take()
		for _, env := range e.messages {
			if err := r.cfg.Transport.Send(env.to, env.m); err != nil {
				r.cfg.Log.V(1).Info("consensus message not sent", "peer", env.to, "reason", err.Error())
			}
		}
		r.finishReads(e.reads)
		for _, name := range e.lost {
			r.cfg.Log.Info("host returned without its log and is brought up to date; it votes once it has caught up", "peer", name)
		}
		if !e.write.empty() {
			r.store(e.write)
			continue
		}
		if e.restore != nil {
			r.restore(e.restore)
		}
		for _, entry := range e.committed {
			r.apply(entry)
		}
		if len(e.committed) == 0 {
			break
		}
	}
	if r.core.role != leader && len(r.waiting) > 0 {
		r.abandon("the leader was lost")
	}
}

func (r *Replicator) store(w write) {
	began := time.Now()
	err := save(r.cfg.Store, w)
	r.cfg.Metrics.Timer("store_write").Record(time.Since(began))
	if err != nil {
		r.cfg.Log.Error(err, "store failed, this host no longer votes")
		r.cfg.Metrics.Counter("store_failures").Inc(1)
	}
	r.core.stored(err)
}

// save writes in the order in which each part may be left behind alone by a crash.
func save(s sycamorevane.Store, w write) error {
	if w.hard != nil {
		if err := s.SaveHardState(*w.hard); err != nil {
			return err
		}
	}
	if w.snapshot != nil {
		if err := s.SaveSnapshot(*w.snapshot); err != nil {
			return err
		}
	}
	if w.truncate > 0 {
		if err := s.Truncate(w.truncate); err != nil {
			return err
		}
	}
	if len(w.entries) > 0 {
		return s.Append(w.entries)
	}
	return nil
}

func (r *Replicator) restore(s *sycamorevane.Snapshot) {
	r.cfg.Log.Info("snapshot received from the leader", "index", s.Index, "bytes", len(s.Data))
	if err := r.cfg.Machine.Restore(s.Data); err != nil {
		r.cfg.Log.Error(err, "snapshot cannot be restored, this host no longer votes", "index", s.Index)
		r.core.fail()
		return
	}
	r.handed = s.Index
}

func (r *Replicator) apply(e sycamorevane.LogEntry) {
	var outcome []byte
	if e.Kind == kindCommand && e.Index > r.handed {
		outcome = r.cfg.Machine.Apply(e)
	}
	r.handed = max(r.handed, e.Index)
	w, ok := r.waiting[e.Index]
	if !ok {
		return
	}
	delete(r.waiting, e.Index)
	reply := &encoder.ConsensusReply{Index: e.Index, Outcome: outcome}
	if w.term != e.Term {
		reply = r.notLeader()
	}
	w.done <- reply
}

// compact takes a snapshot when the log has grown enough.
func (r *Replicator) compact() {
	l := r.core.log
	if r.core.failed || r.core.applied-l.snapshot.Index < r.cfg.SnapshotEntries && l.bytes < snapshotBytes {
		return
	}
	if r.core.applied == l.snapshot.Index {
		return
	}
	data, err := r.cfg.Machine.Snapshot()
	if err != nil {
		r.cfg.Log.Error(err, "state machine gives no snapshot")
		return
	}
	r.core.compact(data)
	r.drain()
}

// abandon answers all waiting proposals with an unknown outcome.
func (r *Replicator) abandon(reason string) {
	for index, w := range r.waiting {
		delete(r.waiting, index)
		w.done <- &encoder.ConsensusReply{
			Status: encoder.ConsensusReply_UNCERTAIN, Leader: r.cfg.Self, Index: index, Reason: reason,
		}
	}
}

func (r *Replicator) notLeader() *encoder.ConsensusReply {
	return &encoder.ConsensusReply{Status: encoder.ConsensusReply_NOT_LEADER, Leader: r.core.leader}
}

// accept carries out one request of another goroutine.
func (r *Replicator) accept(req *request) {
	switch req.kind {
	case requestPropose:
		index, term, err := r.core.propose(req.data)
		if err != nil {
			req.done <- r.notLeader()
			return
		}
		r.waiting[index] = waiter{term: term, done: req.done}
	case requestRead:
		r.readID++
		r.reading[r.readID] = req.done
		r.core.read(r.readID)
	case requestReplace:
		req.done <- r.acceptReplace(req)
	}
}

func (r *Replicator) acceptReplace(req *request) *encoder.ConsensusReply {
	done, err := r.core.replace(req.old, req.new)
	var other *sycamorevane.NotLeaderError
	switch {
	case errors.As(err, &other):
		return r.notLeader()
	case errors.Is(err, errors.NotYetAvailable):
		return &encoder.ConsensusReply{Status: encoder.ConsensusReply_UNCERTAIN, Reason: err.Error()}
	case err != nil:
		return &encoder.ConsensusReply{Status: encoder.ConsensusReply_INVALID, Reason: err.Error()}
	case !done:
		return &encoder.ConsensusReply{Status: encoder.ConsensusReply_UNCERTAIN, Reason: "the replacement is in progress"}
	}
	return &encoder.ConsensusReply{}
}

func (r *Replicator) finishReads(results []readResult) {
	for _, res := range results {
		done := r.reading[res.id]
		delete(r.reading, res.id)
		if res.ok {
			done <- &encoder.ConsensusReply{Index: res.index}
			continue
		}
		done <- r.notLeader()
	}
}

// publish makes the state of the core visible to other goroutines.
func (r *Replicator) publish() {
	c := r.core
	s := status{
		leader: c.leader, self: c.role == leader, term: c.hard.Term, applied: c.applied, failed: c.failed,
		recovering: c.recovering, members: c.log.members(),
	}
	if c.role == leader {
		s.silence = make(map[string]time.Duration, len(c.peers))
		for name, p := range c.peers {
			s.silence[name] = time.Duration(p.heard) * TickInterval
		}
	}
	r.mu.Lock()
	old := r.status
	newLeader := old.leader != s.leader || old.term != s.term
	if !newLeader && old.applied == s.applied && old.failed == s.failed && old.recovering == s.recovering && slices.Equal(old.members, s.members) {
		r.status.silence = s.silence
		r.mu.Unlock()
		return
	}
	r.status = s
	close(r.changed)
	r.changed = make(chan struct{})
	if newLeader {
		close(r.led)
		r.led = make(chan struct{})
	}
	r.mu.Unlock()
	r.report(old, s)
}

func (r *Replicator) report(old, s status) {
	if old.leader != s.leader {
		r.cfg.Log.Info("control leader changed", "leader", s.leader, "term", s.term, "role", r.core.role.String())
	}
	if !slices.Equal(old.members, s.members) {
		r.cfg.Log.Info("control membership changed", "members", fmt.Sprintf("%+v", s.members))
	}
	if old.recovering != s.recovering {
		r.cfg.Log.Info("host started without a log and votes once it has caught up", "votes", !s.recovering)
	}
	r.cfg.Metrics.Gauge("term").Update(float64(s.term))
	r.cfg.Metrics.Gauge("applied").Update(float64(s.applied))
	if old.applied == s.applied {
		return
	}
	select {
	case <-r.applied:
	default:
	}
	select {
	case r.applied <- s.applied:
	default:
	}
}

func (r *Replicator) receive(from string, m proto.Message) proto.Message {
	if c, ok := m.(*encoder.Consensus); ok && !r.inbox.Push(inbound{from, c}) {
		r.cfg.Metrics.Counter("inbox_full").Inc(1)
	}
	return nil
}
