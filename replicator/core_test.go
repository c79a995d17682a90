package replicator

import (
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/encoder"
)

// awaitLeader ticks all hosts until one of them leads and has applied its whole log. It returns this host and the
// number of ticks.
func (s *sim) awaitLeader(t testing.TB) (h *host, ticks int) {
	t.Helper()
	for ticks = 0; ticks < 1000; ticks++ {
		if h = s.randomLeader(); h != nil && h.core.appliedIndex >= h.core.log.lastIndex() {
			require.Empty(t, s.violation)
			return h, ticks
		}
		s.tickAll(1)
	}
	t.Fatal("no leader after 1000 ticks")
	return nil, 0
}

// isolate blocks or unblocks the links to a host and those from it.
func (s *sim) isolate(name string, blockInbound, blockOutbound bool) {
	for _, n := range s.names {
		s.blockedLinks[[2]string{n, name}] = blockInbound
		s.blockedLinks[[2]string{name, n}] = blockOutbound
	}
}

// Guards against elections that take longer than the 1 to 2 s of the design after the loss of a leader, or that start
// when the leader's messages are only delayed for a short time.
func TestElectionTime(t *testing.T) {
	for _, size := range []int{3, 5} {
		var durations []time.Duration
		for seed := range uint64(500) {
			s := newSim(size, seed, faultProbabilities{}, disabledRules{})
			h, _ := s.awaitLeader(t)
			s.tickAll(30)
			h.core = nil
			_, n := s.awaitLeader(t)
			durations = append(durations, time.Duration(n)*TickInterval)
		}
		slices.Sort(durations)
		t.Logf("%d hosts: shortest %v, median %v, p99 %v, longest %v", size,
			durations[0], durations[len(durations)/2], durations[len(durations)*99/100], durations[len(durations)-1])
		require.GreaterOrEqual(t, durations[0], 750*time.Millisecond,
			"a short delay of the leader would cause an election this early")
		require.LessOrEqual(t, durations[len(durations)-1], 2*time.Second)
	}
}

// Guards against a cluster that commits no commands for more than 1.5 s after it lost its leader, in any of the ways
// below. The time includes the writes of slow disks and one round trip for the first command.
func TestOrdersAfterALostLeader(t *testing.T) {
	const bound, writeTime = 1500 * time.Millisecond, 4 * 5 * time.Millisecond
	losses := map[string]func(s *sim, h *host){
		"killed":          func(_ *sim, h *host) { h.core = nil },
		"frozen":          func(s *sim, h *host) { s.isolate(h.name, true, true) },
		"not heard":       func(s *sim, h *host) { s.isolate(h.name, false, true) },
		"cut off one way": func(s *sim, h *host) { s.isolate(h.name, true, false) },
	}
	for name, loseLeader := range losses {
		t.Run(name, func(t *testing.T) {
			var durations []time.Duration
			for seed := range uint64(100) {
				s := newSim(5, seed, faultProbabilities{}, disabledRules{})
				old, _ := s.awaitLeader(t)
				s.tickAll(30)
				loseLeader(s, old)
				n := 0
				for next := old; next == old || next == nil; n++ {
					require.Less(t, n, 200)
					s.tickAll(1)
					next = s.leaderWithOwnCommit(old)
				}
				durations = append(durations, time.Duration(n)*TickInterval+writeTime)
			}
			slices.Sort(durations)
			t.Logf("median %v, p99 %v, longest %v",
				durations[len(durations)/2], durations[len(durations)*99/100], durations[len(durations)-1])
			require.LessOrEqual(t, durations[len(durations)*99/100], bound)
		})
	}
}

// leaderWithOwnCommit returns a leader other than old that has committed an entry of its own term, or nil.
func (s *sim) leaderWithOwnCommit(old *host) *host {
	for _, name := range s.names {
		h := s.hosts[name]
		if h == old || h.core == nil || h.core.role != leader {
			continue
		}
		if term, ok := h.core.log.term(h.core.commitIndex); ok && term == h.core.hardState.Term {
			return h
		}
	}
	return nil
}

// Guards against a planned stop of a leader that leaves the cluster without a leader for an election timeout.
func TestHandOver(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(3, seed, faultProbabilities{}, disabledRules{})
		h, _ := s.awaitLeader(t)
		s.tickAll(30)
		h.core.transferLeadership()
		s.processEffects(h)
		s.tickAll(2)
		next, n := s.awaitLeader(t)
		require.NotEqual(t, h.name, next.name)
		require.Zero(t, n)
	}
}

// Guards against a partitioned follower that causes a change of the leader or the term although the leader has a
// majority without it.
func TestSteadyLeader(t *testing.T) {
	cases := []struct {
		name    string
		in, out bool
	}{
		{"follower cut off", true, true},
		{"follower hears nothing", true, false},
		{"follower is not heard", false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(50) {
				s := newSim(3, seed, faultProbabilities{}, disabledRules{})
				h, _ := s.awaitLeader(t)
				term := h.core.hardState.Term
				for _, n := range s.names {
					if n != h.name {
						s.isolate(n, c.in, c.out)
						break
					}
				}
				s.tickAll(300)
				clear(s.blockedLinks)
				s.tickAll(100)
				next, _ := s.awaitLeader(t)
				require.Equal(t, h.name, next.name)
				require.Equal(t, term, next.core.hardState.Term)
			}
		})
	}
}

// Guards against a leader that does not step down after it lost contact with a majority, and that disturbs its
// successor when it returns.
func TestLeaderCutOff(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(5, seed, faultProbabilities{}, disabledRules{})
		old, _ := s.awaitLeader(t)
		s.isolate(old.name, true, true)
		s.tickAll(electionTimeoutTicks + heartbeatTicks)
		require.NotEqual(t, leader, old.core.role)
		s.tickAll(electionTimeoutTicks + electionJitterTicks)
		next, _ := s.awaitLeader(t)
		require.NotEqual(t, old.name, next.name)
		term := next.core.hardState.Term
		s.tickAll(500)
		clear(s.blockedLinks)
		s.tickAll(100)
		again, _ := s.awaitLeader(t)
		require.Equal(t, next.name, again.name)
		require.Equal(t, term, again.core.hardState.Term)
	}
}

// Guards against a leader that was paused while another one was elected and that then commits or serves reads, because
// a host that voted in the election has lost its disk and acknowledges the old leader.
func TestLostDiskDoesNotServeOldLeader(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(3, seed, faultProbabilities{}, disabledRules{})
		old, _ := s.awaitLeader(t)
		s.tickAll(30)
		paused := old.core
		old.core = nil
		next, _ := s.awaitLeader(t)
		s.mustPropose(t, next, "new")
		s.tickAll(30)
		for _, n := range s.names {
			if n != old.name && n != next.name {
				s.wipeDisk(s.hosts[n])
				s.startHost(s.hosts[n])
			}
		}
		require.Equal(t, 1, s.diskLosses)
		s.isolate(next.name, true, true)
		old.core = paused
		before := paused.commitIndex
		_, _, err := paused.propose([]byte("old"))
		require.NoError(t, err)
		old.minReadIndex[1] = s.ackedIndex
		paused.readIndex(1)
		s.processEffects(old)
		s.tickAll(electionTimeoutTicks - 1)
		require.Equal(t, before, paused.commitIndex)
		clear(s.blockedLinks)
		s.tickAll(100)
		require.Empty(t, s.violation)
		require.Contains(t, old.machine.appliedCommands(), "new")
		require.NotContains(t, old.machine.appliedCommands(), "old")
	}
}

// Guards against a leader that does not step down without a majority because it counts replies of a host that has lost
// its disk.
func TestLostDiskIsNoQuorum(t *testing.T) {
	s := newSim(3, 1, faultProbabilities{}, disabledRules{})
	h, _ := s.awaitLeader(t)
	s.mustPropose(t, h, "x")
	s.tickAll(30)
	var others []*host
	for _, n := range s.names {
		if n != h.name {
			others = append(others, s.hosts[n])
		}
	}
	others[0].core = nil
	s.wipeDisk(others[1])
	require.Equal(t, 1, s.diskLosses)
	s.startHost(others[1])
	s.tickAll(electionTimeoutTicks + heartbeatTicks)
	require.Nil(t, s.randomLeader())
	require.True(t, others[1].core.recovering)
	s.startHost(others[0])
	s.tickAll(100)
	next, _ := s.awaitLeader(t)
	s.mustPropose(t, next, "y")
	s.tickAll(30)
	require.False(t, others[1].core.recovering)
	require.Equal(t, []string{"x", "y"}, others[1].machine.appliedCommands())
	require.Empty(t, s.violation)
}

func (s *sim) mustPropose(t testing.TB, h *host, id string) {
	t.Helper()
	index, term, err := h.core.propose([]byte(id))
	require.NoError(t, err)
	h.pendingProposals[index] = proposal{term, id}
	s.processEffects(h)
}

// Guards against a replica that votes or acknowledges entries after its store failed.
func TestFailedStoreIsSilent(t *testing.T) {
	s := newSim(3, 1, faultProbabilities{}, disabledRules{})
	h, _ := s.awaitLeader(t)
	var n *host
	for _, name := range s.names {
		if name != h.name {
			n = s.hosts[name]
		}
	}
	n.store.fault = func() (float64, error) { return 0, errDisk }
	_, _, err := h.core.propose([]byte("x"))
	require.NoError(t, err)
	s.processEffects(h)
	s.tickAll(10)
	require.True(t, n.core.failed)
	require.Equal(t, h.name, n.core.leader, "the replica still needs the leader to forward requests")
	h.core = nil
	s.tickAll(200)
	require.Nil(t, s.randomLeader(), "only one of three hosts has a working store")
	require.Empty(t, n.core.leader)
}

// FuzzStep guards against messages that make a replica panic or decrease its commit index.
func FuzzStep(f *testing.F) {
	f.Add(uint8(5), uint8(0), uint64(2), uint64(3), uint64(2), uint64(3), uint64(4), uint64(0), []byte("data"))
	f.Add(uint8(6), uint8(1), uint64(2), uint64(9), uint64(2), uint64(0), uint64(1), uint64(3), []byte(nil))
	f.Add(uint8(7), uint8(2), uint64(9), uint64(9), uint64(2), uint64(0), uint64(1), uint64(0), []byte("chunk"))
	f.Fuzz(func(t *testing.T, kind, to uint8, term, index, logTerm, commit, extra, offset uint64, data []byte) {
		s := newSim(3, 1, faultProbabilities{}, disabledRules{})
		h, _ := s.awaitLeader(t)
		for range 3 {
			_, _, err := h.core.propose([]byte("command"))
			require.NoError(t, err)
			s.processEffects(h)
		}
		s.tickAll(2)
		m := &encoder.Consensus{
			Kind: encoder.Consensus_Kind(kind % 10), Term: term, Index: index, LogTerm: logTerm,
			Commit:  min(commit, h.core.commitIndex),
			Entries: []*encoder.LogRecord{{Index: extra, Term: term, Kind: uint32(offset % 3), Data: data}},
			Reject:  offset%2 == 1, Hint: extra, Read: commit, Offset: offset, Total: extra % 1000,
			Sum: xxhash.Sum64(data), Data: data,
			Recovering: extra%2 == 0, Recovered: extra%5 == 0, Force: extra%3 == 0,
		}
		n := s.hosts[s.names[int(to)%3]]
		before := n.core.commitIndex
		n.core.step(s.names[(int(to)+1)%3], m)
		for range 5 {
			e := n.core.takeEffects()
			if !e.write.empty() {
				n.core.writeDone(writeToStore(n.store, e.write))
			}
		}
		require.GreaterOrEqual(t, n.core.commitIndex, before)
	})
}

// Guards against a leader that starts a confirmation round for each read. When hundreds of entry hosts reconnect at the
// same time, it would do nothing else.
func TestReadsShareRounds(t *testing.T) {
	const hosts, reads = 19, 500
	s := newSim(hosts, 1, faultProbabilities{}, disabledRules{})
	h, _ := s.awaitLeader(t)
	s.tickAll(30)
	h.core.messages = nil
	for id := range uint64(reads) {
		h.minReadIndex[id+1] = s.ackedIndex
		h.core.readIndex(id + 1)
	}
	require.Equal(t, hosts-1, len(h.core.messages),
		"only the first read starts a round; the next round starts when this one is confirmed")
	done := s.completedReads
	s.processEffects(h)
	s.tickAll(2 * heartbeatTicks)
	require.Equal(t, reads, s.completedReads-done)
	require.Empty(t, s.violation)
}

// Guards against reads that wait forever behind a round whose messages were lost.
func TestReadsOutliveALostRound(t *testing.T) {
	s := newSim(3, 1, faultProbabilities{}, disabledRules{})
	h, _ := s.awaitLeader(t)
	s.tickAll(30)
	done := s.completedReads
	h.minReadIndex[1], h.minReadIndex[2] = s.ackedIndex, s.ackedIndex
	h.core.readIndex(1)
	h.core.messages = nil
	h.core.readIndex(2)
	s.tickAll(2)
	require.Equal(t, 2, s.completedReads-done)
	require.Empty(t, s.violation)
}

// Guards against a read that is confirmed by a round that started before the read: another leader may have committed
// commands in between.
func TestReadIsNotConfirmedByAnEarlierRound(t *testing.T) {
	s := newSim(3, 1, faultProbabilities{}, disabledRules{})
	h, _ := s.awaitLeader(t)
	s.tickAll(30)
	c := h.core
	c.readResults = nil
	acknowledge := func(round uint64) (done []uint64) {
		for _, n := range s.names {
			if n != h.name {
				c.step(n, &encoder.Consensus{
					Kind: encoder.Consensus_APPEND_REPLY, Term: c.hardState.Term, Index: c.log.lastIndex(), Read: round,
				})
			}
		}
		for _, r := range c.readResults {
			require.True(t, r.ok)
			done = append(done, r.id)
		}
		c.readResults = nil
		return done
	}
	c.readIndex(1)
	first := c.confirmationRound
	c.readIndex(2)
	c.readIndex(3)
	require.Equal(t, []uint64{1}, acknowledge(first))
	require.Equal(t, first+1, c.confirmationRound, "the next round starts immediately")
	require.Equal(t, []uint64{2, 3}, acknowledge(first+1))
}
