package limiter

import (
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
)

// admit returns an error when the request must not wait: the entry is stopping, the queue is full, or the request
// cannot be served before its deadline.
func (b *Borrower) admit(now time.Time, q *workspaceQueue, w *waiter) *sycamorevane.RefusedError {
	if b.closing {
		return b.refusedError(q, refusedClosing)
	}
	if len(q.waiting) >= b.settings.MaxQueued {
		err := b.refusedError(q, refusedQueueFull)
		err.WorkspaceLimit = len(b.workspaces.list) > 1
		return err
	}
	if b.noPoolCanLend(now) {
		return b.refusedError(q, refusedNoServer)
	}
	if now.Add(2*b.estimateWait(q, len(q.waiting)) + b.typicalLatency()).After(w.req.Deadline) {
		return b.refusedError(q, refusedDeadline)
	}
	return nil
}

// noPoolCanLend reports whether no pool can be expected to lend a slot: each has no owner, no slots, or an
// unresponsive owner.
func (b *Borrower) noPoolCanLend(now time.Time) bool {
	for _, p := range b.pools.list {
		if p.hasOwner && !p.ownerUnresponsive(now) && (!p.stateKnown || p.totalSlots > 0) {
			return false
		}
	}
	return true
}

func (b *Borrower) typicalLatency() time.Duration {
	if b.latency == 0 {
		return initialLatency
	}
	return b.latency
}

// estimateWait estimates how long the request at the given position of the workspace's queue waits for a slot, from
// the recent interval between starts of waiting requests.
func (b *Borrower) estimateWait(q *workspaceQueue, position int) time.Duration {
	interval := q.startInterval
	if interval == 0 {
		interval = time.Duration(float64(b.typicalLatency()) / max(1, b.borrowedSlots()))
	}
	return time.Duration(position) * interval
}

// borrowedSlots returns the number of slots that the borrower has.
func (b *Borrower) borrowedSlots() float64 {
	n := 0
	for _, p := range b.pools.list {
		for _, s := range p.servers.list {
			n += s.allowedSlots
		}
	}
	return float64(n)
}

// workspaceShare returns the workspace's share of the slots at this entry, and true, if the owners have reported that
// the workspace is over its share. It returns 0 and false for a workspace within its share.
func (b *Borrower) workspaceShare(q *workspaceQueue) (float64, bool) {
	share, overShare := 0.0, false
	for _, p := range b.pools.list {
		if s, ok := p.overShareSlots[q.name]; ok {
			share += s
			overShare = true
		}
	}
	return share, overShare
}

func (b *Borrower) refusedError(q *workspaceQueue, reason string) *sycamorevane.RefusedError {
	retryAfter := min(max(b.estimateWait(q, len(q.waiting)), minRetryAfter), maxRetryAfter)
	return &sycamorevane.RefusedError{Service: b.service, Workspace: q.name, Reason: reason, RetryAfter: retryAfter}
}

// refuseUnservable refuses waiting requests that can no longer meet their deadline.
func (b *Borrower) refuseUnservable(now time.Time, e *Effects) {
	if b.waitingCount == 0 {
		return
	}
	noPool := b.noPoolCanLend(now)
	for _, q := range b.workspaces.list {
		remaining := q.waiting[:0]
		for _, w := range q.waiting {
			reason := ""
			switch {
			case noPool:
				reason = refusedNoServer
			case b.tooLate(now, w), now.Add(b.estimateWait(q, len(remaining)) + b.typicalLatency()).After(w.req.Deadline):
				reason = refusedDeadline
			}
			if reason == "" {
				remaining = append(remaining, w)
				continue
			}
			b.waitingCount--
			e.Refused = append(e.Refused, Refused{RequestID: w.id, Err: b.refusedError(q, reason)})
		}
		clear(q.waiting[len(remaining):])
		q.waiting = remaining
	}
}

// dispatch assigns free slots to waiting requests, first to the workspace that is furthest below its share.
func (b *Borrower) dispatch(now time.Time, e *Effects) {
	for _, q := range b.workspaces.list {
		q.noSlotFits = false
	}
	for b.waitingCount > 0 {
		var best *workspaceQueue
		for _, q := range b.workspaces.list {
			if len(q.waiting) == 0 || q.noSlotFits {
				continue
			}
			if best == nil || b.servedBefore(q, best) {
				best = q
			}
		}
		if best == nil {
			return
		}
		best.noSlotFits = !b.startOne(now, best, e)
	}
}

// servedBefore reports whether x is served before y. Workspaces within their share come first, then those with the
// fewest running requests relative to their share.
func (b *Borrower) servedBefore(x, y *workspaceQueue) bool {
	shareX, overX := b.workspaceShare(x)
	shareY, overY := b.workspaceShare(y)
	if overX != overY {
		return overY
	}
	if !overX {
		shareX, shareY = x.weight, y.weight
	}
	if i, j := float64(x.running)*shareY, float64(y.running)*shareX; i != j {
		return i < j
	}
	return x.weightedSlotSeconds < y.weightedSlotSeconds
}

// startOne starts the first waiting request of the workspace for which a slot is free. Requests that are too late for
// their deadline are skipped; refuseUnservable removes them.
func (b *Borrower) startOne(now time.Time, q *workspaceQueue, e *Effects) bool {
	if !b.hasIdleSlot(now) {
		return false
	}
	type requestClass struct {
		version string
		drawn   bool
	}
	var failed []requestClass
	for i, w := range q.waiting {
		c := requestClass{w.req.Version, w.drawnForTrial}
		if slices.Contains(failed, c) || b.tooLate(now, w) {
			continue
		}
		if b.tryGrant(now, q, w, e) {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			b.waitingCount--
			q.recordStart(now, w.arrivedAt)
			return true
		}
		if len(w.req.ExcludedServers) == 0 {
			failed = append(failed, c) // Others of this class will not find a slot either.
		}
	}
	return false
}

// hasIdleSlot reports whether any slot is unused under a valid lease. Penalties, pauses and rules may still exclude
// it.
func (b *Borrower) hasIdleSlot(now time.Time) bool {
	for _, p := range b.pools.list {
		if !now.Before(p.leaseExpiresAt) {
			continue
		}
		for _, s := range p.servers.list {
			if s.allowedSlots > s.running {
				return true
			}
		}
	}
	return false
}

// tooLate reports whether the request can no longer be expected to complete before its deadline.
func (b *Borrower) tooLate(now time.Time, w *waiter) bool {
	return now.Add(b.typicalLatency() / 2).After(w.req.Deadline)
}
