package replicator

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// tuneFrequentElections makes elections frequent, since most safety rules matter only when the leader changes.
func tuneFrequentElections(s *sim, r *rand.Rand) {
	s.probabilities.elect, s.probabilities.crash, s.spareHosts = 0.02*r.Float64(), 0.02*r.Float64(), 20
}

// tuneSingleEntryAppends sends one entry per message, so that entries of earlier terms are replicated without the first
// entry of the leader's own term.
func tuneSingleEntryAppends(s *sim, r *rand.Rand) {
	for _, h := range s.hosts {
		h.core.limits.appendBytes = 1
	}
	s.appendBytes, s.spareHosts = 1, 0
	s.probabilities.elect, s.probabilities.crash, s.probabilities.propose = 0.03, 0.01*r.Float64(), 0.2
}

// tuneCrashesDuringVotes makes hosts crash while they store votes, and makes elections frequent, so that the hosts are
// soon asked for votes again.
func tuneCrashesDuringVotes(s *sim, r *rand.Rand) {
	s.probabilities = faultProbabilities{elect: 0.05, crash: 0.005 + 0.04*r.Float64(), propose: 0.05, loss: 0.1}
	s.spareHosts = 0
}

// tuneLongPartitions keeps old leaders running beside new ones.
func tuneLongPartitions(s *sim, r *rand.Rand) {
	s.probabilities = faultProbabilities{elect: 0.003, partition: 0.01, heal: 0.01 * r.Float64(), propose: 0.1, read: 0.2}
}

// tuneDiskLosses makes hosts lose their disks often.
func tuneDiskLosses(s *sim, r *rand.Rand) {
	s.probabilities = faultProbabilities{
		elect: 0.01, wipe: 0.05, propose: 0.1, loss: 0.2 * r.Float64(), partition: 0.005, heal: 0.005,
	}
	s.spareHosts = 0
}

// Guards against invariant checks that cannot fail: with one safety rule disabled, at least one schedule must violate
// an invariant.
func TestSchedulesNoticeMissingRules(t *testing.T) {
	cases := []struct {
		name     string
		disabled disabledRules
		tune     func(*sim, *rand.Rand)
		// firstSeed is shortly before a seed whose schedule violates an invariant. Starting there only saves time.
		firstSeed uint64
		// want is a part of the violation message; "term" matches those about logs and elections.
		want string
	}{
		{"older logs get votes", disabledRules{upToDateCheck: true}, tuneFrequentElections, 0, "term"},
		{"votes answered before stored", disabledRules{votePersistence: true}, tuneCrashesDuringVotes, 320, "two leaders"},
		{
			"former terms committed by counting",
			disabledRules{commitTermCheck: true},
			tuneSingleEntryAppends, 16,
			"committed entry",
		},
		{"reads without confirmation", disabledRules{readConfirmation: true}, tuneLongPartitions, 3, "read at index"},
		{"previous entry not compared", disabledRules{prevLogCheck: true}, tuneFrequentElections, 0, "term"},
		{"entries acknowledged before stored", disabledRules{entryPersistence: true}, tuneFrequentElections, 17, "term"},
		{"votes after the loss of a disk", disabledRules{recovery: true}, tuneDiskLosses, 0, "term"},
		{"concurrent membership changes", disabledRules{membershipCheck: true}, tuneFrequentElections, 92, "term"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := c.firstSeed; seed < c.firstSeed+200; seed++ {
				r := rand.New(rand.NewPCG(seed, 7))
				probabilities := drawProbabilities(r)
				s := newSim(3+2*r.IntN(2), seed, probabilities, c.disabled)
				c.tune(s, r)
				s.run(scheduleSteps)
				if s.violation != "" && strings.Contains(s.violation, c.want) {
					t.Logf("seed %d: %s", seed, s.violation)
					return
				}
			}
			t.Fatal("no schedule violated an invariant")
		})
	}
}

// Guards against faults that occur only under the conditions tuned for single rules: with all rules enabled, these
// schedules must not violate an invariant.
func TestTunedSchedules(t *testing.T) {
	tunings := map[string]func(*sim, *rand.Rand){
		"contested": tuneFrequentElections, "single": tuneSingleEntryAppends,
		"crashing": tuneCrashesDuringVotes, "partitioned": tuneLongPartitions, "wiping": tuneDiskLosses,
	}
	for name, tune := range tunings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(max(2, soakSeeds())) {
				r := rand.New(rand.NewPCG(seed, 7))
				probabilities := drawProbabilities(r)
				s := newSim(3+2*r.IntN(2), seed, probabilities, disabledRules{})
				tune(s, r)
				s.run(scheduleSteps)
				require.Empty(t, s.violation, "seed %d", seed)
			}
		})
	}
}
