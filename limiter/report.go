package limiter

import (
	"time"

	"sycamorevane.example/sycamorevane/encoder"
)

// report sends the reports that are due.
func (b *Borrower) report(now time.Time, e *Effects) {
	for _, l := range b.lenders.list {
		if !l.reachable || !b.due(now, l, b.waiting) {
			continue
		}
		e.Reports = append(e.Reports, Report{DC: l.dc, Message: b.message(now, l)})
		l.asked = 0
		if b.asks(l) {
			l.asked = b.waiting
		}
		l.last, l.changed = now, false
		if l.unanswered.IsZero() {
			l.unanswered = now
		}
	}
}

// due reports whether the owner has to hear from the borrower now.
func (b *Borrower) due(now time.Time, l *lender, waiting int) bool {
	since := now.Sub(l.last)
	if since < reportGap {
		return false
	}
	if l.changed || b.asks(l) && (waiting > l.asked || waiting > 0 && since > askTimeout) {
		return true
	}
	return since >= reportInterval && (len(l.held.list) > 0 || !l.known)
}

// asks reports whether waiting requests are announced to the pool: the own data centre first, others when it is short.
func (b *Borrower) asks(l *lender) bool {
	if l.dc == b.dc || b.rules.DCs.Has(l.dc) {
		return !b.rules.DCs.Has(l.dc)
	}
	own, ok := b.lenders.get(b.dc)
	if !ok || !own.reachable || !own.known || own.total == 0 || own.free == 0 || b.rules.DCs.Has(b.dc) {
		return !l.known || l.total > 0
	}
	return false
}

func (b *Borrower) message(now time.Time, l *lender) *encoder.SlotReport {
	l.seq++
	l.sent[l.seq%seqWindow] = now
	m := &encoder.SlotReport{
		Service: b.service, Dc: l.dc, Boot: b.incarnation, Seq: l.seq, Owner: l.owner, Applied: l.applied, Leaving: b.closing,
	}
	for _, h := range l.held.list {
		left := max(0, h.latest.Sub(now)/time.Millisecond)
		m.Held = append(m.Held, &encoder.SlotHeld{
			Id: h.server.ID, Slots: uint32(h.allowed), Busy: uint32(h.busy), Left: uint32(left),
			Ok: uint32(h.fresh.ok), Failed: uint32(h.fresh.failed), Refused: uint32(h.fresh.refused),
			Shed: uint32(h.shed), Ratio: float32(h.fresh.ratio),
		})
		h.fresh, h.shed = answers{}, 0
	}
	b.addDemand(now, m, l)
	return m
}

// addDemand states the waiting requests where they are asked for, and the running ones of this pool.
func (b *Borrower) addDemand(now time.Time, m *encoder.SlotReport, l *lender) {
	type key struct{ workspace, version string }
	demand := make(map[key]*encoder.SlotDemand)
	at := func(workspace, version string) *encoder.SlotDemand {
		d, ok := demand[key{workspace, version}]
		if !ok {
			d = &encoder.SlotDemand{Firm: workspace, Version: version}
			demand[key{workspace, version}] = d
			m.Demand = append(m.Demand, d)
		}
		return d
	}
	for _, q := range b.workspaces.list {
		if offered := q.arrivals.rate(now) * b.usual().Seconds(); offered >= minOffered && b.asks(l) {
			at(q.name, "").Offered = float32(offered)
		}
		for _, use := range q.use {
			if use.dc == l.dc && use.n > 0 {
				at(q.name, use.version).Running += uint32(use.n)
			}
		}
	}
	if !b.asks(l) {
		return
	}
	for _, q := range b.workspaces.list {
		for _, w := range q.waiting {
			at(q.name, b.wanted(w)).Waiting++
			if w.drawn && b.rules.Share[b.rules.Trial] > wideShare {
				at(q.name, b.rules.Trial).Waiting++
			}
		}
	}
	if b.rules.Trial != "" && b.credit >= 1 {
		at("", b.rules.Trial).Waiting++
	}
}

// wanted is the version under which a waiting request is reported.
func (b *Borrower) wanted(w *waiter) string {
	if w.req.Version != "" {
		return w.req.Version
	}
	return b.rules.Old
}

// minOffered is the offered load in slots below which a workspace is not mentioned.
const minOffered = 0.01

// wideShare is the share of the trial version from which waiting requests drawn for it are reported for both
// versions. Below it the credit alone asks for a slot of the trial version.
const wideShare = 0.2
