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

// Durations in ticks; one tick is TickInterval (50 ms).
const (
	// electionTimeoutTicks is the minimum time without contact from the leader after which a voter campaigns: 1 s.
	electionTimeoutTicks = 20
	// electionJitterTicks limits the random time added to electionTimeoutTicks, so that voters rarely start elections at
	// the same time: 0.4 s.
	electionJitterTicks = 8
	// startupElectionTicks is the minimum election timeout after a start: 0.3 s, long enough to receive a heartbeat from
	// an existing leader. If that heartbeat is lost, the pre-vote does not disturb the leader.
	startupElectionTicks = 6
	// leaderLeaseTicks is how long a replica rejects candidates after the last contact from the leader. It is two ticks
	// shorter than electionTimeoutTicks, since the ticks of two replicas are not in phase.
	leaderLeaseTicks = electionTimeoutTicks - 2
	// electionRetryTicks is the minimum delay before the next attempt after an undecided election, and
	// electionRetryJitterTicks limits the random time added to it. Both are short, so that a second attempt still ends
	// within 2 s of the loss of the leader.
	electionRetryTicks       = 5
	electionRetryJitterTicks = 6
	// maxElectionBackoff limits the doublings of the retry delay after undecided elections in a row. A candidate gets its
	// votes only after it and the voters have written them to disk, which takes longer than the first delays on a slow one.
	maxElectionBackoff = 4
	// heartbeatTicks is the interval between heartbeats. Three of them fit into leaderLeaseTicks.
	heartbeatTicks = 5
	// chunkResendTicks is the delay before an unacknowledged snapshot chunk is sent again.
	chunkResendTicks = 10
	// responsiveTicks is the time since the last reply up to which a member counts as responsive: two heartbeats.
	responsiveTicks = 2 * heartbeatTicks
	// replaceableTicks is the time without a reply after which a host that joins may take the place of a voter: 2 s. It is
	// longer than an election, so that a new leader has heard from all members that run.
	replaceableTicks = 40
)

const (
	// maxAppendBytes limits the size of the entries in one append message.
	maxAppendBytes = 256 << 10
	// entryOverheadBytes is the approximate size of an encoded entry without its data.
	entryOverheadBytes = 16
	// snapshotChunkBytes is the size of a snapshot chunk. It is above the messenger's threshold for the bulk stream, so
	// that chunks do not delay heartbeats.
	snapshotChunkBytes = 64 << 10
	// maxSnapshotBytes limits the snapshot size that a chunk may announce, and with it the receive buffer.
	maxSnapshotBytes = 256 << 20
	// catchUpLogBytes is the size of the entries that stay in memory although a snapshot covers them, so that replicas
	// that are slightly behind can catch up without the snapshot.
	catchUpLogBytes = 512 << 10
)

// recoveringVote is the value that a recovering replica stores as its vote. It is not a valid host name.
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

// outboundMessage is a message and its recipient.
type outboundMessage struct {
	to  string
	msg *encoder.Consensus
}

// storeWrite holds the changes that must be written to the store, in field order, before further effects are released.
type storeWrite struct {
	hardState    *sycamorevane.HardState
	snapshot     *sycamorevane.Snapshot
	truncateFrom uint64
	entries      []sycamorevane.LogEntry
}

func (w *storeWrite) empty() bool {
	return w.hardState == nil && w.snapshot == nil && w.truncateFrom == 0 && len(w.entries) == 0
}

// readResult is the result of a read request. ok is false when this replica could not confirm its leadership.
type readResult struct {
	id    uint64
	index uint64
	ok    bool
}

// effects are the outputs of the core. Messages can be sent immediately. When write is not empty, writeDone must be
// called with the result of the write before any other input.
type effects struct {
	messages          []outboundMessage
	write             storeWrite
	snapshotToRestore *sycamorevane.Snapshot
	committedEntries  []sycamorevane.LogEntry
	readResults       []readResult
	// lostLogPeers names replicas that acknowledged entries earlier and are now recovering because they lost their log.
	lostLogPeers []string
	// departures lists the removals that this leader has started because a member no longer replies.
	departures []departure
	// campaigns lists the elections that this replica has started. silences is set when this replica has given up
	// leadership because no majority replied: the ticks since the last reply of each member.
	campaigns []campaignRecord
	silences  map[string]int
}

// campaignRecord describes an election for the log.
type campaignRecord struct {
	term, lastIndex uint64
	// undecided is the number of elections before it since a leader was known.
	undecided int
}

// departure is the removal of a member that no longer replies.
type departure struct {
	name string
	// successor is the host that joined in its place; empty for none.
	successor   string
	silentTicks int
	// responsive is the number of voters that replied recently, this leader included.
	responsive int
}

// removalPolicy says when a leader removes members that no longer reply. The zero value disables removal.
type removalPolicy struct {
	// silentTicks is the time without a reply after which a member is removed.
	silentTicks int
	// minVoters is the number of responsive voters below which no voter is removed.
	minVoters int
}

// disabledRules says which safety rules are disabled. Tests use it to show that the invariant checks detect a missing
// rule. The comment of each field says what a replica does without the rule.
type disabledRules struct {
	upToDateCheck    bool // vote for candidates whose log is not up-to-date
	votePersistence  bool // reply to vote requests before the vote is stored
	commitTermCheck  bool // commit entries of earlier terms by counting replicas
	readConfirmation bool // serve reads without confirming leadership
	prevLogCheck     bool // append entries without checking the term of the previous one
	entryPersistence bool // acknowledge entries before they are stored
	recovery         bool // let a replica that lost its log vote immediately
	membershipCheck  bool // start a membership change before the last one is committed
}

// byteLimits are the limits for messages and memory; newCore sets them from the constants, tests use smaller ones.
type byteLimits struct{ appendBytes, chunkBytes, catchUpBytes int }

// progress is the leader's view of one other member.
type progress struct {
	// matchIndex is the highest log index known to be replicated on the member, nextIndex the index of the next entry to
	// send.
	matchIndex uint64
	nextIndex  uint64
	// probing is true until the index at which the member's log matches is known. Until then only one append message is
	// sent at a time.
	probing bool
	// probeSent is true while probing and an append message is not acknowledged.
	probeSent bool
	// ticksSinceReply counts ticks since the last reply of the member.
	ticksSinceReply int
	// ackedRound is the last leadership confirmation round that the member acknowledged.
	ackedRound uint64
	// recovering is true while the member recovers its log. It then does not count for commits, and counts for leadership
	// confirmation only together with all other voters. It counts again when it has caught up and recoveryRound is
	// confirmed, a round that started after the leader noticed the recovery. Otherwise a leader that does not know of its
	// successor could get a majority through a member that no longer remembers the successor's election.
	recovering    bool
	recoveryRound uint64
	// pendingSnapshot is the snapshot being transferred to the member; nil when none is. snapshotOffset is the offset of
	// the current chunk, ticksSinceChunk the time since it was sent.
	pendingSnapshot  *sycamorevane.Snapshot
	snapshotChecksum uint64
	snapshotOffset   uint64
	ticksSinceChunk  int
}

// pendingRead is a read that waits for a leadership confirmation round. index is the read index to return.
type pendingRead struct {
	id    uint64
	round uint64
	index uint64
}

// incomingSnapshot is a snapshot that is being received from the leader in chunks.
type incomingSnapshot struct {
	term  uint64
	index uint64
	data  []byte
}

// core implements the Raft algorithm for one replica, without clock, sockets or files. It includes pre-vote, leader
// leases, read index, leadership transfer, learners and the recovery of replicas that lost their log.
type core struct {
	self     string
	rand     *rand.Rand
	disabled disabledRules
	limits   byteLimits
	removal  removalPolicy
	log      *log

	// persistedHardState is the hard state that the store holds.
	hardState          sycamorevane.HardState
	persistedHardState sycamorevane.HardState
	role               role
	leader             string
	// appliedIndex is the index of the last entry that was returned in effects for the state machine.
	commitIndex  uint64
	appliedIndex uint64
	// failed is true after an error of the store or the state machine. This core then takes no further part in consensus.
	failed bool
	// recovering is true while the replica may lack entries that it acknowledged and votes that it granted, because it may
	// have lost its disk. Recovery starts when a replica with a blank log is contacted by a leader or grants a conditional
	// vote, and ends when the leader reports that the log has caught up. Until then the replica does not campaign, and its
	// votes and replies count only together with those of all other voters.
	recovering bool

	// electionElapsed counts ticks since the last contact from the leader, granted vote or start of an election by this
	// replica.
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int
	// undecidedElections counts the elections of this replica since it last knew a leader.
	undecidedElections int
	// votes holds the replicas that granted their vote. The value is false for a conditional vote; see votesConditionally.
	votes map[string]bool
	peers map[string]*progress

	confirmationRound uint64
	pendingReads      []pendingRead
	incoming          *incomingSnapshot
	snapshotToRestore *sycamorevane.Snapshot

	messages           []outboundMessage // can be sent immediately
	messagesAfterWrite []outboundMessage // are sent after the pending write
	unsavedSnapshot    *sycamorevane.Snapshot
	readResults        []readResult
	lostLogPeers       []string
	departures         []departure
	campaigns          []campaignRecord
	silences           map[string]int
	// transferTarget is the voter to which leadership is being transferred; empty for none.
	transferTarget string
}

func newCore(self string, d sycamorevane.DurableState, r *rand.Rand) (*core, error) {
	l, err := newLog(d)
	if err != nil {
		return nil, errors.Annotate(err, "decoding the membership in the stored log")
	}
	c := &core{
		self: self, rand: r, log: l, hardState: d.HardState, persistedHardState: d.HardState,
		commitIndex: d.Snapshot.Index, appliedIndex: d.Snapshot.Index,
		limits: byteLimits{appendBytes: maxAppendBytes, chunkBytes: snapshotChunkBytes, catchUpBytes: catchUpLogBytes},
	}
	c.recovering = d.HardState.VotedFor == recoveringVote
	c.becomeFollower("")
	c.electionElapsed = electionTimeoutTicks - startupElectionTicks
	return c, nil
}

// bootstrapEntry returns the first log entry of a new cluster. It is identical on all hosts of the cluster.
func bootstrapEntry(voters []string) sycamorevane.LogEntry {
	names := slices.Compact(slices.Sorted(slices.Values(voters)))
	members := make([]Member, 0, len(names))
	for _, n := range names {
		members = append(members, Member{Name: n, Voter: true})
	}
	return sycamorevane.LogEntry{Index: 1, Term: 1, Kind: kindMembership, Data: encodeMembers(members)}
}

func (c *core) findMember(name string) (Member, bool) {
	for _, m := range c.log.members() {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// canCampaign reports whether this replica is a voter that is not recovering.
func (c *core) canCampaign() bool {
	m, _ := c.findMember(c.self)
	return m.Voter && !c.recovering
}

// logIsBlank reports whether the log holds no more than the bootstrap entry.
func (c *core) logIsBlank() bool { return c.log.lastIndex() <= 1 }

// votesConditionally reports whether this replica's vote for the candidate is conditional, that is, counts only when
// all other voters grant theirs. This is the case when the replica may have lost entries and votes with its disk: it is
// recovering, or its log is blank and the candidate's is not. Among blank logs votes are unconditional, so that a new
// cluster can elect its first leader.
func (c *core) votesConditionally(m *encoder.Consensus) bool {
	return c.recovering || c.logIsBlank() && m.Index > 1 && !c.disabled.recovery
}

// hasMajority reports whether f holds for a majority of the voters.
func (c *core) hasMajority(f func(name string) bool) bool {
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

// allVoters reports whether f holds for all voters.
func (c *core) allVoters(f func(name string) bool) bool {
	return !slices.ContainsFunc(c.log.members(), func(m Member) bool { return m.Voter && !f(m.Name) })
}

// majorityValue returns the largest value that a majority of the voters has reached.
func (c *core) majorityValue(f func(name string) uint64) uint64 {
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

// send queues a message. A leader's messages other than replies can be sent in parallel with its own write once its
// hard state is stored. All other messages are sent after the pending write.
func (c *core) send(to string, m *encoder.Consensus) {
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	if c.role == leader && c.hardState == c.persistedHardState && m.Kind != encoder.Consensus_APPEND_REPLY {
		c.messages = append(c.messages, outboundMessage{to, m})
		return
	}
	c.messagesAfterWrite = append(c.messagesAfterWrite, outboundMessage{to, m})
}

// takeEffects returns and clears the pending effects. It returns committed entries only after the store holds them.
func (c *core) takeEffects() effects {
	e := effects{messages: c.messages, readResults: c.readResults, lostLogPeers: c.lostLogPeers, departures: c.departures, campaigns: c.campaigns, silences: c.silences}
	c.messages, c.readResults, c.lostLogPeers, c.departures, c.campaigns, c.silences = nil, nil, nil, nil, nil, nil
	if c.failed {
		c.messagesAfterWrite = nil
		return e
	}
	e.write = c.pendingWrite()
	if c.disabled.entryPersistence || c.disabled.votePersistence && len(e.write.entries) == 0 {
		e.messages = append(e.messages, c.messagesAfterWrite...)
		c.messagesAfterWrite = nil
	}
	if !e.write.empty() {
		return e
	}
	e.messages = append(e.messages, c.messagesAfterWrite...)
	c.messagesAfterWrite = nil
	if c.snapshotToRestore != nil {
		e.snapshotToRestore = c.snapshotToRestore
		c.snapshotToRestore = nil
	}
	if upTo := min(c.commitIndex, c.log.persistedIndex); upTo > c.appliedIndex {
		e.committedEntries = c.log.slice(c.appliedIndex+1, upTo, c.limits.appendBytes)
		c.appliedIndex += uint64(len(e.committedEntries))
	}
	return e
}

func (c *core) pendingWrite() storeWrite {
	w := storeWrite{snapshot: c.unsavedSnapshot, truncateFrom: c.log.truncateFrom}
	if c.hardState != c.persistedHardState {
		hardState := c.hardState
		w.hardState = &hardState
	}
	if c.log.lastIndex() > c.log.persistedIndex {
		w.entries = c.log.entries[c.log.persistedIndex-c.log.baseIndex:]
	}
	return w
}

// writeDone handles the result of the write in the last effects. After an error the replica no longer takes part,
// because the content of the store is unknown.
func (c *core) writeDone(err error) {
	if err != nil {
		c.fail()
		return
	}
	c.persistedHardState = c.hardState
	c.unsavedSnapshot = nil
	c.log.truncateFrom = 0
	c.log.persistedIndex = c.log.lastIndex()
	c.messages = append(c.messages, c.messagesAfterWrite...)
	c.messagesAfterWrite = nil
	if c.role == leader {
		c.advanceCommit()
	}
}

func (c *core) fail() {
	c.failed = true
	c.becomeFollower("")
	c.messagesAfterWrite, c.messages = nil, nil
}

// tick advances time by one TickInterval.
func (c *core) tick() {
	c.electionElapsed++
	if c.failed {
		if c.electionElapsed >= electionTimeoutTicks {
			c.leader = ""
		}
		return
	}
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeout && c.canCampaign() {
		c.campaign(preCandidate, false)
	}
}

// tickLeader advances time on the leader. The leader steps down when fewer than a majority of the voters, itself
// included, have replied within electionTimeoutTicks. Recovering voters do not count unless all voters have replied.
func (c *core) tickLeader() {
	for _, p := range c.peers {
		p.ticksSinceReply++
		p.ticksSinceChunk++
	}
	respondedRecently := func(n string) bool { return n == c.self || c.peers[n].ticksSinceReply < electionTimeoutTicks }
	countsForMajority := func(n string) bool { return n == c.self || respondedRecently(n) && !c.peers[n].recovering }
	if !c.hasMajority(countsForMajority) && !c.allVoters(respondedRecently) {
		if noneResponded := c.allVoters(func(n string) bool { return n == c.self || !respondedRecently(n) }); noneResponded {
			c.transferWithoutContact()
		}
		c.silences = make(map[string]int, len(c.peers))
		for name, p := range c.peers {
			c.silences[name] = p.ticksSinceReply
		}
		c.becomeFollower("")
		return
	}
	c.advanceMembership()
	if c.hasQueuedReads() {
		c.startConfirmationRound() // The messages of the current round may be lost.
	}
	c.heartbeatElapsed++
	if c.role != leader || c.heartbeatElapsed < heartbeatTicks {
		return
	}
	c.transferTarget = ""
	c.sendHeartbeats()
}

func (c *core) sendHeartbeats() {
	c.heartbeatElapsed = 0
	for _, m := range c.log.members() {
		if m.Name == c.self {
			continue
		}
		p := c.peers[m.Name]
		if p.pendingSnapshot != nil && p.ticksSinceChunk < chunkResendTicks {
			c.sendAppend(m.Name, p, 0) // The heartbeat keeps the replica from starting an election.
			continue
		}
		if p.pendingSnapshot != nil {
			c.sendSnapshotChunk(m.Name, p)
		}
		p.probeSent = false
		c.replicate(m.Name, p, true)
	}
}

// becomeFollower makes the replica a follower in the current term. name is the leader; empty when none is known.
func (c *core) becomeFollower(name string) {
	c.rejectPendingReads()
	c.role, c.leader = follower, name
	if name != "" {
		c.undecidedElections = 0
	}
	c.peers, c.votes, c.transferTarget = nil, nil, ""
	c.resetElectionTimer()
	if c.incoming != nil && c.incoming.term != c.hardState.Term {
		c.incoming = nil
	}
}

// resetElectionTimer lets the replica wait a full election timeout before it campaigns.
func (c *core) resetElectionTimer() {
	c.electionElapsed = 0
	c.electionTimeout = electionTimeoutTicks + c.rand.IntN(electionJitterTicks)
}

// rejectPendingReads completes all pending reads with ok false.
func (c *core) rejectPendingReads() {
	for _, r := range c.pendingReads {
		c.readResults = append(c.readResults, readResult{id: r.id})
	}
	c.pendingReads = nil
}

// campaign starts a pre-vote or an election. With force, voters ignore their leader lease, as in a leadership transfer.
func (c *core) campaign(newRole role, force bool) {
	c.becomeFollower("")
	c.role = newRole
	c.electionTimeout = electionRetryTicks + c.rand.IntN(electionRetryJitterTicks)
	if newRole == candidate {
		c.electionTimeout <<= min(c.undecidedElections, maxElectionBackoff)
		c.undecidedElections++
	}
	c.votes = map[string]bool{c.self: true}
	m := encoder.Consensus{Kind: encoder.Consensus_PREVOTE, Term: c.hardState.Term + 1}
	if newRole == candidate {
		c.hardState = sycamorevane.HardState{Term: c.hardState.Term + 1, VotedFor: c.self}
		c.campaigns = append(c.campaigns, campaignRecord{c.hardState.Term, c.log.lastIndex(), c.undecidedElections - 1})
		m = encoder.Consensus{Kind: encoder.Consensus_VOTE, Term: c.hardState.Term, Force: force}
	}
	for _, r := range c.log.members() {
		if r.Voter && r.Name != c.self {
			c.send(r.Name, &encoder.Consensus{
				Kind: m.Kind, Term: m.Term, Force: force, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(),
			})
		}
	}
	c.countVotes()
}

// countVotes starts the election after a successful pre-vote and becomes leader after a successful election. Both
// succeed with unconditional votes from a majority of the voters, or with votes of either kind from all of them.
func (c *core) countVotes() {
	if !c.hasMajority(func(n string) bool { return c.votes[n] }) &&
		!c.allVoters(func(n string) bool { _, ok := c.votes[n]; return ok }) {
		return
	}
	if c.role == preCandidate {
		c.campaign(candidate, false)
		return
	}
	c.becomeLeader()
}

func (c *core) becomeLeader() {
	c.role, c.leader = leader, c.self
	c.undecidedElections = 0
	c.heartbeatElapsed, c.confirmationRound = 0, c.confirmationRound+1
	c.peers = make(map[string]*progress)
	c.syncPeers()
	c.appendEntry(kindNoop, nil)
	c.broadcastEntries()
}

// syncPeers adds and removes progress records so that they match the membership.
func (c *core) syncPeers() {
	names := sycamorevane.NewSet[string]()
	for _, m := range c.log.members() {
		names.Add(m.Name)
		if _, ok := c.peers[m.Name]; !ok && m.Name != c.self {
			c.peers[m.Name] = &progress{nextIndex: c.log.lastIndex() + 1, probing: true}
		}
	}
	for n := range c.peers {
		if !names.Has(n) {
			delete(c.peers, n)
		}
	}
}

func (c *core) appendEntry(kind uint8, data []byte) uint64 {
	e := sycamorevane.LogEntry{Index: c.log.lastIndex() + 1, Term: c.hardState.Term, Kind: kind, Data: data}
	if err := c.log.append(e); err != nil {
		panic(err) // append fails only for a membership that cannot be decoded, and the leader encoded this one itself.
	}
	if kind == kindMembership {
		c.syncPeers()
	}
	return e.Index
}

// propose appends a command and returns its index and term, or a *sycamorevane.NotLeaderError.
func (c *core) propose(data []byte) (index, term uint64, err error) {
	if c.role != leader || c.failed || c.transferTarget != "" {
		return 0, 0, &sycamorevane.NotLeaderError{Leader: c.leader}
	}
	index = c.appendEntry(kindCommand, data)
	c.broadcastEntries()
	return index, c.hardState.Term, nil
}

// committedInCurrentTerm reports whether an entry of the current term is committed. Only then does the leader's commit
// index cover all entries that earlier leaders committed.
func (c *core) committedInCurrentTerm() bool {
	t, _ := c.log.term(c.commitIndex)
	return t == c.hardState.Term
}

// readIndex requests an index that covers all commands acknowledged so far. The result appears in effects.readResults.
func (c *core) readIndex(id uint64) {
	if c.role != leader || !c.committedInCurrentTerm() {
		c.readResults = append(c.readResults, readResult{id: id})
		return
	}
	if c.disabled.readConfirmation {
		c.readResults = append(c.readResults, readResult{id: id, index: c.commitIndex, ok: true})
		return
	}
	// The current round started before this read and cannot confirm it. The next round starts when the current one is
	// confirmed and serves all reads that arrive in between: one round per read would use all the time of the leader of a
	// large cluster.
	c.pendingReads = append(c.pendingReads, pendingRead{id: id, round: c.confirmationRound + 1, index: c.commitIndex})
	if c.confirmedRound() >= c.confirmationRound {
		c.startConfirmationRound()
	}
	c.completeReads()
}

// startConfirmationRound asks all voters whether they still follow this leader.
func (c *core) startConfirmationRound() {
	c.confirmationRound++
	for _, m := range c.log.members() {
		if m.Name != c.self && m.Voter {
			c.sendAppend(m.Name, c.peers[m.Name], 0)
		}
	}
}

// hasQueuedReads reports whether there are reads that wait for a round that has not started.
func (c *core) hasQueuedReads() bool {
	return len(c.pendingReads) > 0 && c.pendingReads[len(c.pendingReads)-1].round > c.confirmationRound
}

// confirmedRound returns the last round that was acknowledged by a majority of voters that are not recovering, or by
// all voters. Acknowledgements of recovering replicas count only together with those of all other voters.
func (c *core) confirmedRound() uint64 {
	allAcked := c.confirmationRound
	majorityAcked := c.majorityValue(func(n string) uint64 {
		if n == c.self {
			return c.confirmationRound
		}
		p := c.peers[n]
		allAcked = min(allAcked, p.ackedRound)
		if p.recovering {
			return 0
		}
		return p.ackedRound
	})
	return max(majorityAcked, allAcked)
}

// completeReads completes the reads whose round is confirmed and starts the next round if more reads are queued.
func (c *core) completeReads() {
	for {
		confirmed := c.confirmedRound()
		for len(c.pendingReads) > 0 && c.pendingReads[0].round <= confirmed {
			c.readResults = append(c.readResults, readResult{id: c.pendingReads[0].id, index: c.pendingReads[0].index, ok: true})
			c.pendingReads = c.pendingReads[1:]
		}
		if confirmed < c.confirmationRound || !c.hasQueuedReads() {
			return
		}
		c.startConfirmationRound()
	}
}

// advanceCommit commits the entries that a majority has stored. Entries of earlier terms are committed only together
// with an entry of the current term, since a later leader may overwrite them even if a majority has stored them
// (section 5.4.2 of the Raft paper).
func (c *core) advanceCommit() {
	index := c.majorityValue(func(n string) uint64 {
		switch {
		case n == c.self:
			return c.log.persistedIndex
		case c.peers[n].recovering:
			return 0
		}
		return c.peers[n].matchIndex
	})
	if t, _ := c.log.term(index); index <= c.commitIndex || t != c.hardState.Term && !c.disabled.commitTermCheck {
		return
	}
	c.commitIndex = index
	c.advanceMembership()
	for _, m := range c.log.members() {
		if p := c.peers[m.Name]; p != nil {
			c.replicate(m.Name, p, true)
		}
	}
}

func (c *core) broadcastEntries() {
	for _, m := range c.log.members() {
		if p := c.peers[m.Name]; p != nil {
			c.replicate(m.Name, p, false)
		}
	}
}

// replicate sends the replica the entries or the snapshot that it lacks. If it lacks none, replicate sends an empty
// append message only if sendEmpty is set.
func (c *core) replicate(name string, p *progress, sendEmpty bool) {
	if p.pendingSnapshot != nil || p.probing && p.probeSent {
		return
	}
	if _, ok := c.log.term(p.nextIndex - 1); !ok {
		c.startSnapshotTransfer(name, p)
		return
	}
	if p.nextIndex > c.log.lastIndex() && !sendEmpty {
		return
	}
	c.sendAppend(name, p, c.limits.appendBytes)
}

// sendAppend sends entries starting at p.nextIndex. With maxBytes zero it sends a heartbeat without entries.
func (c *core) sendAppend(name string, p *progress, maxBytes int) {
	prev := p.nextIndex - 1
	if p.pendingSnapshot != nil {
		prev = p.matchIndex
	}
	t, ok := c.log.term(prev)
	if !ok {
		prev, t = 0, 0
	}
	m := &encoder.Consensus{
		Kind: encoder.Consensus_APPEND, Index: prev, LogTerm: t, Commit: c.commitIndex, Read: c.confirmationRound,
		Recovered: c.hasRecovered(p),
	}
	if maxBytes > 0 {
		entries := c.log.slice(p.nextIndex, c.log.lastIndex(), maxBytes)
		m.Entries = encodeEntries(entries)
		if p.probing {
			p.probeSent = true
		} else {
			p.nextIndex += uint64(len(entries))
		}
	}
	c.send(name, m)
}

// hasRecovered reports whether a recovering replica holds all entries that may be committed, and a confirmation round
// that started after the leader noticed the recovery has shown that there was no newer leader.
func (c *core) hasRecovered(p *progress) bool {
	if !p.recovering || c.confirmedRound() < p.recoveryRound {
		return false
	}
	return p.matchIndex == c.log.lastIndex() || p.matchIndex >= c.commitIndex && c.committedInCurrentTerm()
}

func (c *core) startSnapshotTransfer(name string, p *progress) {
	s := c.log.snapshot
	p.pendingSnapshot, p.snapshotOffset, p.snapshotChecksum = &s, 0, xxhash.Sum64(s.Data)
	c.sendSnapshotChunk(name, p)
}

func (c *core) sendSnapshotChunk(name string, p *progress) {
	s := p.pendingSnapshot
	end := min(p.snapshotOffset+uint64(c.limits.chunkBytes), uint64(len(s.Data)))
	p.ticksSinceChunk = 0
	c.send(name, &encoder.Consensus{
		Kind: encoder.Consensus_SNAPSHOT, Index: s.Index, LogTerm: s.Term, Members: s.Membership,
		Offset: p.snapshotOffset, Total: uint64(len(s.Data)), Sum: p.snapshotChecksum,
		Data: s.Data[p.snapshotOffset:end], Read: c.confirmationRound,
	})
}

// compact records a snapshot of the state machine at the applied index and removes old entries from memory.
func (c *core) compact(data []byte) {
	index := c.appliedIndex
	t, ok := c.log.term(index)
	if !ok || index <= c.log.snapshot.Index || c.failed {
		return
	}
	s := sycamorevane.Snapshot{Index: index, Term: t, Membership: c.log.encodedMembersAt(index), Data: data}
	c.log.compact(s, c.limits.catchUpBytes)
	c.unsavedSnapshot = &s
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
