package limiter

import (
	"maps"
	"math"
	"slices"
	"time"
)

// shareInterval is how often shares are divided while nothing is short.
const shareInterval = 50 * time.Millisecond

// tolerance allows for the noise of the offered load of a workspace that uses just its guaranteed share.
const tolerance = 1.1

// want is the position of one borrower in the division of one version's slots.
type want struct {
	*borrowing
	waiting int
	running int
	// idle is how many lent slots the borrower is believed not to use.
	idle    int
	allowed int
	charged int
	// urgent counts the waiting requests of workspaces within their share; excess the running ones of other workspaces.
	urgent, excess int
	// target is the number of slots that the workspaces' shares entitle the borrower to.
	target float64
}

// need is the number of slots that the borrower lacks.
func (w *want) need() int { return max(0, w.waiting-max(0, w.idle)) }

// group is the set of versions whose slots are divided together.
type group struct {
	// version is "" when all versions serve the same requests.
	version string
	// rest is true for the group that also serves requests for any version.
	rest bool
}

func (g group) serves(version string) bool {
	return g.version == "" || version == g.version || version == "" && g.rest
}

// groups are the versions apart while a rollout or a request tells them apart.
func (o *Owner) groups(now time.Time) []group {
	apart := o.rules.Trial != ""
	for _, b := range o.borrowers.list {
		for _, d := range b.demand {
			apart = apart || d.Version != "" && d.Waiting > 0
		}
	}
	if !apart {
		return []group{{rest: true}}
	}
	slots := make(map[string]int)
	for _, s := range o.servers.list {
		slots[s.Version] += o.limit(now, s)
	}
	var list []group
	most := 0
	for _, v := range slices.Sorted(maps.Keys(slots)) {
		list = append(list, group{version: v})
		if slots[v] > slots[list[most].version] {
			most = len(list) - 1
		}
	}
	if len(list) > 0 {
		list[most].rest = true
	}
	return list
}

// lend divides the slots of one group of versions.
func (o *Owner) lend(now time.Time, g group) {
	pool := o.pool(g)
	wants := o.wants(now, g, pool)
	free, capacity, needs := 0, 0, 0
	for _, s := range pool {
		limit := o.limit(now, s)
		capacity += limit
		free += max(0, limit-s.charged())
	}
	for _, w := range wants {
		needs += w.need()
	}
	for _, w := range wants {
		w.give = 0
	}
	if needs > free || now.Sub(o.shared) >= shareInterval {
		o.setTargets(g, wants, float64(capacity))
		o.shared = now
	}
	free = o.lendFree(now, pool, wants, free)
	unmet := 0
	for _, w := range wants {
		unmet += w.need()
	}
	if unmet == 0 {
		if !o.scarce(now) {
			o.spread(now, pool, wants, free)
		}
		return
	}
	if o.recallIdle(now, wants, unmet) {
		return
	}
	if !o.scarce(now) {
		for _, b := range o.borrowers.list {
			b.due = true
		}
	}
	o.short = now
	o.recall(now, wants)
}

// recallIdle asks the borrowers with the most idle slots for as many as are needed. It reports false when too few are
// idle; then all idle slots are wanted back.
func (o *Owner) recallIdle(now time.Time, wants []*want, unmet int) bool {
	idle := 0
	for _, w := range wants {
		if w.waiting == 0 {
			idle += max(0, w.idle)
		}
	}
	// Part of the slots reported idle are in use by the time the request for them arrives.
	if idle < 2*unmet {
		return false
	}
	for ; unmet > 0; unmet-- {
		from := most(wants, func(w *want) float64 {
			if w.waiting > 0 {
				return 0
			}
			return float64(w.idle - w.give)
		})
		if from == nil {
			break
		}
		from.give++
	}
	o.askBack(now, wants)
	return true
}

func (o *Owner) pool(g group) []*ownedServer {
	if g.version == "" {
		return o.servers.list
	}
	var pool []*ownedServer
	for _, s := range o.servers.list {
		if s.Version == g.version {
			pool = append(pool, s)
		}
	}
	return pool
}

func (o *Owner) wants(now time.Time, g group, pool []*ownedServer) []*want {
	list := make([]*want, 0, len(o.borrowers.list))
	for _, b := range o.borrowers.list {
		if now.Sub(b.heard) >= SlotLease || b.leaving {
			continue
		}
		w := &want{borrowing: b}
		for _, d := range b.demand {
			if g.serves(d.Version) {
				w.waiting += int(d.Waiting)
				w.running += int(d.Running)
			}
		}
		for _, s := range pool {
			if h := s.at(b); h != nil {
				w.allowed += h.allowed
				w.charged += h.charged
				w.idle += h.allowed - h.busy
			}
		}
		list = append(list, w)
	}
	return list
}

// setTargets divides the capacity among workspaces by weighted max-min and each workspace's part among the borrowers by
// their part of the workspace's demand.
func (o *Owner) setTargets(g group, wants []*want, capacity float64) {
	demand, offered := make(map[string]float64), make(map[string]float64)
	for _, w := range wants {
		for _, d := range w.demand {
			offered[d.Firm] += float64(d.Offered)
			if g.serves(d.Version) {
				demand[d.Firm] += float64(d.Waiting + d.Running)
			}
		}
	}
	var parties []claimant
	for _, workspace := range slices.Sorted(maps.Keys(demand)) {
		if demand[workspace] > 0 {
			parties = append(parties, claimant{name: workspace, weight: o.rules.weight(workspace), demand: demand[workspace]})
		}
	}
	shares := maxMin(capacity, parties)
	weights := 0.0
	for _, p := range parties {
		weights += p.weight
	}
	// The offered load decides who is within its share. Demand would not do: it grows with the queue, so that a
	// workspace which had to wait once would be served later still.
	met := func(workspace string) bool {
		return offered[workspace] <= tolerance*capacity*o.rules.weight(workspace)/weights
	}
	for _, w := range wants {
		w.shares = make(map[string]float64)
		for _, d := range w.demand {
			n := float64(d.Waiting + d.Running)
			if n == 0 || !g.serves(d.Version) {
				continue
			}
			part := shares[d.Firm] * n / demand[d.Firm]
			w.target += part
			if met(d.Firm) {
				w.urgent += int(d.Waiting)
				continue
			}
			w.shares[d.Firm] += part
			w.excess += int(d.Running)
		}
	}
}

// lendFree lends free slots to borrowers with waiting requests, first to the one furthest below its target, and
// returns the number of slots that stay free.
func (o *Owner) lendFree(now time.Time, pool []*ownedServer, wants []*want, free int) int {
	for free > 0 {
		w := neediest(wants)
		if w == nil {
			return free
		}
		s := o.freest(now, pool)
		if s == nil {
			return 0
		}
		o.give(w, s)
		free--
	}
	return free
}

func (o *Owner) give(w *want, s *ownedServer) {
	n := 0
	if h := s.at(w.borrowing); h != nil {
		n = h.allowed
	}
	o.setAllowed(w.borrowing, s, n+1)
	w.allowed++
	w.charged++
	w.idle++
}

// neediest returns the borrower that a free slot should go to: first for workspaces within their share, then by distance
// from the target.
func neediest(wants []*want) *want {
	var best *want
	for _, w := range wants {
		if w.need() == 0 {
			continue
		}
		if best == nil || w.urgency() > best.urgency() || w.urgency() == best.urgency() && w.lack() > best.lack() {
			best = w
		}
	}
	return best
}

// urgency is 1 while requests of workspaces within their share lack a slot.
func (w *want) urgency() int {
	if w.urgent > max(0, w.idle) {
		return 1
	}
	return 0
}

// lack is how far the borrower is below its target.
func (w *want) lack() float64 { return w.target - float64(w.charged) }

// freest returns the server with the most free slots, so that load spreads, or nil.
func (o *Owner) freest(now time.Time, pool []*ownedServer) *ownedServer {
	var best *ownedServer
	most := 0.0
	for _, s := range pool {
		limit := o.limit(now, s)
		free := limit - s.charged()
		if free <= 0 {
			continue
		}
		rank := float64(free) / float64(limit)
		// Slow servers are the last choice.
		rank /= math.Max(1, s.ramp.ratio)
		if rank > most {
			best, most = s, rank
		}
	}
	return best
}

// recall asks borrowers for slots: for requests of workspaces within their share from those that run other workspaces'
// requests, and for borrowers below their target from those above theirs.
func (o *Owner) recall(now time.Time, wants []*want) {
	urgent, short := 0, 0
	for _, w := range wants {
		lacking := max(0, w.urgent-max(0, w.idle))
		urgent += lacking
		short += min(w.need()-min(w.need(), lacking), max(0, int(w.lack()+0.5)))
	}
	for ; urgent > 0; urgent-- {
		from := most(wants, func(w *want) float64 {
			if w.urgency() > 0 {
				return 0 // Its own slots serve its urgent requests first.
			}
			return float64(min(w.excess, w.allowed) - w.give)
		})
		if from == nil {
			break
		}
		from.give++
	}
	for ; short > 0; short-- {
		from := most(wants, func(w *want) float64 { return -w.lack() - float64(w.give) - 1 })
		if from == nil {
			break
		}
		from.give++
	}
	o.askBack(now, wants)
}

// askBack sends the requests for slots.
func (o *Owner) askBack(now time.Time, wants []*want) {
	for _, w := range wants {
		if w.give > 0 && now.Sub(w.asked) >= giveTime {
			w.due, w.asked = true, now
		}
	}
}

// most returns the borrower with the largest positive value, or nil.
func most(wants []*want, value func(*want) float64) *want {
	var best *want
	high := 0.0
	for _, w := range wants {
		if v := value(w); v > high {
			best, high = w, v
		}
	}
	return best
}

// giveTime is how long a borrower keeps to a request for slots; the owner repeats it while the need lasts.
const giveTime = 5 * time.Millisecond

// spread lends free slots ahead of demand, evenly to the borrowers with recent demand, so that most requests find a
// slot without asking.
func (o *Owner) spread(now time.Time, pool []*ownedServer, wants []*want, free int) {
	keep := reserve(len(wants))
	for free > keep {
		var to *want
		for _, w := range wants {
			if now.Sub(w.active) > activeTime {
				continue
			}
			if to == nil || w.idle < to.idle {
				to = w
			}
		}
		if to == nil || to.idle >= to.running+idleMin {
			return
		}
		s := o.freest(now, pool)
		if s == nil {
			return
		}
		o.give(to, s)
		free--
	}
}

const (
	// activeTime is how long a borrower counts as active after its last demand.
	activeTime = time.Second
	// idleMin is the number of slots that an active borrower may hold idle beyond one per running request.
	idleMin = 2
)

// reserve is the number of free slots that the owner keeps for requests that ask.
func reserve(borrowers int) int { return borrowers / 4 }
