package promoter

import (
	"math/bits"
	"sync"
	"time"

	"sycamorevane.example/sycamorevane"
)

const (
	// guardHistory is how many of the latest outcomes of the new version a guard considers.
	guardHistory = 8
	// guardFailures of guardHistory failed outcomes block the version. With a base error rate of 1% the
	// chance of 4 failures in 8 calls is below 1e-6.
	guardFailures = 4
	// guardHold is the first time for which a version is blocked; it doubles with each further block up to
	// guardHoldMax. The leader decides within seconds; the hold matters when control is unreachable.
	guardHold    = 10 * time.Second
	guardHoldMax = 160 * time.Second
	// guardCommon failures among the last 64 outcomes of the old version mean that failures may have a common
	// cause, for example a data centre that is lost.
	guardCommon = 4
)

// Guard stops a trial version at one entry on strong local evidence, before control has decided.
type Guard struct {
	mu sync.Mutex
	// history and old hold the latest outcomes of the new and the old version, one bit each, failed is 1.
	history uint64
	old     uint64
	hold    time.Duration
	until   time.Time
	// off is set when the new version has taken over: its servers may be the only ones.
	off bool
}

// failed reports whether the kind counts against the version. A shed call is not counted here, since a cold
// server sheds; a cancelled one says nothing.
func failed(k sycamorevane.OutcomeKind) bool {
	switch k {
	case sycamorevane.OutcomeFailed, sycamorevane.OutcomeConnectFailed, sycamorevane.OutcomeIncomplete, sycamorevane.OutcomeTimeout:
		return true
	case sycamorevane.OutcomeOK, sycamorevane.OutcomeShed, sycamorevane.OutcomeCancelled:
	}
	return false
}

func (g *Guard) observe(clock sycamorevane.Clock, to bool, k sycamorevane.OutcomeKind) {
	if k == sycamorevane.OutcomeShed || k == sycamorevane.OutcomeCancelled {
		return
	}
	bad := failed(k)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !to {
		g.old = g.old<<1 | bit(bad)
		return
	}
	g.history = (g.history<<1 | bit(bad)) & (1<<guardHistory - 1)
	if bad && g.trips() {
		g.block(clock.Now())
	}
}

func (g *Guard) trips() bool {
	return bits.OnesCount64(g.history) >= guardFailures && bits.OnesCount64(g.old) < guardCommon
}

// block starts or restarts the hold. Calls that were running when the block began do not lengthen it.
func (g *Guard) block(now time.Time) {
	if now.Before(g.until) {
		return
	}
	g.hold = min(max(2*g.hold, guardHold), guardHoldMax)
	g.until = now.Add(g.hold)
	// After the hold one call fewer failing is enough to lift the suspicion.
	g.history = 1<<(guardFailures-1) - 1
}

// Blocked reports whether the version gets no new calls from this entry at the time.
func (g *Guard) Blocked(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.off && now.Before(g.until)
}

// setOff switches the guard off or on.
func (g *Guard) setOff(off bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.off = off
}

func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
