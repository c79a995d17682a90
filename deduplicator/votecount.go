package deduplicator

import (
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// voteCount counts the votes on one claim and derives the state of the claim from them. It does no I/O and reads no
// clock.
type voteCount struct {
	startedAt time.Time
	replicas  int
	quorum    int
	replies   int
	votes     [encoder.ClaimVote_LAPSED + 1]int
	response  *encoder.ClaimAnswer
}

func newVoteCount(replicas *replicaSet, now time.Time) *voteCount {
	return &voteCount{startedAt: now, replicas: len(replicas.members), quorum: replicas.quorum()}
}

// addReply counts the reply of one replica; nil means that it did not reply. Votes that arrive after voteWindow are
// ignored: the replica may have restarted since and may soon vote for another claim of the key.
func (c *voteCount) addReply(now time.Time, vote *encoder.ClaimVote) {
	c.replies++
	if vote == nil || now.Sub(c.startedAt) > voteWindow || int(vote.Kind) >= len(c.votes) {
		return
	}
	c.votes[vote.Kind]++
	if vote.Kind == encoder.ClaimVote_ANSWERED && (c.response == nil || c.response.Large) {
		c.response = vote.Answer
	}
}

// informedReplicas returns the number of replicas that voted with knowledge of the key. If a claim has ended, only a
// quorum of them is certain to include one that knows the end.
func (c *voteCount) informedReplicas() int {
	n := 0
	for kind, votes := range c.votes {
		if encoder.ClaimVote_Kind(kind) != encoder.ClaimVote_NONE {
			n += votes
		}
	}
	return n
}

// result returns the state of the claim. decided is false while missing votes can still change the result. known is
// false when no quorum was found; the request must not run then. final means that no more votes will be counted.
func (c *voteCount) result(final bool) (state sycamorevane.ClaimState, known, decided bool) {
	fresh := c.votes[encoder.ClaimVote_FRESH]
	switch {
	case c.votes[encoder.ClaimVote_ANSWERED] > 0:
		return sycamorevane.ClaimAnswered, true, true
	case fresh >= c.quorum:
		return sycamorevane.ClaimFresh, true, true
	case !final && c.replies < c.replicas && (fresh+c.replicas-c.replies >= c.quorum || c.informedReplicas() < c.quorum):
		return 0, false, false
	case c.votes[encoder.ClaimVote_MISMATCH] > 0:
		return sycamorevane.ClaimMismatch, true, true
	case c.votes[encoder.ClaimVote_LOST] > 0:
		return sycamorevane.ClaimUncertain, true, true // Replicas that vote RUNNING have missed the end of the claim.
	case c.votes[encoder.ClaimVote_RUNNING] > 0:
		return sycamorevane.ClaimRunning, true, true
	case c.votes[encoder.ClaimVote_LAPSED] > 0:
		return sycamorevane.ClaimUncertain, true, true
	}
	return 0, false, true
}
