package replicator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/encoder"
)

// Guards against a cluster that elects no leader for as long as a disk is full: a host whose log is too old to win gets
// pre-votes from the host that cannot store a vote, campaigns again and again, and each of its elections kept the third
// host from campaigning.
func TestOutdatedCandidateDoesNotPreventElections(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(3, seed, faultProbabilities{}, disabledRules{})
		old, _ := s.awaitLeader(t)
		s.tickAll(30)
		var ahead, behind *host
		for _, name := range s.names {
			switch {
			case name == old.name:
			case ahead == nil:
				ahead = s.hosts[name]
			default:
				behind = s.hosts[name]
			}
		}
		// The leader's entry reaches one follower before the write on the leader fails.
		s.blockedLinks[[2]string{old.name, behind.name}] = true
		old.store.fault = func() (float64, error) { return 0, errDisk }
		_, _, err := old.core.propose([]byte("x"))
		require.NoError(t, err)
		s.processEffects(old)
		s.tickAll(1)
		require.True(t, old.core.failed)
		require.Greater(t, ahead.core.log.lastIndex(), behind.core.log.lastIndex())
		clear(s.blockedLinks)
		// The host whose log is older campaigns first.
		behind.core.electionElapsed, ahead.core.electionElapsed = behind.core.electionTimeout, 0
		for i := 0; ahead.core.role != leader; i++ {
			require.Less(t, time.Duration(i)*TickInterval, 4*time.Second, "seed %d", seed)
			if old.core.failed && i%storeReopenTicks == 0 {
				s.startHost(old)
				old.store.fault = func() (float64, error) { return 0, errDisk }
			}
			s.tickAll(1)
		}
		require.Empty(t, s.violation)
	}
}

// Guards against a rejected vote request that restarts the election timeout, and against a granted one that does not.
func TestElectionTimerOnVoteRequests(t *testing.T) {
	s := newSim(3, 1, faultProbabilities{}, disabledRules{})
	h, _ := s.awaitLeader(t)
	s.mustPropose(t, h, "x")
	s.tickAll(30)
	h.core = nil
	var c *core
	for _, name := range s.names {
		if s.hosts[name].core != nil {
			c = s.hosts[name].core
		}
	}
	request := func(lastIndex uint64) {
		c.step(h.name, &encoder.Consensus{
			Kind: encoder.Consensus_VOTE, Term: c.hardState.Term + 1, Index: lastIndex, LogTerm: c.log.lastTerm(), Force: true,
		})
	}
	c.leader, c.electionElapsed = "", electionTimeoutTicks-1
	request(c.log.lastIndex() - 1)
	require.Equal(t, electionTimeoutTicks-1, c.electionElapsed, "the candidate's log is too old")
	request(c.log.lastIndex())
	require.Zero(t, c.electionElapsed)
	require.GreaterOrEqual(t, c.electionTimeout, electionTimeoutTicks)
}
