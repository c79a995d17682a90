package limiter

import (
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
)

// tryGrant assigns a free slot to the request and returns false when there is none. If a request drawn for the trial
// version finds no free slot there, it goes to the old version and trialCredit makes a later request take its place.
// Over time the trial version thus gets its share and never more.
func (b *Borrower) tryGrant(now time.Time, q *workspaceQueue, w *waiter, e *Effects) bool {
	if b.lastSlotReserved(now, q) {
		return false
	}
	if w.req.Version != "" || b.rules.TrialVersion == "" {
		return b.tryGrantVersion(now, q, w, w.req.Version, e)
	}
	if b.trialBlocked {
		return b.tryGrantVersion(now, q, w, b.rules.OldVersion, e)
	}
	if (w.drawnForTrial || b.trialCredit >= 1) && b.tryGrantVersion(now, q, w, b.rules.TrialVersion, e) {
		if !w.drawnForTrial {
			b.trialCredit--
		}
		return true
	}
	if !b.tryGrantVersion(now, q, w, b.rules.OldVersion, e) {
		return false
	}
	if w.drawnForTrial {
		b.trialCredit = min(b.trialCredit+1, maxTrialCredit)
	}
	return true
}

// lastSlotReserved reports whether the request must leave the last free slot to workspaces within their share. This
// is so when the workspace of the request is over its share and the next request within share is expected sooner than
// another slot could be borrowed.
func (b *Borrower) lastSlotReserved(now time.Time, q *workspaceQueue) bool {
	if _, overShare := b.workspaceShare(q); !overShare || b.arrivalsWithinShare.slowerThan(now, slotTransferTime) {
		return false
	}
	free := 0
	for _, p := range b.pools.list {
		free += b.idleSlots(p)
	}
	return free <= 1
}

func (b *Borrower) tryGrantVersion(now time.Time, q *workspaceQueue, w *waiter, version string, e *Effects) bool {
	options, candidates := b.slotOptions(now, w, version, true)
	if len(options) == 0 {
		options, candidates = b.slotOptions(now, w, version, false)
	}
	if len(options) == 0 {
		return false
	}
	i := b.picker.Pick(now, w.req, candidates, b.rng)
	if i < 0 {
		return false
	}
	b.startRequest(now, q, w, options[i], e)
	return true
}

// slotOption is a borrowed server with a free slot that could take the request.
type slotOption struct {
	pool     *borrowedPool
	borrowed *borrowedServer
}

// slotOptions returns the servers that could take the request, either in the local data centre or in all others.
func (b *Borrower) slotOptions(
	now time.Time, w *waiter, version string, local bool,
) ([]slotOption, []sycamorevane.Candidate) {
	var options []slotOption
	var candidates []sycamorevane.Candidate
	for _, p := range b.pools.list {
		if !now.Before(p.leaseExpiresAt) || (p.dc == b.dc) != local {
			continue
		}
		for _, s := range p.servers.list {
			if !b.canUse(now, s, w, version) {
				continue
			}
			options = append(options, slotOption{p, s})
			candidates = append(candidates, sycamorevane.Candidate{
				Server: s.server, FreeSlots: s.allowedSlots - s.running, Running: s.running, Latency: s.latency,
				FailureRate: s.failureRate, NetworkDelay: b.settings.NetworkDelay[p.dc],
			})
		}
	}
	return options, candidates
}

func (b *Borrower) canUse(now time.Time, s *borrowedServer, w *waiter, version string) bool {
	free := s.allowedSlots - s.running
	if now.Before(s.penaltyUntil) {
		free--
	}
	if free <= 0 || now.Before(s.pausedUntil) || !b.rules.allowsNewWork(&s.server) {
		return false
	}
	if now.Sub(w.arrivedAt) < exclusionPeriod && slices.Contains(w.req.ExcludedServers, s.server.ID) {
		return false
	}
	return version == "" || s.server.Version == version
}

func (b *Borrower) startRequest(now time.Time, q *workspaceQueue, w *waiter, slot slotOption, e *Effects) {
	slot.borrowed.running++
	slot.borrowed.lastUsed = now
	if w.req.Deadline.After(slot.borrowed.latestDeadline) {
		slot.borrowed.latestDeadline = w.req.Deadline
	}
	q.countRunning(&slot.borrowed.server, 1)
	g := sycamorevane.Grant{
		ID: w.id, Server: slot.borrowed.server, ExpiresAt: slot.pool.leaseExpiresAt,
		Trial: slot.borrowed.server.Version == b.rules.TrialVersion && b.rules.TrialVersion != "",
	}
	b.active[g.ID] = &activeRequest{Grant: g, workspace: q.name, startedAt: now, deadline: w.req.Deadline}
	e.Granted = append(e.Granted, Granted{RequestID: w.id, Grant: g})
}
