package balancer

import (
	"cmp"
	"slices"
	"time"
)

// sentReport is a report whose offers may be in use.
type sentReport struct {
	at     time.Time
	seq    uint64
	offers map[string]float64
}

// borrower is another data centre in the division of the own room.
type borrower struct {
	dc string
	// want is the rate that it asks for, share its part of the room, committed the highest rate that it may send by the
	// offers already made.
	want, share, committed float64
}

// divideOffers divides the room among the borrowers. The sum of the offers and of those that may still be in use stays
// within the room, unless the room itself has become smaller: an offer ends when its borrower has seen a later one, or
// after maxAge.
func (p *Pool) divideOffers(now time.Time, in Input, lost bool, ownUrgent float64) map[string]float64 {
	p.sent = slices.DeleteFunc(p.sent, func(s sentReport) bool { return now.Sub(s.at) > maxAge })
	room := room(in.Summary, ownUrgent)
	if lost || now.Sub(p.created) < maxAge {
		room = 0
	}
	var borrowers []*borrower
	free := room
	for i := range in.Others {
		r := &in.Others[i]
		b := &borrower{dc: r.DC, committed: p.committedTo(r)}
		free -= b.committed
		if p.ageBound(now, r) <= maxAge {
			b.want = r.Report.Want[p.dc]
			borrowers = append(borrowers, b)
		}
	}
	divideMaxMin(room, borrowers)

	increase := 0.0
	for _, b := range borrowers {
		increase += max(0, b.share-b.committed)
	}
	scale := 1.0
	if increase > 0 {
		scale = min(1, max(0, free)/increase)
	}
	offers := map[string]float64{}
	for _, b := range borrowers {
		offers[b.dc] = min(b.share, b.committed+max(0, b.share-b.committed)*scale)
	}
	return offers
}

// committedTo returns the highest rate that a borrower may send by the offers that it has or may yet receive.
func (p *Pool) committedTo(r *Remote) float64 {
	var seen uint64
	if r.Report != nil {
		seen = r.Report.Seen[p.dc]
	}
	known := slices.ContainsFunc(p.sent, func(s sentReport) bool { return s.seq == seen })
	highest := 0.0
	for _, s := range p.sent {
		if !known || s.seq >= seen {
			highest = max(highest, s.offers[r.DC])
		}
	}
	return highest
}

// divideMaxMin divides the room by max-min fairness: nobody gets more than it wants while another gets less. The
// remaining room is divided evenly, so that a borrower whose need is sudden can use it at once.
func divideMaxMin(room float64, borrowers []*borrower) {
	slices.SortStableFunc(borrowers, func(a, b *borrower) int {
		return cmp.Or(cmp.Compare(a.want, b.want), cmp.Compare(a.dc, b.dc))
	})
	for i, b := range borrowers {
		b.share = min(b.want, room/float64(len(borrowers)-i))
		room -= b.share
	}
	for _, b := range borrowers {
		b.share += room / float64(len(borrowers))
	}
}
