package limiter

import (
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
)

// admit refuses a request that cannot be served in time.
func (b *Borrower) admit(now time.Time, q *workspaceQueue, w *waiter) *sycamorevane.RefusedError {
	if b.closing {
		return b.refusal(q, refusedClosed)
	}
	if len(q.waiting) >= b.settings.Queue {
		err := b.refusal(q, refusedQueue)
		err.WorkspaceLimit = len(b.workspaces.list) > 1
		return err
	}
	if b.unreachable(now) {
		return b.refusal(q, refusedServer)
	}
	if now.Add(2*b.wait(q, len(q.waiting)) + b.usual()).After(w.req.Deadline) {
		return b.refusal(q, refusedDeadline)
	}
	return nil
}

// unreachable reports whether no owner can be expected to lend: each says that it has no server, or does not answer.
func (b *Borrower) unreachable(now time.Time) bool {
	for _, l := range b.lenders.list {
		if l.reachable && !l.silent(now) && (!l.known || l.total > 0) {
			return false
		}
	}
	return true
}

func (b *Borrower) usual() time.Duration {
	if b.latency == 0 {
		return usualLatency
	}
	return b.latency
}

// wait estimates how long the request at the position in the workspace's queue waits for a slot, from the recent time
// between two starts of waiting requests.
func (b *Borrower) wait(q *workspaceQueue, position int) time.Duration {
	gap := q.gap
	if gap == 0 {
		gap = time.Duration(float64(b.usual()) / max(1, b.slots()))
	}
	return time.Duration(position) * gap
}

// slots is the number of slots held.
func (b *Borrower) slots() float64 {
	n := 0
	for _, l := range b.lenders.list {
		for _, h := range l.held.list {
			n += h.allowed
		}
	}
	return float64(n)
}

// share returns the workspace's part of the slots at this entry, and false when the workspace is within its share over
// the whole system, as far as the owners said.
func (b *Borrower) share(q *workspaceQueue) (float64, bool) {
	sum, over := 0.0, false
	for _, l := range b.lenders.list {
		if s, ok := l.shares[q.name]; ok {
			sum += s
			over = true
		}
	}
	return sum, over
}

func (b *Borrower) refusal(q *workspaceQueue, reason string) *sycamorevane.RefusedError {
	after := min(max(b.wait(q, len(q.waiting)), minRetry), maxRetry)
	return &sycamorevane.RefusedError{Service: b.service, Workspace: q.name, Reason: reason, RetryAfter: after}
}

// drop refuses waiting requests whose deadline can no longer be met.
func (b *Borrower) drop(now time.Time, e *Effects) {
	if b.waiting == 0 {
		return
	}
	lost := b.unreachable(now)
	for _, q := range b.workspaces.list {
		kept := q.waiting[:0]
		for _, w := range q.waiting {
			reason := ""
			switch {
			case lost:
				reason = refusedServer
			case b.dead(now, w), now.Add(b.wait(q, len(kept)) + b.usual()).After(w.req.Deadline):
				reason = refusedDeadline
			}
			if reason == "" {
				kept = append(kept, w)
				continue
			}
			b.waiting--
			e.Refused = append(e.Refused, Refused{Waiter: w.id, Err: b.refusal(q, reason)})
		}
		clear(q.waiting[len(kept):])
		q.waiting = kept
	}
}

// dispatch serves the workspace furthest below its share first.
func (b *Borrower) dispatch(now time.Time, e *Effects) {
	for _, q := range b.workspaces.list {
		q.blocked = false
	}
	for b.waiting > 0 {
		var best *workspaceQueue
		for _, q := range b.workspaces.list {
			if len(q.waiting) == 0 || q.blocked {
				continue
			}
			if best == nil || b.before(q, best) {
				best = q
			}
		}
		if best == nil {
			return
		}
		best.blocked = !b.serveOne(now, best, e)
	}
}

// before puts workspaces within their share first, then those furthest below their part.
func (b *Borrower) before(x, y *workspaceQueue) bool {
	p, overX := b.share(x)
	q, overY := b.share(y)
	if overX != overY {
		return overY
	}
	if !overX {
		p, q = x.weight, y.weight
	}
	if i, j := float64(x.running)*q, float64(y.running)*p; i != j {
		return i < j
	}
	return x.served < y.served
}

// serveOne starts the first waiting request of the workspace that finds a slot. Dead requests are left to drop.
func (b *Borrower) serveOne(now time.Time, q *workspaceQueue, e *Effects) bool {
	if !b.anyFree(now) {
		return false
	}
	type class struct {
		version string
		drawn   bool
	}
	var failed []class
	for i, w := range q.waiting {
		c := class{w.req.Version, w.drawn}
		if slices.Contains(failed, c) || b.dead(now, w) {
			continue
		}
		if b.grant(now, q, w, e) {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			b.waiting--
			q.started(now, w.since)
			return true
		}
		if len(w.req.ExcludedServers) == 0 {
			failed = append(failed, c) // The next of its kind finds nothing either.
		}
	}
	return false
}

// anyFree reports whether any slot could be free.
func (b *Borrower) anyFree(now time.Time) bool {
	for _, l := range b.lenders.list {
		if !now.Before(l.until) {
			continue
		}
		for _, h := range l.held.list {
			if h.allowed > h.busy {
				return true
			}
		}
	}
	return false
}

// dead reports whether the request can no longer be answered in time.
func (b *Borrower) dead(now time.Time, w *waiter) bool {
	return now.Add(b.usual() / 2).After(w.req.Deadline)
}
