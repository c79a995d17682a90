package replicator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// testRemoval is the policy of a deployment that survives the loss of one disk.
var testRemoval = removalPolicy{silentTicks: ticksIn(12 * time.Second), minVoters: 3}

func ticksIn(d time.Duration) int { return int(d / TickInterval) }

// runJoining ticks all hosts for the duration. Hosts that are not members ask a leader to join, as control hosts do, and
// all hosts remove silent members by the policy.
func (s *sim) runJoining(d time.Duration, policy removalPolicy) {
	for range ticksIn(d) {
		for _, name := range s.names {
			if h := s.hosts[name]; h.core != nil {
				h.core.removal = policy
				s.join(h)
			}
		}
		s.tickAll(1)
	}
}

// join lets a host that is not a member, or knows no leader, ask each leader that it can reach to add it.
func (s *sim) join(h *host) {
	if _, isMember := h.core.findMember(h.name); isMember && h.core.leader != "" {
		return
	}
	for _, name := range s.names {
		l := s.hosts[name]
		if l.core == nil || l.core.role != leader || s.blockedLinks[[2]string{h.name, name}] {
			continue
		}
		_, _ = l.core.replaceMember("", h.name)
		s.processEffects(l)
	}
}

// replaceHost removes a host for good and starts a new one with an empty disk in its place.
func (s *sim) replaceHost(old *host, name string, downtime time.Duration, policy removalPolicy) {
	old.core = nil
	s.names = slices.DeleteFunc(s.names, func(n string) bool { return n == old.name })
	s.runJoining(downtime, policy)
	s.addHost(name, sycamorevane.DurableState{})
}

func (s *sim) voters(t testing.TB) []string {
	t.Helper()
	h, _ := s.awaitLeader(t)
	var names []string
	for _, m := range h.core.log.members() {
		if m.Voter {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// expectRunningVoters checks that the voters are exactly the running hosts.
func (s *sim) expectRunningVoters(t testing.TB) {
	t.Helper()
	require.Equal(t, slices.Sorted(slices.Values(s.names)), s.voters(t))
	require.Empty(t, s.violation)
}

// Guards against replaced control hosts that stay voters: after three of them, the loss of one disk ended control for good.
func TestReplacedHostsAreNoVoters(t *testing.T) {
	cases := []struct {
		name            string
		pauses          [3]time.Duration
		replacesLeaders bool
	}{
		{"followers, 9 s and 22 s apart", [3]time.Duration{7 * time.Second, 20 * time.Second, 18 * time.Second}, false},
		{"leaders, 9 s and 22 s apart", [3]time.Duration{7 * time.Second, 20 * time.Second, 18 * time.Second}, true},
		{"followers, as close as allowed", [3]time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second}, false},
		{"leaders, as close as allowed", [3]time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSim(5, seed, faultProbabilities{}, disabledRules{})
				h, _ := s.awaitLeader(t)
				s.mustPropose(t, h, "x")
				s.runJoining(3*time.Second, testRemoval)
				for i, pause := range c.pauses {
					old, _ := s.awaitLeader(t)
					if !c.replacesLeaders {
						old = s.hosts[s.names[slices.IndexFunc(s.names, func(n string) bool { return n != old.name })]]
					}
					s.replaceHost(old, fmt.Sprintf("n%d", i), 2*time.Second, testRemoval)
					s.runJoining(pause, testRemoval)
				}
				s.expectRunningVoters(t)
				s.loseDiskAndPower(t)
			}
		})
	}
}

// loseDiskAndPower restarts all hosts at once, one of them without its disk, and checks that commands are committed again.
func (s *sim) loseDiskAndPower(t testing.TB) {
	t.Helper()
	for _, name := range s.names {
		s.hosts[name].core = nil
	}
	wiped := s.hosts[s.names[len(s.names)-1]]
	s.wipeDisk(wiped)
	require.Equal(t, 1, s.diskLosses)
	for _, name := range s.names {
		s.startHost(s.hosts[name])
	}
	s.runJoining(5*time.Second, testRemoval)
	h, _ := s.awaitLeader(t)
	s.mustPropose(t, h, "after")
	s.runJoining(time.Second, testRemoval)
	require.Equal(t, []string{"x", "after"}, wiped.machine.appliedCommands())
	require.Empty(t, s.violation)
}

// Guards against hosts that stay voters because several became silent at the same time, without a host in their place.
func TestSeveralSilentVotersAreRemoved(t *testing.T) {
	cases := []struct {
		name                   string
		hosts, lost, minVoters int
		want                   int
	}{
		{"two of seven", 7, 2, 3, 5},
		{"two of five", 5, 2, 3, 3},
		{"two of five whose log must survive two disks", 5, 2, 5, 5},
		{"one of three", 3, 1, 3, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			policy := removalPolicy{silentTicks: testRemoval.silentTicks, minVoters: c.minVoters}
			s := newSim(c.hosts, 1, faultProbabilities{}, disabledRules{})
			h, _ := s.awaitLeader(t)
			s.runJoining(time.Second, policy)
			for _, name := range slices.Clone(s.names) {
				if name != h.name && c.lost > 0 {
					c.lost--
					s.hosts[name].core = nil
					s.names = slices.DeleteFunc(s.names, func(n string) bool { return n == name })
				}
			}
			s.runJoining(20*time.Second, policy)
			require.Len(t, s.voters(t), c.want)
		})
	}
}

// Guards against hosts that are removed for a disruption which they survive, or that do not come back after a longer one,
// and against commands that the minority commits or loses on its return.
func TestCutOffMinorityReturns(t *testing.T) {
	for _, cut := range []time.Duration{8 * time.Second, 20 * time.Second} {
		t.Run(cut.String(), func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSim(5, seed, faultProbabilities{}, disabledRules{})
				old, _ := s.awaitLeader(t)
				s.mustPropose(t, old, "x")
				s.runJoining(time.Second, testRemoval)
				other := s.names[slices.IndexFunc(s.names, func(n string) bool { return n != old.name })]
				s.cutOff(old.name, other)
				_, _, _ = old.core.propose([]byte("lost"))
				s.runJoining(cut, testRemoval)
				next := s.leaderWithOwnCommit(old)
				require.NotNil(t, next)
				wantVoters := 5
				if cut > 12*time.Second {
					wantVoters = 3
				}
				require.Len(t, next.core.log.members(), wantVoters)
				s.mustPropose(t, next, "y")
				clear(s.blockedLinks)
				s.runJoining(5*time.Second, testRemoval)
				s.expectRunningVoters(t)
				require.Equal(t, []string{"x", "y"}, old.machine.appliedCommands())
			}
		})
	}
}

// cutOff blocks all links between the named hosts and the others.
func (s *sim) cutOff(names ...string) {
	cut := sycamorevane.NewSet(names...)
	for _, a := range s.names {
		for _, b := range s.names {
			if cut.Has(a) != cut.Has(b) {
				s.blockedLinks[[2]string{a, b}] = true
			}
		}
	}
}

// Guards against a frozen leader that was replaced meanwhile and that commits or serves reads when it resumes.
func TestReplacedLeaderResumes(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(5, seed, faultProbabilities{}, disabledRules{})
		old, _ := s.awaitLeader(t)
		s.mustPropose(t, old, "x")
		s.runJoining(time.Second, testRemoval)
		frozen := old.core
		s.replaceHost(old, "n0", 2*time.Second, testRemoval)
		s.runJoining(4*time.Second, testRemoval)
		next, _ := s.awaitLeader(t)
		s.mustPropose(t, next, "y")
		s.runJoining(time.Second, testRemoval)
		s.names = append(s.names, old.name)
		old.core = frozen
		before := frozen.commitIndex
		_, _, err := frozen.propose([]byte("old"))
		require.NoError(t, err)
		old.minReadIndex[1] = s.ackedIndex
		frozen.readIndex(1)
		s.processEffects(old)
		s.tickAll(1)
		require.Equal(t, before, frozen.commitIndex)
		s.runJoining(5*time.Second, testRemoval)
		s.expectRunningVoters(t)
		require.Equal(t, []string{"x", "y"}, old.machine.appliedCommands())
	}
}
