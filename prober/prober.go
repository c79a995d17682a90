// Package prober implements the probe budget. It decides which server is probed when, so that probes use no more than
// a configured share of the servers' slot time.
package prober

import "time"

const (
	// InitialProbeCost is the assumed slot time of a probe until one has been measured.
	InitialProbeCost = 6 * time.Millisecond
	// maxSavedProbes limits how much unused allowance a server can accumulate, in probes.
	maxSavedProbes = 2
	// minSilence is the time without a response after which a server is worth probing.
	minSilence = time.Second
)

// Target is a server that could be probed.
type Target struct {
	ID    string
	Slots int
	// LastResponse is when the last response of any kind arrived, or zero for never.
	LastResponse time.Time
	// HasFreeSlot is true when the server has a free slot for the probe.
	HasFreeSlot bool
}

// Budget limits the probes of one pool and belongs to its owner. A new owner starts with an empty budget, and only an
// owner with a majority accrues allowance. The total over all entries thus never exceeds the configured share.
type Budget struct {
	// ratio is the share of slot time that probes may use.
	ratio float64
	// probeCost is the smoothed duration of probes.
	probeCost   time.Duration
	lastAccrual time.Time
	// allowances maps server IDs to the slot time that probes of the server may use now.
	allowances map[string]time.Duration
	// ProbesSent counts the probes that Next has returned.
	ProbesSent uint64
}

// NewBudget returns an empty budget that accrues allowance from now on.
func NewBudget(now time.Time, ratio float64) *Budget {
	return &Budget{ratio: ratio, probeCost: InitialProbeCost, lastAccrual: now, allowances: make(map[string]time.Duration)}
}

// SetRatio sets the share of slot time that probes may use, 0 to 1.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// Pause discards the time since the last accrual, for an owner that had no majority in that time.
func (b *Budget) Pause(now time.Time) { b.lastAccrual = now }

// Next accrues allowance and returns the ID of the server to probe now, or "". It chooses the server that has been
// silent for longest. The caller must send exactly one probe to the returned server and pass its duration to
// Complete.
func (b *Budget) Next(now time.Time, targets []Target) string {
	b.accrue(now, targets)
	best, oldestResponse := "", time.Time{}
	for _, t := range targets {
		if !t.HasFreeSlot || now.Sub(t.LastResponse) < minSilence || b.allowances[t.ID] < b.probeCost {
			continue
		}
		if best == "" || t.LastResponse.Before(oldestResponse) {
			best, oldestResponse = t.ID, t.LastResponse
		}
	}
	if best != "" {
		b.allowances[best] -= b.probeCost
		b.ProbesSent++
	}
	return best
}

func (b *Budget) accrue(now time.Time, targets []Target) {
	elapsed := max(0, now.Sub(b.lastAccrual))
	b.lastAccrual = now
	allowances := make(map[string]time.Duration, len(targets))
	for _, t := range targets {
		allowance := b.allowances[t.ID] + time.Duration(b.ratio*float64(t.Slots)*float64(elapsed))
		allowances[t.ID] = min(allowance, maxSavedProbes*b.probeCost)
	}
	b.allowances = allowances
}

// Complete corrects the allowance by the actual duration of the probe.
func (b *Budget) Complete(id string, duration time.Duration) {
	if _, ok := b.allowances[id]; ok {
		b.allowances[id] -= duration - b.probeCost
	}
	b.probeCost = max(b.probeCost+(duration-b.probeCost)/8, time.Millisecond)
}

// Remaining returns the allowance of all servers, in probes.
func (b *Budget) Remaining() float64 {
	var sum time.Duration
	for _, allowance := range b.allowances {
		sum += allowance
	}
	return float64(sum) / float64(b.probeCost)
}
