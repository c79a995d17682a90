package replicator

import (
	"github.com/cespare/xxhash/v2"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// step handles one message of another replica. Messages may be lost, delayed, reordered and duplicated.
func (c *core) step(from string, m *encoder.Consensus) {
	if from == c.self {
		return
	}
	if c.failed {
		c.observe(from, m)
		return
	}
	if m.Term > c.hard.Term && !c.newerTerm(from, m) {
		return
	}
	if m.Term < c.hard.Term {
		c.olderTerm(from, m)
		return
	}
	switch m.Kind {
	case encoder.Consensus_PREVOTE:
		c.onPreVote(from, m)
	case encoder.Consensus_VOTE:
		c.onVote(from, m)
	case encoder.Consensus_PREVOTE_REPLY, encoder.Consensus_VOTE_REPLY:
		c.onVoteReply(from, m)
	case encoder.Consensus_APPEND:
		c.hear(from)
		c.onAppend(from, m)
	case encoder.Consensus_SNAPSHOT:
		c.hear(from)
		c.onChunk(from, m)
	case encoder.Consensus_APPEND_REPLY, encoder.Consensus_SNAPSHOT_REPLY:
		c.onReply(from, m)
	case encoder.Consensus_ELECT:
		if c.role != leader && c.voter() {
			c.campaign(candidate, true)
		}
	}
}

// observe lets a replica whose store failed know the leader, so that it can still forward requests.
func (c *core) observe(from string, m *encoder.Consensus) {
	leads := m.Kind == encoder.Consensus_APPEND || m.Kind == encoder.Consensus_SNAPSHOT
	if leads && m.Term >= c.hard.Term {
		c.hard.Term, c.leader, c.elapsed = m.Term, from, 0
	}
}

// newerTerm adopts a higher term and reports whether the message is to be handled. Pre-votes change no term.
func (c *core) newerTerm(from string, m *encoder.Consensus) bool {
	switch m.Kind {
	case encoder.Consensus_PREVOTE:
		return true
	case encoder.Consensus_PREVOTE_REPLY:
		if !m.Reject {
			return true
		}
	case encoder.Consensus_VOTE:
		if c.leased() && !m.Force {
			return false
		}
	}
	c.hard = sycamorevane.HardState{Term: m.Term}
	if c.recovering {
		c.hard.VotedFor = recoveringVote
	}
	c.follow("")
	return true
}

// olderTerm tells senders that still act on an old term about the current one.
func (c *core) olderTerm(from string, m *encoder.Consensus) {
	switch m.Kind {
	case encoder.Consensus_PREVOTE:
		c.send(from, &encoder.Consensus{Kind: encoder.Consensus_PREVOTE_REPLY, Reject: true})
	case encoder.Consensus_APPEND, encoder.Consensus_SNAPSHOT:
		c.send(from, &encoder.Consensus{Kind: encoder.Consensus_APPEND_REPLY, Reject: true})
	}
}

// leased reports whether a leader was heard so recently that an election would only disturb it.
func (c *core) leased() bool {
	return c.role == leader || c.leader != "" && c.elapsed < leaseTicks
}

// hear notes a sign of life of the leader of the current term. The term's vote is spent on it, so that this
// replica can never help a second candidate of the term.
func (c *core) hear(from string) {
	if c.role != follower || c.leader != from {
		c.follow(from)
	}
	switch {
	case c.blank() && !c.recovering && c.hard.VotedFor != from && !c.off.skipRecover:
		// A leader of a new cluster has the votes of a majority of empty logs, which need no recovery.
		c.recovering, c.hard.VotedFor = true, recoveringVote
	case c.hard.VotedFor == "":
		c.hard.VotedFor = from
	}
	c.elapsed = 0
}

// fresh reports whether the candidate's log is at least as complete as this one.
func (c *core) fresh(m *encoder.Consensus) bool {
	if c.off.skipLogCheck {
		return true
	}
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

// suits reports whether the candidate may get this replica's vote as far as the log is concerned. The log of a
// recovering replica has no say, since none of its entries count as acknowledged.
func (c *core) suits(m *encoder.Consensus) bool {
	return c.log.members() != nil && (c.recovering || c.fresh(m))
}

func (c *core) onPreVote(from string, m *encoder.Consensus) {
	free := m.Term > c.hard.Term || c.hard.VotedFor == "" || c.hard.VotedFor == from || c.recovering
	// Of two that ask in the same tick only one goes on; otherwise each would vote for itself and both would lose.
	tied := c.role == preCandidate && c.elapsed <= 1 && from < c.self
	grant := free && !tied && !c.leased() && c.suits(m)
	reply := &encoder.Consensus{Kind: encoder.Consensus_PREVOTE_REPLY, Reject: !grant, Recovering: c.weak(m)}
	if grant {
		reply.Term = m.Term
	}
	c.send(from, reply)
}

func (c *core) onVote(from string, m *encoder.Consensus) {
	weak := c.weak(m)
	free := c.hard.VotedFor == "" || c.hard.VotedFor == from || c.recovering
	grant := free && c.role == follower && c.leader == "" && c.suits(m)
	switch {
	case grant && weak:
		// Need not be remembered: two candidates cannot both have the votes of all, each other's included.
		c.recovering, c.hard.VotedFor = true, recoveringVote
	case grant:
		c.hard.VotedFor = from
	}
	if grant {
		c.elapsed = 0
	}
	c.send(from, &encoder.Consensus{Kind: encoder.Consensus_VOTE_REPLY, Reject: !grant, Recovering: weak})
}

func (c *core) onVoteReply(from string, m *encoder.Consensus) {
	pre := m.Kind == encoder.Consensus_PREVOTE_REPLY && c.role == preCandidate && m.Term == c.hard.Term+1
	real := m.Kind == encoder.Consensus_VOTE_REPLY && c.role == candidate && m.Term == c.hard.Term
	if m.Reject || !pre && !real {
		return
	}
	c.votes[from] = !m.Recovering
	c.count()
}

// reply answers the leader.
func (c *core) reply(to string, m *encoder.Consensus) {
	m.Recovering = c.recovering
	c.send(to, m)
}

func (c *core) onAppend(from string, m *encoder.Consensus) {
	reply := &encoder.Consensus{Kind: encoder.Consensus_APPEND_REPLY, Index: m.Index, Read: m.Read}
	t, ok := c.log.term(m.Index)
	switch {
	case m.Index < c.commit:
		// Committed entries are identical everywhere; skip those that are already here.
	case !ok || t != m.LogTerm && !c.off.skipPrevCheck:
		reply.Reject = true
		reply.Hint = c.hint(m.Index)
		c.reply(from, reply)
		return
	}
	last := m.Index
	for _, r := range m.Entries {
		last = r.Index
		if !c.accept(r) {
			return
		}
	}
	c.commit = max(c.commit, min(m.Commit, last))
	if c.recovering && m.Recovered && last >= m.Commit {
		c.recovering, c.hard.VotedFor = false, from
	}
	reply.Index = last
	c.reply(from, reply)
}

// accept adds one entry of the leader, replacing a conflicting tail. It reports false for an entry that cannot
// be decoded or does not follow the log.
func (c *core) accept(r *encoder.LogRecord) bool {
	if r.Index <= c.commit {
		return true
	}
	if t, ok := c.log.term(r.Index); ok {
		if t == r.Term {
			return true
		}
		c.log.cut(r.Index)
	}
	if r.Index != c.log.last()+1 {
		return false
	}
	e := sycamorevane.LogEntry{Index: r.Index, Term: r.Term, Kind: uint8(r.Kind), Data: r.Data}
	return c.log.append(e) == nil
}

// hint returns the last index at which the log may agree with the leader's, given that it differs at prev.
func (c *core) hint(prev uint64) uint64 {
	if prev > c.log.last() {
		return c.log.last()
	}
	conflict, _ := c.log.term(prev)
	i := prev
	for i > c.commit {
		if t, ok := c.log.term(i); !ok || t != conflict {
			break
		}
		i--
	}
	return i
}

// onReply handles the answers to appends and snapshot chunks at the leader.
func (c *core) onReply(from string, m *encoder.Consensus) {
	p := c.peers[from]
	if c.role != leader || p == nil {
		return
	}
	p.heard = 0
	c.noteRecovery(from, p, m)
	if m.Read > p.read {
		p.read = m.Read
		c.finishReads()
	}
	switch {
	case m.Kind == encoder.Consensus_SNAPSHOT_REPLY:
		c.onChunkReply(from, p, m)
	case m.Reject:
		c.onReject(from, p, m)
	default:
		c.onMatch(from, p, m.Index)
	}
}

// noteRecovery starts over with a replica that has lost its log: what it acknowledged before no longer counts.
func (c *core) noteRecovery(from string, p *progress, m *encoder.Consensus) {
	if !m.Recovering {
		p.recovering = false
		return
	}
	if p.recovering {
		return
	}
	if p.match > 1 {
		c.lost = append(c.lost, from)
	}
	c.round++
	*p = progress{next: c.log.last() + 1, probing: true, recovering: true, proof: c.round}
}

func (c *core) onReject(from string, p *progress, m *encoder.Consensus) {
	if m.Index <= p.match || m.Index >= p.next || p.snapshot != nil {
		return
	}
	p.next = max(min(m.Index, m.Hint+1), p.match+1)
	p.probing, p.waiting = true, false
	c.replicate(from, p, true)
}

func (c *core) onMatch(from string, p *progress, index uint64) {
	if index > c.log.last() {
		return
	}
	if p.snapshot != nil {
		if index < p.snapshot.Index {
			return
		}
		p.snapshot = nil
		p.next = index + 1
	}
	if p.probing && index+1 >= p.next {
		p.probing, p.waiting = false, false
	}
	p.next = max(p.next, index+1)
	if index > p.match {
		p.match = index
		c.advance()
	}
	if c.role == leader && c.peers[from] == p {
		c.replicate(from, p, false)
	}
}

// onChunk collects the chunks of a snapshot in order and asks for the next byte that is missing.
func (c *core) onChunk(from string, m *encoder.Consensus) {
	if m.Index <= c.commit {
		c.reply(from, &encoder.Consensus{Kind: encoder.Consensus_APPEND_REPLY, Index: c.commit, Read: m.Read})
		return
	}
	if m.Total > maxSnapshot {
		return
	}
	if c.partial == nil || c.partial.term != m.Term || c.partial.index != m.Index {
		c.partial = &incoming{term: m.Term, index: m.Index}
	}
	in := c.partial
	if m.Offset == uint64(len(in.data)) && m.Offset+uint64(len(m.Data)) <= m.Total {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) == m.Total {
		c.partial = nil
		if xxhash.Sum64(in.data) == m.Sum {
			c.install(from, m, in.data)
		}
		return // After a wrong sum the leader sends its last chunk again and is asked to start over.
	}
	c.reply(from, &encoder.Consensus{
		Kind: encoder.Consensus_SNAPSHOT_REPLY, Index: m.Index, Offset: uint64(len(in.data)), Read: m.Read,
	})
}

func (c *core) install(from string, m *encoder.Consensus, data []byte) {
	s := sycamorevane.Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Members, Data: data}
	if err := c.log.restore(s); err != nil {
		return
	}
	c.pendingSnap, c.restored = &s, &s
	c.commit, c.applied = s.Index, s.Index
	c.reply(from, &encoder.Consensus{Kind: encoder.Consensus_APPEND_REPLY, Index: s.Index, Read: m.Read})
}

func (c *core) onChunkReply(from string, p *progress, m *encoder.Consensus) {
	if p.snapshot == nil || p.snapshot.Index != m.Index || m.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	if m.Offset == p.offset && p.offset > 0 {
		return // A duplicate; the chunk is on its way or is sent again after resendTicks.
	}
	p.offset = m.Offset
	c.sendChunk(from, p)
}
