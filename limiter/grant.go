package limiter

import (
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
)

// grant gives the request a free slot and reports false when there is none. A request drawn for the trial version
// that finds no slot there goes to the old version, and a later request takes its place, so that the trial version
// gets its share over time and never more.
func (b *Borrower) grant(now time.Time, q *workspaceQueue, w *waiter, e *Effects) bool {
	if b.reserved(now, q) {
		return false
	}
	if w.req.Version != "" || b.rules.Trial == "" {
		return b.grantVersion(now, q, w, w.req.Version, e)
	}
	if b.blocked {
		return b.grantVersion(now, q, w, b.rules.Old, e)
	}
	if (w.drawn || b.credit >= 1) && b.grantVersion(now, q, w, b.rules.Trial, e) {
		if !w.drawn {
			b.credit--
		}
		return true
	}
	if !b.grantVersion(now, q, w, b.rules.Old, e) {
		return false
	}
	if w.drawn {
		b.credit = min(b.credit+1, maxCredit)
	}
	return true
}

// reserved reports whether the last free slot is kept for workspaces within their share, whose next request comes sooner
// than another slot would be free for it.
func (b *Borrower) reserved(now time.Time, q *workspaceQueue) bool {
	if _, over := b.share(q); !over || b.met.slower(now, passTime) {
		return false
	}
	free := 0
	for _, l := range b.lenders.list {
		free += b.idle(l)
	}
	return free <= 1
}

func (b *Borrower) grantVersion(now time.Time, q *workspaceQueue, w *waiter, version string, e *Effects) bool {
	options, views := b.candidates(now, w, version, true)
	if len(options) == 0 {
		options, views = b.candidates(now, w, version, false)
	}
	if len(options) == 0 {
		return false
	}
	i := b.picker.Pick(now, w.req, views, b.rand)
	if i < 0 {
		return false
	}
	b.start(now, q, w, options[i], e)
	return true
}

// candidate is a held server that could take the request.
type candidate struct {
	l *lender
	h *held
}

// candidates lists the free slots of the own data centre, or those of the others.
func (b *Borrower) candidates(
	now time.Time, w *waiter, version string, own bool,
) ([]candidate, []sycamorevane.Candidate) {
	var options []candidate
	var views []sycamorevane.Candidate
	for _, l := range b.lenders.list {
		if !now.Before(l.until) || (l.dc == b.dc) != own {
			continue
		}
		for _, h := range l.held.list {
			if !b.usable(now, h, w, version) {
				continue
			}
			options = append(options, candidate{l, h})
			views = append(views, sycamorevane.Candidate{
				Server: h.server, FreeSlots: h.allowed - h.busy, Running: h.busy, Latency: h.latency, FailureRate: h.failing,
				NetworkDelay: b.settings.Distance[l.dc],
			})
		}
	}
	return options, views
}

func (b *Borrower) usable(now time.Time, h *held, w *waiter, version string) bool {
	free := h.allowed - h.busy
	if now.Before(h.penalty) {
		free--
	}
	if free <= 0 || now.Before(h.paused) || !b.rules.allows(&h.server) {
		return false
	}
	if now.Sub(w.since) < avoidTime && slices.Contains(w.req.ExcludedServers, h.server.ID) {
		return false
	}
	return version == "" || h.server.Version == version
}

func (b *Borrower) start(now time.Time, q *workspaceQueue, w *waiter, c candidate, e *Effects) {
	c.h.busy++
	c.h.used = now
	if w.req.Deadline.After(c.h.latest) {
		c.h.latest = w.req.Deadline
	}
	q.count(&c.h.server, 1)
	g := sycamorevane.Grant{
		ID: w.id, Server: c.h.server, ExpiresAt: c.l.until, Trial: c.h.server.Version == b.rules.Trial && b.rules.Trial != "",
	}
	b.grants[g.ID] = &running{Grant: g, workspace: q.name, started: now, until: w.req.Deadline}
	e.Granted = append(e.Granted, Granted{Waiter: w.id, Grant: g})
}
