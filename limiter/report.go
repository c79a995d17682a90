package limiter

import (
	"time"

	"sycamorevane.example/sycamorevane/encoder"
)

// sendDueReports adds the reports that are due to the effects.
func (b *Borrower) sendDueReports(now time.Time, e *Effects) {
	for _, p := range b.pools.list {
		if !p.hasOwner || !b.reportDue(now, p, b.waitingCount) {
			continue
		}
		e.Reports = append(e.Reports, Report{DC: p.dc, Message: b.buildReport(now, p)})
		p.reportedWaiting = 0
		if b.requestsSlots(p) {
			p.reportedWaiting = b.waitingCount
		}
		p.lastReport, p.reportPending = now, false
		if p.unansweredSince.IsZero() {
			p.unansweredSince = now
		}
	}
}

// reportDue reports whether a report to the owner of the pool must be sent now.
func (b *Borrower) reportDue(now time.Time, p *borrowedPool, waiting int) bool {
	sinceLast := now.Sub(p.lastReport)
	if sinceLast < minReportInterval {
		return false
	}
	if p.reportPending ||
		b.requestsSlots(p) && (waiting > p.reportedWaiting || waiting > 0 && sinceLast > demandRepeatInterval) {
		return true
	}
	return sinceLast >= maxReportInterval && (len(p.servers.list) > 0 || !p.stateKnown)
}

// requestsSlots reports whether the waiting requests are reported as demand to the pool. Drained data centres get no
// demand. The local one always gets it, the others only when the local one is drained, unavailable or without free
// slots.
func (b *Borrower) requestsSlots(p *borrowedPool) bool {
	if p.dc == b.dc || b.rules.DrainedDCs.Has(p.dc) {
		return !b.rules.DrainedDCs.Has(p.dc)
	}
	local, ok := b.pools.get(b.dc)
	if !ok || !local.hasOwner || !local.stateKnown || local.totalSlots == 0 || local.freeSlots == 0 ||
		b.rules.DrainedDCs.Has(b.dc) {
		return !p.stateKnown || p.totalSlots > 0
	}
	return false
}

func (b *Borrower) buildReport(now time.Time, p *borrowedPool) *encoder.SlotReport {
	p.reportSeq++
	p.reportSentAt[p.reportSeq%reportHistorySize] = now
	m := &encoder.SlotReport{
		Service: b.service, Dc: p.dc, Boot: b.incarnation, Seq: p.reportSeq,
		Owner: p.ownerTerm, Applied: p.appliedLoan, Leaving: b.closing,
	}
	for _, s := range p.servers.list {
		remaining := max(0, s.latestDeadline.Sub(now)/time.Millisecond)
		m.Held = append(m.Held, &encoder.SlotHeld{
			Id: s.server.ID, Slots: uint32(s.allowedSlots), Busy: uint32(s.running), Left: uint32(remaining),
			Ok: uint32(s.unreported.ok), Failed: uint32(s.unreported.failed), Refused: uint32(s.unreported.connectFailed),
			Shed: uint32(s.unreportedSheds), Ratio: float32(s.unreported.latencyRatioSum),
		})
		s.unreported, s.unreportedSheds = responseCounts{}, 0
	}
	b.addDemand(now, m, p)
	return m
}

// addDemand adds the running requests in this pool, and the waiting requests if slots are requested from it.
func (b *Borrower) addDemand(now time.Time, m *encoder.SlotReport, p *borrowedPool) {
	type key struct{ workspace, version string }
	demand := make(map[key]*encoder.SlotDemand)
	entryFor := func(workspace, version string) *encoder.SlotDemand {
		d, ok := demand[key{workspace, version}]
		if !ok {
			d = &encoder.SlotDemand{Firm: workspace, Version: version}
			demand[key{workspace, version}] = d
			m.Demand = append(m.Demand, d)
		}
		return d
	}
	for _, q := range b.workspaces.list {
		if offered := q.arrivals.perSecond(now) * b.typicalLatency().Seconds(); offered >= minOfferedSlots &&
			b.requestsSlots(p) {
			entryFor(q.name, "").Offered = float32(offered)
		}
		for _, u := range q.usage {
			if u.dc == p.dc && u.running > 0 {
				entryFor(q.name, u.version).Running += uint32(u.running)
			}
		}
	}
	if !b.requestsSlots(p) {
		return
	}
	for _, q := range b.workspaces.list {
		for _, w := range q.waiting {
			entryFor(q.name, b.reportedVersion(w)).Waiting++
			if w.drawnForTrial && b.rules.VersionShares[b.rules.TrialVersion] > minShareForTrialDemand {
				entryFor(q.name, b.rules.TrialVersion).Waiting++
			}
		}
	}
	if b.rules.TrialVersion != "" && b.trialCredit >= 1 {
		entryFor("", b.rules.TrialVersion).Waiting++
	}
}

// reportedVersion returns the version for which a waiting request is reported.
func (b *Borrower) reportedVersion(w *waiter) string {
	if w.req.Version != "" {
		return w.req.Version
	}
	return b.rules.OldVersion
}

// minOfferedSlots is the offered load, in slots, below which a workspace's offered load is not reported.
const minOfferedSlots = 0.01

// minShareForTrialDemand is the share of the trial version above which waiting requests drawn for it are reported as
// demand for both versions. Below it, only trialCredit requests a slot of the trial version.
const minShareForTrialDemand = 0.2
