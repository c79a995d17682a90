package deduplicator

import (
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// round collects the votes on one claim. It is pure.
type round struct {
	began   time.Time
	members int
	quorum  int
	replies int
	votes   [encoder.ClaimVote_LAPSED + 1]int
	answer  *encoder.ClaimAnswer
}

func newRound(s *set, now time.Time) *round {
	return &round{began: now, members: len(s.members), quorum: s.quorum()}
}

// add counts one reply; nil stands for a member that did not answer. Votes after claimWindow do not count,
// since the holder may have restarted and be about to vote again.
func (r *round) add(now time.Time, v *encoder.ClaimVote) {
	r.replies++
	if v == nil || now.Sub(r.began) > claimWindow || int(v.Kind) >= len(r.votes) {
		return
	}
	r.votes[v.Kind]++
	if v.Kind == encoder.ClaimVote_ANSWERED && (r.answer == nil || r.answer.Large) {
		r.answer = v.Answer
	}
}

// informed counts the members that know the key. Only a quorum of them is sure to know the end of a claim that
// has ended.
func (r *round) informed() int {
	n := 0
	for kind, votes := range r.votes {
		if encoder.ClaimVote_Kind(kind) != encoder.ClaimVote_NONE {
			n += votes
		}
	}
	return n
}

// verdict returns the state of the claim. It returns false for ok while votes are missing, and for known when
// no quorum was found, in which case this copy must not run.
func (r *round) verdict(closed bool) (state sycamorevane.ClaimState, known, ok bool) {
	fresh := r.votes[encoder.ClaimVote_FRESH]
	switch {
	case r.votes[encoder.ClaimVote_ANSWERED] > 0:
		return sycamorevane.ClaimAnswered, true, true
	case fresh >= r.quorum:
		return sycamorevane.ClaimFresh, true, true
	case !closed && r.replies < r.members && (fresh+r.members-r.replies >= r.quorum || r.informed() < r.quorum):
		return 0, false, false
	case r.votes[encoder.ClaimVote_MISMATCH] > 0:
		return sycamorevane.ClaimMismatch, true, true
	case r.votes[encoder.ClaimVote_LOST] > 0:
		return sycamorevane.ClaimUncertain, true, true // A member that says "running" has missed the end.
	case r.votes[encoder.ClaimVote_RUNNING] > 0:
		return sycamorevane.ClaimRunning, true, true
	case r.votes[encoder.ClaimVote_LAPSED] > 0:
		return sycamorevane.ClaimUncertain, true, true
	}
	return 0, false, true
}
