package promoter

import (
	"math/bits"
	"sync"
	"time"

	"sycamorevane.example/sycamorevane"
)

const (
	// guardHistory is the number of latest outcomes of the new version that a guard considers.
	guardHistory = 8
	// guardFailures failed outcomes among the latest guardHistory block the version. With a base error rate of 1% the
	// chance of 4 failures in 8 calls is below 1e-6.
	guardFailures = 4
	// minBlockTime is the time for which a version is first blocked. It doubles with each further block up to
	// maxBlockTime. The leader decides within seconds; the time only matters while the control leader is unreachable.
	minBlockTime = 10 * time.Second
	maxBlockTime = 160 * time.Second
	// commonCauseFailures failures among the last 64 outcomes of the old version mean that failures may have a common
	// cause, such as the loss of a data centre.
	commonCauseFailures = 4
)

// Guard blocks a trial version on one entry on strong local evidence, before the control leader has decided.
type Guard struct {
	mu sync.Mutex
	// newOutcomes and oldOutcomes hold the latest outcomes of the new and the old version, one bit each; 1 is a
	// failure.
	newOutcomes  uint64
	oldOutcomes  uint64
	blockTime    time.Duration
	blockedUntil time.Time
	// disabled is set when the new version has taken over, since its servers may be the only ones.
	disabled bool
}

// isFailure reports whether the outcome counts against the version. A shed call does not, since cold servers shed
// calls. A cancelled call says nothing about the version.
func isFailure(k sycamorevane.OutcomeKind) bool {
	switch k {
	case sycamorevane.OutcomeFailed, sycamorevane.OutcomeConnectFailed, sycamorevane.OutcomeIncomplete, sycamorevane.OutcomeTimeout:
		return true
	case sycamorevane.OutcomeOK, sycamorevane.OutcomeShed, sycamorevane.OutcomeCancelled:
	}
	return false
}

func (g *Guard) observe(clock sycamorevane.Clock, isNew bool, k sycamorevane.OutcomeKind) {
	if k == sycamorevane.OutcomeShed || k == sycamorevane.OutcomeCancelled {
		return
	}
	isBad := isFailure(k)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !isNew {
		g.oldOutcomes = g.oldOutcomes<<1 | bit(isBad)
		return
	}
	g.newOutcomes = (g.newOutcomes<<1 | bit(isBad)) & (1<<guardHistory - 1)
	if isBad && g.shouldBlock() {
		g.block(clock.Now())
	}
}

func (g *Guard) shouldBlock() bool {
	return bits.OnesCount64(g.newOutcomes) >= guardFailures && bits.OnesCount64(g.oldOutcomes) < commonCauseFailures
}

// block starts a block unless one is in effect. Calls that were running when a block began therefore do not extend
// it.
func (g *Guard) block(now time.Time) {
	if now.Before(g.blockedUntil) {
		return
	}
	g.blockTime = min(max(2*g.blockTime, minBlockTime), maxBlockTime)
	g.blockedUntil = now.Add(g.blockTime)
	// The version stays suspect after the block: one failure among its next five calls blocks it again.
	g.newOutcomes = 1<<(guardFailures-1) - 1
}

// Blocked reports whether the version gets no new calls from this entry at the given time.
func (g *Guard) Blocked(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.disabled && now.Before(g.blockedUntil)
}

// setDisabled switches the guard off or on.
func (g *Guard) setDisabled(disabled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.disabled = disabled
}

func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
