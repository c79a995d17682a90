package replicator

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// Durations in ticks of TickInterval.
const (
	// electionTicks is the shortest silence of the leader after which a voter asks for an election: 1 s.
	electionTicks = 20
	// electionSpread is the random part added to electionTicks, so that voters rarely start together: 0.4 s.
	electionSpread = 8
	// bootTicks is the shortest silence after a start: 0.3 s, in which a leader that is there sends a heartbeat. A
	// pre-vote does not disturb one that was missed.
	bootTicks = 6
	// leaseTicks is how long a replica that heard the leader refuses other candidates. It is two ticks shorter
	// than electionTicks, since the clocks of two replicas tick out of phase.
	leaseTicks = electionTicks - 2
	// retryTicks and retrySpread delay the next attempt after an undecided election. They are short, so that a
	// second attempt still ends within 2 s of the loss of the leader.
	retryTicks  = 5
	retrySpread = 6
	// heartbeatTicks makes three heartbeats fit into leaseTicks.
	heartbeatTicks = 5
	// resendTicks is the wait before an unanswered snapshot chunk is sent again.
	resendTicks = 10
)

const (
	// batchBytes bounds the entries of one append message.
	batchBytes = 256 << 10
	// entryOverhead is the approximate size of an encoded entry without its data.
	entryOverhead = 16
	// chunkBytes is above the messenger's limit for the bulk stream, so that chunks do not delay heartbeats.
	chunkBytes = 64 << 10
	// maxSnapshot bounds the buffer that a chunk may announce.
	maxSnapshot = 256 << 20
	// keepBytes is the size of the entries covered by a snapshot that stay in memory for replicas that are behind.
	keepBytes = 512 << 10
)

// recoveringVote is stored in place of a vote by a replica that is recovering. It is no host name.
const recoveringVote = "(recovering)"

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

func (r role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// envelope is a message with its receiver.
type envelope struct {
	to string
	m  *encoder.Consensus
}

// write is what the store has to hold before further effects are released, in field order.
type write struct {
	hard     *sycamorevane.HardState
	snapshot *sycamorevane.Snapshot
	truncate uint64
	entries  []sycamorevane.LogEntry
}

func (w *write) empty() bool {
	return w.hard == nil && w.snapshot == nil && w.truncate == 0 && len(w.entries) == 0
}

// readResult answers a read request; ok is false when leadership was lost.
type readResult struct {
	id    uint64
	index uint64
	ok    bool
}

// effects are the outputs of the core. Messages can be sent at once. When write is not empty, stored must be
// called with its result before any other input.
type effects struct {
	messages  []envelope
	write     write
	restore   *sycamorevane.Snapshot
	committed []sycamorevane.LogEntry
	reads     []readResult
	// lost names replicas that acknowledged entries before and now have an empty log.
	lost []string
}

// rules switches safety rules off. Tests use it to show that the invariant checks notice.
type rules struct {
	skipLogCheck  bool // vote for candidates with an older log
	skipVoteStore bool // answer votes before they are stored
	skipTermCheck bool // commit entries of former terms by counting
	skipReadRound bool // answer reads without confirming leadership
	skipPrevCheck bool // append without comparing the previous entry
	skipStored    bool // acknowledge entries before they are stored
	skipRecover   bool // let a replica that lost its log vote at once
	skipSettled   bool // start a membership change before the last one is committed
}

// sizes bound messages and memory in bytes.
type sizes struct{ batch, chunk, keep int }

// progress is what the leader knows about one other member.
type progress struct {
	match uint64
	next  uint64
	// probing is true until the replica has confirmed where its log ends; one message is sent at a time.
	probing bool
	// waiting is true in probing while a message is unanswered.
	waiting bool
	// heard counts ticks since the last message of the replica.
	heard int
	// read is the last leadership confirmation round that it answered.
	read uint64
	// recovering replicas do not count for commits, and for confirmations only together with all others. They
	// count again when they have caught up and proof, a round that began after they were seen to recover, is
	// confirmed: a leader that was replaced without noticing must not win a majority by a replica that has
	// forgotten the replacement.
	recovering bool
	proof      uint64
	// snapshot is being transferred when it is not nil.
	snapshot *sycamorevane.Snapshot
	sum      uint64
	offset   uint64
	sent     int
}

type pendingRead struct {
	id    uint64
	round uint64
	index uint64
}

// incoming is a snapshot in transfer from the leader.
type incoming struct {
	term  uint64
	index uint64
	data  []byte
}

// core is the consensus algorithm of one replica, without clock, sockets or files.
type core struct {
	self string
	rand *rand.Rand
	off  rules
	size sizes
	log  *log

	hard   sycamorevane.HardState
	saved  sycamorevane.HardState
	role   role
	leader string
	// commit and applied are log indexes; applied counts entries handed out in effects.
	commit  uint64
	applied uint64
	failed  bool
	// recovering is true from the first contact of an empty log with a leader until the leader says that the log
	// has caught up. The replica may have lost its disk, and with it entries that it acknowledged and votes that
	// it gave. So it does not campaign, and its votes and answers count only together with those of all others.
	recovering bool

	// elapsed counts ticks since the leader was heard, or since the last campaign.
	elapsed int
	timeout int
	beat    int
	// votes holds the replicas that granted their vote; false marks a weak one.
	votes map[string]bool
	peers map[string]*progress

	round    uint64
	reads    []pendingRead
	partial  *incoming
	restored *sycamorevane.Snapshot

	out         []envelope // can be sent at once
	after       []envelope // wait for the write
	pendingSnap *sycamorevane.Snapshot
	doneReads   []readResult
	lost        []string
	// transfer is the voter asked to take over; empty for none.
	transfer string
}

func newCore(self string, d sycamorevane.DurableState, r *rand.Rand) (*core, error) {
	l, err := newLog(d)
	if err != nil {
		return nil, errors.Annotate(err, "membership in the stored log")
	}
	c := &core{
		self: self, rand: r, log: l, hard: d.HardState, saved: d.HardState,
		commit: d.Snapshot.Index, applied: d.Snapshot.Index,
		size: sizes{batch: batchBytes, chunk: chunkBytes, keep: keepBytes},
	}
	c.recovering = d.HardState.VotedFor == recoveringVote
	c.follow("")
	c.elapsed = electionTicks - bootTicks
	return c, nil
}

// bootstrapEntry is the first log entry of a new cluster, identical on all its hosts.
func bootstrapEntry(voters []string) sycamorevane.LogEntry {
	names := slices.Compact(slices.Sorted(slices.Values(voters)))
	members := make([]Member, 0, len(names))
	for _, n := range names {
		members = append(members, Member{Name: n, Voter: true})
	}
	return sycamorevane.LogEntry{Index: 1, Term: 1, Kind: kindMembers, Data: encodeMembers(members)}
}

func (c *core) member(name string) (Member, bool) {
	for _, m := range c.log.members() {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

func (c *core) voter() bool {
	m, _ := c.member(c.self)
	return m.Voter && !c.recovering
}

// blank reports whether the log holds at most the first entry of a new cluster.
func (c *core) blank() bool { return c.log.last() <= 1 }

// weak reports whether this replica's vote for the candidate counts only when all other voters agree: it cannot
// know whether it has lost entries and votes with its disk. Empty logs elect the first leader among themselves.
func (c *core) weak(m *encoder.Consensus) bool {
	return c.recovering || c.blank() && m.Index > 1 && !c.off.skipRecover
}

// quorum reports whether the voters for which f holds are a majority.
func (c *core) quorum(f func(name string) bool) bool {
	total, n := 0, 0
	for _, m := range c.log.members() {
		if !m.Voter {
			continue
		}
		total++
		if f(m.Name) {
			n++
		}
	}
	return n > total/2
}

// all reports whether f holds for all voters.
func (c *core) all(f func(name string) bool) bool {
	return !slices.ContainsFunc(c.log.members(), func(m Member) bool { return m.Voter && !f(m.Name) })
}

// quorumValue returns the largest value that a majority of voters has reached.
func (c *core) quorumValue(f func(name string) uint64) uint64 {
	var values []uint64
	for _, m := range c.log.members() {
		if m.Voter {
			values = append(values, f(m.Name))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, func(a, b uint64) int { return cmp.Compare(b, a) })
	return values[len(values)/2]
}

// send queues a message. Messages of a leader do not depend on its own pending write; all others do.
func (c *core) send(to string, m *encoder.Consensus) {
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	if c.role == leader && c.hard == c.saved && m.Kind != encoder.Consensus_APPEND_REPLY {
		c.out = append(c.out, envelope{to, m})
		return
	}
	c.after = append(c.after, envelope{to, m})
}

// take returns the pending effects. Entries are handed out only when the store holds them.
func (c *core) take() effects {
	e := effects{messages: c.out, reads: c.doneReads, lost: c.lost}
	c.out, c.doneReads, c.lost = nil, nil, nil
	if c.failed {
		c.after = nil
		return e
	}
	e.write = c.pendingWrite()
	if c.off.skipStored || c.off.skipVoteStore && len(e.write.entries) == 0 {
		e.messages = append(e.messages, c.after...)
		c.after = nil
	}
	if !e.write.empty() {
		return e
	}
	e.messages = append(e.messages, c.after...)
	c.after = nil
	if c.restored != nil {
		e.restore = c.restored
		c.restored = nil
	}
	if to := min(c.commit, c.log.stored); to > c.applied {
		e.committed = c.log.slice(c.applied+1, to, c.size.batch)
		c.applied += uint64(len(e.committed))
	}
	return e
}

func (c *core) pendingWrite() write {
	w := write{snapshot: c.pendingSnap, truncate: c.log.truncate}
	if c.hard != c.saved {
		hard := c.hard
		w.hard = &hard
	}
	if c.log.last() > c.log.stored {
		w.entries = c.log.entries[c.log.stored-c.log.base:]
	}
	return w
}

// stored is the result of the write in the last effects. After an error the replica takes no further part:
// what the store holds is unknown.
func (c *core) stored(err error) {
	if err != nil {
		c.fail()
		return
	}
	c.saved = c.hard
	c.pendingSnap = nil
	c.log.truncate = 0
	c.log.stored = c.log.last()
	c.out = append(c.out, c.after...)
	c.after = nil
	if c.role == leader {
		c.advance()
	}
}

func (c *core) fail() {
	c.failed = true
	c.follow("")
	c.after, c.out = nil, nil
}

// tick advances the time by one TickInterval.
func (c *core) tick() {
	c.elapsed++
	if c.failed {
		if c.elapsed >= electionTicks {
			c.leader = ""
		}
		return
	}
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.elapsed >= c.timeout && c.voter() {
		c.campaign(preCandidate, false)
	}
}

func (c *core) tickLeader() {
	for _, p := range c.peers {
		p.heard++
		p.sent++
	}
	heard := func(n string) bool { return n == c.self || c.peers[n].heard < electionTicks }
	intact := func(n string) bool { return n == c.self || heard(n) && !c.peers[n].recovering }
	if !c.quorum(intact) && !c.all(heard) {
		if alone := c.all(func(n string) bool { return n == c.self || !heard(n) }); alone {
			c.handOverUnheard()
		}
		c.follow("")
		return
	}
	c.manage()
	if c.readsWait() {
		c.beginRound() // The one under way may be lost.
	}
	c.beat++
	if c.role != leader || c.beat < heartbeatTicks {
		return
	}
	c.transfer = ""
	c.heartbeat()
}

func (c *core) heartbeat() {
	c.beat = 0
	for _, m := range c.log.members() {
		if m.Name == c.self {
			continue
		}
		p := c.peers[m.Name]
		if p.snapshot != nil && p.sent < resendTicks {
			c.sendAppend(m.Name, p, 0) // Keeps the replica from starting an election.
			continue
		}
		if p.snapshot != nil {
			c.sendChunk(m.Name, p)
		}
		p.waiting = false
		c.replicate(m.Name, p, true)
	}
}

// follow makes the replica a follower of the named leader in the current term; empty when none is known.
func (c *core) follow(name string) {
	c.dropReads()
	c.role, c.leader = follower, name
	c.peers, c.votes, c.transfer = nil, nil, ""
	c.elapsed = 0
	c.timeout = electionTicks + c.rand.IntN(electionSpread)
	if c.partial != nil && c.partial.term != c.hard.Term {
		c.partial = nil
	}
}

func (c *core) dropReads() {
	for _, r := range c.reads {
		c.doneReads = append(c.doneReads, readResult{id: r.id})
	}
	c.reads = nil
}

func (c *core) campaign(as role, force bool) {
	c.follow("")
	c.role = as
	c.timeout = retryTicks + c.rand.IntN(retrySpread)
	c.votes = map[string]bool{c.self: true}
	m := encoder.Consensus{Kind: encoder.Consensus_PREVOTE, Term: c.hard.Term + 1}
	if as == candidate {
		c.hard = sycamorevane.HardState{Term: c.hard.Term + 1, VotedFor: c.self}
		m = encoder.Consensus{Kind: encoder.Consensus_VOTE, Term: c.hard.Term, Force: force}
	}
	for _, r := range c.log.members() {
		if r.Voter && r.Name != c.self {
			c.send(r.Name, &encoder.Consensus{
				Kind: m.Kind, Term: m.Term, Force: force, Index: c.log.last(), LogTerm: c.log.lastTerm(),
			})
		}
	}
	c.count()
}

func (c *core) count() {
	if !c.quorum(func(n string) bool { return c.votes[n] }) && !c.all(func(n string) bool { _, ok := c.votes[n]; return ok }) {
		return
	}
	if c.role == preCandidate {
		c.campaign(candidate, false)
		return
	}
	c.lead()
}

func (c *core) lead() {
	c.role, c.leader = leader, c.self
	c.beat, c.round = 0, c.round+1
	c.peers = make(map[string]*progress)
	c.syncPeers()
	c.add(kindNoop, nil)
	c.broadcast()
}

// syncPeers makes the progress table match the membership.
func (c *core) syncPeers() {
	names := sycamorevane.NewSet[string]()
	for _, m := range c.log.members() {
		names.Add(m.Name)
		if _, ok := c.peers[m.Name]; !ok && m.Name != c.self {
			c.peers[m.Name] = &progress{next: c.log.last() + 1, probing: true}
		}
	}
	for n := range c.peers {
		if !names.Has(n) {
			delete(c.peers, n)
		}
	}
}

func (c *core) add(kind uint8, data []byte) uint64 {
	e := sycamorevane.LogEntry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: kind, Data: data}
	if err := c.log.append(e); err != nil {
		panic(err) // The leader encoded the membership itself.
	}
	if kind == kindMembers {
		c.syncPeers()
	}
	return e.Index
}

// propose appends a command and returns its index and term. Errors: *sycamorevane.NotLeaderError.
func (c *core) propose(data []byte) (index, term uint64, err error) {
	if c.role != leader || c.failed || c.transfer != "" {
		return 0, 0, &sycamorevane.NotLeaderError{Leader: c.leader}
	}
	index = c.add(kindCommand, data)
	c.broadcast()
	return index, c.hard.Term, nil
}

// ownCommit reports whether an entry of the current term is committed. Only then does the commit index cover all
// entries that former leaders committed.
func (c *core) ownCommit() bool {
	t, _ := c.log.term(c.commit)
	return t == c.hard.Term
}

// read asks for an index that covers all commands acknowledged so far. The result appears in effects.reads.
func (c *core) read(id uint64) {
	if c.role != leader || !c.ownCommit() {
		c.doneReads = append(c.doneReads, readResult{id: id})
		return
	}
	if c.off.skipReadRound {
		c.doneReads = append(c.doneReads, readResult{id: id, index: c.commit, ok: true})
		return
	}
	// A round that is under way began before this read. The next one begins when that one is confirmed, for all reads that
	// have come meanwhile: rounds for each of them would keep the leader of a large group from everything else.
	c.reads = append(c.reads, pendingRead{id: id, round: c.round + 1, index: c.commit})
	if c.confirmed() >= c.round {
		c.beginRound()
	}
	c.finishReads()
}

// beginRound asks all voters whether they still follow this leader.
func (c *core) beginRound() {
	c.round++
	for _, m := range c.log.members() {
		if m.Name != c.self && m.Voter {
			c.sendAppend(m.Name, c.peers[m.Name], 0)
		}
	}
}

// readsWait reports whether reads wait for a round that has not begun.
func (c *core) readsWait() bool { return len(c.reads) > 0 && c.reads[len(c.reads)-1].round > c.round }

// confirmed is the last round in which this leader was followed by a quorum, or by all voters: replicas that are
// recovering prove something only together with every other one.
func (c *core) confirmed() uint64 {
	every := c.round
	quorum := c.quorumValue(func(n string) uint64 {
		if n == c.self {
			return c.round
		}
		p := c.peers[n]
		every = min(every, p.read)
		if p.recovering {
			return 0
		}
		return p.read
	})
	return max(quorum, every)
}

func (c *core) finishReads() {
	for {
		confirmed := c.confirmed()
		for len(c.reads) > 0 && c.reads[0].round <= confirmed {
			c.doneReads = append(c.doneReads, readResult{id: c.reads[0].id, index: c.reads[0].index, ok: true})
			c.reads = c.reads[1:]
		}
		if confirmed < c.round || !c.readsWait() {
			return
		}
		c.beginRound()
	}
}

// advance commits what a majority has stored. Entries of former terms are committed only together with one of
// the current term, since a majority alone does not keep a later leader from overwriting them.
func (c *core) advance() {
	index := c.quorumValue(func(n string) uint64 {
		switch {
		case n == c.self:
			return c.log.stored
		case c.peers[n].recovering:
			return 0
		}
		return c.peers[n].match
	})
	if t, _ := c.log.term(index); index <= c.commit || t != c.hard.Term && !c.off.skipTermCheck {
		return
	}
	c.commit = index
	c.manage()
	for _, m := range c.log.members() {
		if p := c.peers[m.Name]; p != nil {
			c.replicate(m.Name, p, true)
		}
	}
}

func (c *core) broadcast() {
	for _, m := range c.log.members() {
		if p := c.peers[m.Name]; p != nil {
			c.replicate(m.Name, p, false)
		}
	}
}

// replicate sends what the replica lacks; with always also when that is nothing.
func (c *core) replicate(name string, p *progress, always bool) {
	if p.snapshot != nil || p.probing && p.waiting {
		return
	}
	if _, ok := c.log.term(p.next - 1); !ok {
		c.startSnapshot(name, p)
		return
	}
	if p.next > c.log.last() && !always {
		return
	}
	c.sendAppend(name, p, c.size.batch)
}

// sendAppend sends entries from p.next on; with limit zero none, which makes it a heartbeat.
func (c *core) sendAppend(name string, p *progress, limit int) {
	prev := p.next - 1
	if p.snapshot != nil {
		prev = p.match
	}
	t, ok := c.log.term(prev)
	if !ok {
		prev, t = 0, 0
	}
	m := &encoder.Consensus{
		Kind: encoder.Consensus_APPEND, Index: prev, LogTerm: t, Commit: c.commit, Read: c.round,
		Recovered: c.recovered(p),
	}
	if limit > 0 {
		entries := c.log.slice(p.next, c.log.last(), limit)
		m.Entries = encodeEntries(entries)
		if p.probing {
			p.waiting = true
		} else {
			p.next += uint64(len(entries))
		}
	}
	c.send(name, m)
}

// recovered reports whether a recovering replica holds everything that can be committed, and this leader is known
// to have been the only one since the recovery was noticed.
func (c *core) recovered(p *progress) bool {
	if !p.recovering || c.confirmed() < p.proof {
		return false
	}
	return p.match == c.log.last() || p.match >= c.commit && c.ownCommit()
}

func (c *core) startSnapshot(name string, p *progress) {
	s := c.log.snapshot
	p.snapshot, p.offset, p.sum = &s, 0, xxhash.Sum64(s.Data)
	c.sendChunk(name, p)
}

func (c *core) sendChunk(name string, p *progress) {
	s := p.snapshot
	end := min(p.offset+uint64(c.size.chunk), uint64(len(s.Data)))
	p.sent = 0
	c.send(name, &encoder.Consensus{
		Kind: encoder.Consensus_SNAPSHOT, Index: s.Index, LogTerm: s.Term, Members: s.Membership,
		Offset: p.offset, Total: uint64(len(s.Data)), Sum: p.sum, Data: s.Data[p.offset:end], Read: c.round,
	})
}

// compact records a snapshot of the state machine at the applied index.
func (c *core) compact(data []byte) {
	index := c.applied
	t, ok := c.log.term(index)
	if !ok || index <= c.log.snapshot.Index || c.failed {
		return
	}
	s := sycamorevane.Snapshot{Index: index, Term: t, Membership: c.log.membersAt(index), Data: data}
	c.log.compact(s, c.size.keep)
	c.pendingSnap = &s
}

func encodeEntries(entries []sycamorevane.LogEntry) []*encoder.LogRecord {
	if len(entries) == 0 {
		return nil
	}
	records := make([]*encoder.LogRecord, 0, len(entries))
	for _, e := range entries {
		records = append(records, &encoder.LogRecord{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	return records
}
