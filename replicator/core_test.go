package replicator

import (
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/encoder"
)

// elected runs rounds until exactly the hosts that are up follow one leader, and returns it with the number of rounds.
func (s *sim) elected(t testing.TB) (h *host, rounds int) {
	t.Helper()
	for rounds = 0; rounds < 1000; rounds++ {
		if h = s.leading(); h != nil && h.core.applied >= h.core.log.last() {
			require.Empty(t, s.violation)
			return h, rounds
		}
		s.rounds(1)
	}
	t.Fatal("no leader")
	return nil, 0
}

func (s *sim) isolate(name string, in, out bool) {
	for _, n := range s.names {
		s.blocked[[2]string{n, name}] = in
		s.blocked[[2]string{name, n}] = out
	}
}

// Guards against elections that take longer than the 1 to 2 s of the design after the loss of a leader.
func TestElectionTime(t *testing.T) {
	for _, size := range []int{3, 5} {
		var times []time.Duration
		for seed := range uint64(500) {
			s := newSim(size, seed, chances{}, rules{})
			h, _ := s.elected(t)
			s.rounds(30)
			h.core = nil
			_, n := s.elected(t)
			times = append(times, time.Duration(n)*TickInterval)
		}
		slices.Sort(times)
		t.Logf("%d hosts: shortest %v, median %v, p99 %v, longest %v", size,
			times[0], times[len(times)/2], times[len(times)*99/100], times[len(times)-1])
		require.GreaterOrEqual(t, times[0], 750*time.Millisecond, "an election this early would follow a short delay")
		require.LessOrEqual(t, times[len(times)-1], 2*time.Second)
	}
}

// Guards against a core that takes no orders for more than 1.5 s after it has lost its leader, whichever way, with the
// time of a slow disk on each host and one round trip for the first order.
func TestOrdersAfterALostLeader(t *testing.T) {
	const bound, syncs = 1500 * time.Millisecond, 4 * 5 * time.Millisecond
	losses := map[string]func(s *sim, h *host){
		"killed":          func(_ *sim, h *host) { h.core = nil },
		"frozen":          func(s *sim, h *host) { s.isolate(h.name, true, true) },
		"not heard":       func(s *sim, h *host) { s.isolate(h.name, false, true) },
		"cut off one way": func(s *sim, h *host) { s.isolate(h.name, true, false) },
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			var times []time.Duration
			for seed := range uint64(100) {
				s := newSim(5, seed, chances{}, rules{})
				old, _ := s.elected(t)
				s.rounds(30)
				lose(s, old)
				n := 0
				for next := old; next == old || next == nil; n++ {
					require.Less(t, n, 200)
					s.rounds(1)
					next = s.ordersAt(old)
				}
				times = append(times, time.Duration(n)*TickInterval+syncs)
			}
			slices.Sort(times)
			t.Logf("median %v, p99 %v, longest %v", times[len(times)/2], times[len(times)*99/100], times[len(times)-1])
			require.LessOrEqual(t, times[len(times)*99/100], bound)
		})
	}
}

// ordersAt returns a leader other than old that has committed an entry of its own term, or nil.
func (s *sim) ordersAt(old *host) *host {
	for _, name := range s.names {
		h := s.hosts[name]
		if h == old || h.core == nil || h.core.role != leader {
			continue
		}
		if term, ok := h.core.log.term(h.core.commit); ok && term == h.core.hard.Term {
			return h
		}
	}
	return nil
}

// Guards against an election timeout in which no command is accepted when a leader is stopped on purpose.
func TestHandOver(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(3, seed, chances{}, rules{})
		h, _ := s.elected(t)
		s.rounds(30)
		h.core.handOver()
		s.process(h)
		s.rounds(2)
		next, n := s.elected(t)
		require.NotEqual(t, h.name, next.name)
		require.Zero(t, n)
	}
}

// Guards against a host that changes the leader or the term although a quorum gets on without it.
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
				s := newSim(3, seed, chances{}, rules{})
				h, _ := s.elected(t)
				term := h.core.hard.Term
				for _, n := range s.names {
					if n != h.name {
						s.isolate(n, c.in, c.out)
						break
					}
				}
				s.rounds(300)
				clear(s.blocked)
				s.rounds(100)
				next, _ := s.elected(t)
				require.Equal(t, h.name, next.name)
				require.Equal(t, term, next.core.hard.Term)
			}
		})
	}
}

// Guards against a leader that goes on after losing its quorum, and that disturbs its successor on return.
func TestLeaderCutOff(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(5, seed, chances{}, rules{})
		old, _ := s.elected(t)
		s.isolate(old.name, true, true)
		s.rounds(electionTicks + heartbeatTicks)
		require.NotEqual(t, leader, old.core.role)
		s.rounds(electionTicks + electionSpread)
		next, _ := s.elected(t)
		require.NotEqual(t, old.name, next.name)
		term := next.core.hard.Term
		s.rounds(500)
		clear(s.blocked)
		s.rounds(100)
		again, _ := s.elected(t)
		require.Equal(t, next.name, again.name)
		require.Equal(t, term, again.core.hard.Term)
	}
}

// Guards against a leader that was paused while another one was elected, and that then commits or answers reads
// with the help of a host that has lost its disk and with it the knowledge of the election.
func TestLostDiskDoesNotServeOldLeader(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(3, seed, chances{}, rules{})
		old, _ := s.elected(t)
		s.rounds(30)
		paused := old.core
		old.core = nil
		next, _ := s.elected(t)
		s.put(t, next, "new")
		s.rounds(30)
		for _, n := range s.names {
			if n != old.name && n != next.name {
				s.wipe(s.hosts[n])
				s.start(s.hosts[n])
			}
		}
		require.Equal(t, 1, s.wipes)
		s.isolate(next.name, true, true)
		old.core = paused
		before := paused.commit
		_, _, err := paused.propose([]byte("old"))
		require.NoError(t, err)
		old.reads[1] = s.floor
		paused.read(1)
		s.process(old)
		s.rounds(electionTicks - 1)
		require.Equal(t, before, paused.commit)
		clear(s.blocked)
		s.rounds(100)
		require.Empty(t, s.violation)
		require.Contains(t, old.machine.list(), "new")
		require.NotContains(t, old.machine.list(), "old")
	}
}

// Guards against a leader that keeps its role without a quorum since it hears a host that has lost its disk.
func TestLostDiskIsNoQuorum(t *testing.T) {
	s := newSim(3, 1, chances{}, rules{})
	h, _ := s.elected(t)
	s.put(t, h, "x")
	s.rounds(30)
	var others []*host
	for _, n := range s.names {
		if n != h.name {
			others = append(others, s.hosts[n])
		}
	}
	others[0].core = nil
	s.wipe(others[1])
	require.Equal(t, 1, s.wipes)
	s.start(others[1])
	s.rounds(electionTicks + heartbeatTicks)
	require.Nil(t, s.leading())
	require.True(t, others[1].core.recovering)
	s.start(others[0])
	s.rounds(100)
	next, _ := s.elected(t)
	s.put(t, next, "y")
	s.rounds(30)
	require.False(t, others[1].core.recovering)
	require.Equal(t, []string{"x", "y"}, others[1].machine.list())
	require.Empty(t, s.violation)
}

func (s *sim) put(t testing.TB, h *host, id string) {
	t.Helper()
	index, term, err := h.core.propose([]byte(id))
	require.NoError(t, err)
	h.waiting[index] = proposal{term, id}
	s.process(h)
}

// Guards against a replica that votes or acknowledges after its store failed.
func TestFailedStoreIsSilent(t *testing.T) {
	s := newSim(3, 1, chances{}, rules{})
	h, _ := s.elected(t)
	var n *host
	for _, name := range s.names {
		if name != h.name {
			n = s.hosts[name]
		}
	}
	n.store.fault = func() (float64, error) { return 0, errDisk }
	_, _, err := h.core.propose([]byte("x"))
	require.NoError(t, err)
	s.process(h)
	s.rounds(10)
	require.True(t, n.core.failed)
	require.Equal(t, h.name, n.core.leader, "the leader stays known for forwarding")
	h.core = nil
	s.rounds(200)
	require.Nil(t, s.leading(), "one of three hosts with a working store")
	require.Empty(t, n.core.leader)
}

// FuzzStep guards against messages that crash a replica or make it forget what it committed.
func FuzzStep(f *testing.F) {
	f.Add(uint8(5), uint8(0), uint64(2), uint64(3), uint64(2), uint64(3), uint64(4), uint64(0), []byte("data"))
	f.Add(uint8(6), uint8(1), uint64(2), uint64(9), uint64(2), uint64(0), uint64(1), uint64(3), []byte(nil))
	f.Add(uint8(7), uint8(2), uint64(9), uint64(9), uint64(2), uint64(0), uint64(1), uint64(0), []byte("chunk"))
	f.Fuzz(func(t *testing.T, kind, to uint8, term, index, logTerm, commit, extra, offset uint64, data []byte) {
		s := newSim(3, 1, chances{}, rules{})
		h, _ := s.elected(t)
		for range 3 {
			_, _, err := h.core.propose([]byte("command"))
			require.NoError(t, err)
			s.process(h)
		}
		s.rounds(2)
		m := &encoder.Consensus{
			Kind: encoder.Consensus_Kind(kind % 10), Term: term, Index: index, LogTerm: logTerm, Commit: min(commit, h.core.commit),
			Entries: []*encoder.LogRecord{{Index: extra, Term: term, Kind: uint32(offset % 3), Data: data}},
			Reject:  offset%2 == 1, Hint: extra, Read: commit, Offset: offset, Total: extra % 1000, Sum: xxhash.Sum64(data), Data: data,
			Recovering: extra%2 == 0, Recovered: extra%5 == 0, Force: extra%3 == 0,
		}
		n := s.hosts[s.names[int(to)%3]]
		before := n.core.commit
		n.core.step(s.names[(int(to)+1)%3], m)
		for range 5 {
			e := n.core.take()
			if !e.write.empty() {
				n.core.stored(save(n.store, e.write))
			}
		}
		require.GreaterOrEqual(t, n.core.commit, before)
	})
}

// Guards against a leader that asks all voters for each read: with hundreds of entries that come back at the same moment it
// would do nothing else.
func TestReadsShareRounds(t *testing.T) {
	const hosts, reads = 19, 500
	s := newSim(hosts, 1, chances{}, rules{})
	h, _ := s.elected(t)
	s.rounds(30)
	h.core.out = nil
	for id := range uint64(reads) {
		h.reads[id+1] = s.floor
		h.core.read(id + 1)
	}
	require.Equal(t, hosts-1, len(h.core.out), "messages: one round for the first read, and the next one when it is confirmed")
	done := s.readsDone
	s.process(h)
	s.rounds(2 * heartbeatTicks)
	require.Equal(t, reads, s.readsDone-done)
	require.Empty(t, s.violation)
}

// Guards against reads that wait for good behind a round whose messages were lost.
func TestReadsOutliveALostRound(t *testing.T) {
	s := newSim(3, 1, chances{}, rules{})
	h, _ := s.elected(t)
	s.rounds(30)
	done := s.readsDone
	h.reads[1], h.reads[2] = s.floor, s.floor
	h.core.read(1)
	h.core.out = nil
	h.core.read(2)
	s.rounds(2)
	require.Equal(t, 2, s.readsDone-done)
	require.Empty(t, s.violation)
}

// Guards against a read that is confirmed by a round that began before it: another leader may have committed since.
func TestReadIsNotConfirmedByAnEarlierRound(t *testing.T) {
	s := newSim(3, 1, chances{}, rules{})
	h, _ := s.elected(t)
	s.rounds(30)
	c := h.core
	c.doneReads = nil
	confirm := func(round uint64) (done []uint64) {
		for _, n := range s.names {
			if n != h.name {
				c.step(n, &encoder.Consensus{Kind: encoder.Consensus_APPEND_REPLY, Term: c.hard.Term, Index: c.log.last(), Read: round})
			}
		}
		for _, r := range c.doneReads {
			require.True(t, r.ok)
			done = append(done, r.id)
		}
		c.doneReads = nil
		return done
	}
	c.read(1)
	first := c.round
	c.read(2)
	c.read(3)
	require.Equal(t, []uint64{1}, confirm(first))
	require.Equal(t, first+1, c.round, "the next round begins at once")
	require.Equal(t, []uint64{2, 3}, confirm(first+1))
}
