package replicator

import (
	"github.com/cespare/xxhash/v2"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// step handles a message from another replica. Messages may be lost, delayed, reordered and duplicated.
func (c *core) step(from string, m *encoder.Consensus) {
	if from == c.self {
		return
	}
	if c.failed {
		c.observeLeader(from, m)
		return
	}
	if m.Term > c.hardState.Term && !c.handleNewerTerm(from, m) {
		return
	}
	if m.Term < c.hardState.Term {
		c.handleOlderTerm(from, m)
		return
	}
	switch m.Kind {
	case encoder.Consensus_PREVOTE:
		c.handlePreVote(from, m)
	case encoder.Consensus_VOTE:
		c.handleVote(from, m)
	case encoder.Consensus_PREVOTE_REPLY, encoder.Consensus_VOTE_REPLY:
		c.handleVoteReply(from, m)
	case encoder.Consensus_APPEND:
		c.recordLeaderContact(from)
		c.handleAppend(from, m)
	case encoder.Consensus_SNAPSHOT:
		c.recordLeaderContact(from)
		c.handleSnapshotChunk(from, m)
	case encoder.Consensus_APPEND_REPLY, encoder.Consensus_SNAPSHOT_REPLY:
		c.handleReply(from, m)
	case encoder.Consensus_ELECT:
		if c.role != leader && c.canCampaign() {
			c.campaign(candidate, true)
		}
	}
}

// observeLeader tracks the leader on a replica whose store failed, so that it can still forward requests.
func (c *core) observeLeader(from string, m *encoder.Consensus) {
	fromLeader := m.Kind == encoder.Consensus_APPEND || m.Kind == encoder.Consensus_SNAPSHOT
	if fromLeader && m.Term >= c.hardState.Term {
		c.hardState.Term, c.leader, c.electionElapsed = m.Term, from, 0
	}
}

// handleNewerTerm adopts the higher term of a message and reports whether the message is to be handled. Pre-vote
// requests and granted pre-votes do not change the term. Vote requests within the leader lease are ignored unless they
// are forced.
func (c *core) handleNewerTerm(from string, m *encoder.Consensus) bool {
	switch m.Kind {
	case encoder.Consensus_PREVOTE:
		return true
	case encoder.Consensus_PREVOTE_REPLY:
		if !m.Reject {
			return true
		}
	case encoder.Consensus_VOTE:
		if c.hasLeaderLease() && !m.Force {
			return false
		}
	}
	c.hardState = sycamorevane.HardState{Term: m.Term}
	if c.recovering {
		c.hardState.VotedFor = recoveringVote
	}
	elapsed, timeout, ledItself := c.electionElapsed, c.electionTimeout, c.role == leader
	c.becomeFollower("")
	if !ledItself {
		// A candidate that gets no vote here must not keep this replica from campaigning: its log may be too old to win.
		c.electionElapsed, c.electionTimeout = elapsed, timeout
	}
	return true
}

// handleOlderTerm rejects a pre-vote request or a leader's message of an older term, so that the sender learns the
// current term.
func (c *core) handleOlderTerm(from string, m *encoder.Consensus) {
	switch m.Kind {
	case encoder.Consensus_PREVOTE:
		c.send(from, &encoder.Consensus{Kind: encoder.Consensus_PREVOTE_REPLY, Reject: true})
	case encoder.Consensus_APPEND, encoder.Consensus_SNAPSHOT:
		c.send(from, &encoder.Consensus{Kind: encoder.Consensus_APPEND_REPLY, Reject: true})
	}
}

// hasLeaderLease reports whether there was contact from a leader so recently that an election would only disturb it.
func (c *core) hasLeaderLease() bool {
	return c.role == leader || c.leader != "" && c.electionElapsed < leaderLeaseTicks
}

// recordLeaderContact records a message from the leader of the current term. If the replica has not voted in this term,
// its vote is set to the leader, so that it cannot vote for another candidate of the term.
func (c *core) recordLeaderContact(from string) {
	if c.role != follower || c.leader != from {
		c.becomeFollower(from)
	}
	switch {
	case c.logIsBlank() && !c.recovering && c.hardState.VotedFor != from && !c.disabled.recovery:
		// A replica with a blank log may have lost its disk, so it must recover unless it voted for this leader. The first
		// leader of a new cluster has the votes of a majority of blank replicas, and these need no recovery.
		c.recovering, c.hardState.VotedFor = true, recoveringVote
	case c.hardState.VotedFor == "":
		c.hardState.VotedFor = from
	}
	c.electionElapsed = 0
}

// candidateUpToDate reports whether the candidate's log is at least as up-to-date as this one, as defined in section
// 5.4.1 of the Raft paper.
func (c *core) candidateUpToDate(m *encoder.Consensus) bool {
	if c.disabled.upToDateCheck {
		return true
	}
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

// logAllowsVote reports whether the candidate's log allows a vote for it. A recovering replica does not compare the
// logs, since its entries do not count as acknowledged.
func (c *core) logAllowsVote(m *encoder.Consensus) bool {
	return c.log.members() != nil && (c.recovering || c.candidateUpToDate(m))
}

func (c *core) handlePreVote(from string, m *encoder.Consensus) {
	voteAvailable := m.Term > c.hardState.Term || c.hardState.VotedFor == "" || c.hardState.VotedFor == from || c.recovering
	// Of two pre-candidates that start in the same tick, only one may continue. Otherwise each would vote for itself and
	// neither would get a majority.
	yieldsToPeer := c.role == preCandidate && c.electionElapsed <= 1 && from < c.self
	grant := voteAvailable && !yieldsToPeer && !c.hasLeaderLease() && c.logAllowsVote(m)
	reply := &encoder.Consensus{Kind: encoder.Consensus_PREVOTE_REPLY, Reject: !grant, Recovering: c.votesConditionally(m)}
	if grant {
		reply.Term = m.Term
	}
	c.send(from, reply)
}

func (c *core) handleVote(from string, m *encoder.Consensus) {
	conditional := c.votesConditionally(m)
	voteAvailable := c.hardState.VotedFor == "" || c.hardState.VotedFor == from || c.recovering
	grant := voteAvailable && c.role == follower && c.leader == "" && c.logAllowsVote(m)
	switch {
	case grant && conditional:
		// The candidate's name need not be stored: a conditional vote counts only for a candidate that has the votes of all
		// voters, and two candidates of a term cannot both have that, since each votes for itself.
		c.recovering, c.hardState.VotedFor = true, recoveringVote
	case grant:
		c.hardState.VotedFor = from
	}
	if grant {
		c.resetElectionTimer()
	}
	c.send(from, &encoder.Consensus{Kind: encoder.Consensus_VOTE_REPLY, Reject: !grant, Recovering: conditional})
}

func (c *core) handleVoteReply(from string, m *encoder.Consensus) {
	matchesPreVote := m.Kind == encoder.Consensus_PREVOTE_REPLY && c.role == preCandidate && m.Term == c.hardState.Term+1
	matchesVote := m.Kind == encoder.Consensus_VOTE_REPLY && c.role == candidate && m.Term == c.hardState.Term
	if m.Reject || !matchesPreVote && !matchesVote {
		return
	}
	c.votes[from] = !m.Recovering
	c.countVotes()
}

// replyToLeader sends a reply to the leader with the recovery state of this replica.
func (c *core) replyToLeader(to string, m *encoder.Consensus) {
	m.Recovering = c.recovering
	c.send(to, m)
}

func (c *core) handleAppend(from string, m *encoder.Consensus) {
	reply := &encoder.Consensus{Kind: encoder.Consensus_APPEND_REPLY, Index: m.Index, Read: m.Read}
	t, ok := c.log.term(m.Index)
	switch {
	case m.Index < c.commitIndex:
		// Committed entries are identical on all replicas. Those that this log already holds are skipped.
	case !ok || t != m.LogTerm && !c.disabled.prevLogCheck:
		reply.Reject = true
		reply.Hint = c.conflictHint(m.Index)
		c.replyToLeader(from, reply)
		return
	}
	lastNew := m.Index
	for _, r := range m.Entries {
		lastNew = r.Index
		if !c.appendFromLeader(r) {
			return
		}
	}
	c.commitIndex = max(c.commitIndex, min(m.Commit, lastNew))
	if c.recovering && m.Recovered && lastNew >= m.Commit {
		c.recovering, c.hardState.VotedFor = false, from
	}
	reply.Index = lastNew
	c.replyToLeader(from, reply)
}

// appendFromLeader appends one entry from the leader and first removes a conflicting entry and all that follow it. It
// returns false if the entry cannot be decoded or does not follow the last entry of the log.
func (c *core) appendFromLeader(r *encoder.LogRecord) bool {
	if r.Index <= c.commitIndex {
		return true
	}
	if t, ok := c.log.term(r.Index); ok {
		if t == r.Term {
			return true
		}
		c.log.truncate(r.Index)
	}
	if r.Index != c.log.lastIndex()+1 {
		return false
	}
	e := sycamorevane.LogEntry{Index: r.Index, Term: r.Term, Kind: uint8(r.Kind), Data: r.Data}
	return c.log.append(e) == nil
}

// conflictHint returns the last index at which this log may match the leader's, given that they differ at prev. It
// skips all entries of the conflicting term.
func (c *core) conflictHint(prev uint64) uint64 {
	if prev > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	conflictTerm, _ := c.log.term(prev)
	i := prev
	for i > c.commitIndex {
		if t, ok := c.log.term(i); !ok || t != conflictTerm {
			break
		}
		i--
	}
	return i
}

// handleReply handles a reply to an append message or a snapshot chunk on the leader.
func (c *core) handleReply(from string, m *encoder.Consensus) {
	p := c.peers[from]
	if c.role != leader || p == nil {
		return
	}
	p.ticksSinceReply = 0
	c.updateRecovery(from, p, m)
	if m.Read > p.ackedRound {
		p.ackedRound = m.Read
		c.completeReads()
	}
	switch {
	case m.Kind == encoder.Consensus_SNAPSHOT_REPLY:
		c.handleChunkReply(from, p, m)
	case m.Reject:
		c.handleReject(from, p, m)
	default:
		c.handleMatch(from, p, m.Index)
	}
}

// updateRecovery resets the progress of a member that starts to recover, since its earlier acknowledgements no longer
// count. It clears recovering when the member has recovered.
func (c *core) updateRecovery(from string, p *progress, m *encoder.Consensus) {
	if !m.Recovering {
		p.recovering = false
		return
	}
	if p.recovering {
		return
	}
	if p.matchIndex > 1 {
		c.lostLogPeers = append(c.lostLogPeers, from)
	}
	c.confirmationRound++
	*p = progress{nextIndex: c.log.lastIndex() + 1, probing: true, recovering: true, recoveryRound: c.confirmationRound}
}

func (c *core) handleReject(from string, p *progress, m *encoder.Consensus) {
	if m.Index <= p.matchIndex || m.Index >= p.nextIndex || p.pendingSnapshot != nil {
		return
	}
	p.nextIndex = max(min(m.Index, m.Hint+1), p.matchIndex+1)
	p.probing, p.probeSent = true, false
	c.replicate(from, p, true)
}

func (c *core) handleMatch(from string, p *progress, index uint64) {
	if index > c.log.lastIndex() {
		return
	}
	if p.pendingSnapshot != nil {
		if index < p.pendingSnapshot.Index {
			return
		}
		p.pendingSnapshot = nil
		p.nextIndex = index + 1
	}
	if p.probing && index+1 >= p.nextIndex {
		p.probing, p.probeSent = false, false
	}
	p.nextIndex = max(p.nextIndex, index+1)
	if index > p.matchIndex {
		p.matchIndex = index
		c.advanceCommit()
	}
	if c.role == leader && c.peers[from] == p {
		c.replicate(from, p, false)
	}
}

// handleSnapshotChunk collects the chunks of a snapshot in order. The reply holds the offset of the next chunk.
func (c *core) handleSnapshotChunk(from string, m *encoder.Consensus) {
	if m.Index <= c.commitIndex {
		c.replyToLeader(from, &encoder.Consensus{Kind: encoder.Consensus_APPEND_REPLY, Index: c.commitIndex, Read: m.Read})
		return
	}
	if m.Total > maxSnapshotBytes {
		return
	}
	if c.incoming == nil || c.incoming.term != m.Term || c.incoming.index != m.Index {
		c.incoming = &incomingSnapshot{term: m.Term, index: m.Index}
	}
	incoming := c.incoming
	if m.Offset == uint64(len(incoming.data)) && m.Offset+uint64(len(m.Data)) <= m.Total {
		incoming.data = append(incoming.data, m.Data...)
	}
	if uint64(len(incoming.data)) == m.Total {
		c.incoming = nil
		if xxhash.Sum64(incoming.data) == m.Sum {
			c.installSnapshot(from, m, incoming.data)
		}
		// On a checksum mismatch there is no reply. The leader resends the last chunk, and the reply then asks for offset 0.
		return
	}
	c.replyToLeader(from, &encoder.Consensus{
		Kind: encoder.Consensus_SNAPSHOT_REPLY, Index: m.Index, Offset: uint64(len(incoming.data)), Read: m.Read,
	})
}

// installSnapshot replaces the log by a complete snapshot from the leader.
func (c *core) installSnapshot(from string, m *encoder.Consensus, data []byte) {
	s := sycamorevane.Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Members, Data: data}
	if err := c.log.restore(s); err != nil {
		return
	}
	c.unsavedSnapshot, c.snapshotToRestore = &s, &s
	c.commitIndex, c.appliedIndex = s.Index, s.Index
	c.replyToLeader(from, &encoder.Consensus{Kind: encoder.Consensus_APPEND_REPLY, Index: s.Index, Read: m.Read})
}

func (c *core) handleChunkReply(from string, p *progress, m *encoder.Consensus) {
	if p.pendingSnapshot == nil || p.pendingSnapshot.Index != m.Index || m.Offset > uint64(len(p.pendingSnapshot.Data)) {
		return
	}
	if m.Offset == p.snapshotOffset && p.snapshotOffset > 0 {
		return // A duplicate reply. The chunk was already sent and is resent after chunkResendTicks.
	}
	p.snapshotOffset = m.Offset
	c.sendSnapshotChunk(from, p)
}
