package limiter

import (
	"maps"
	"math"
	"slices"
	"time"
)

// shareInterval is how often shares are recalculated while there are enough free slots.
const shareInterval = 50 * time.Millisecond

// shareTolerance allows for noise in the measured load of a workspace that uses exactly its guaranteed share.
const shareTolerance = 1.1

// lendingNeed is one borrower's need of slots in one group of versions.
type lendingNeed struct {
	*borrowerState
	waiting int
	running int
	// idleSlots is the number of slots that the borrower is assumed not to use.
	idleSlots    int
	allowedSlots int
	chargedSlots int
	// waitingWithinShare counts the waiting requests of workspaces within their share, runningOverShare the running
	// requests of the other workspaces.
	waitingWithinShare, runningOverShare int
	// targetSlots is the number of slots to which the workspaces' shares entitle the borrower.
	targetSlots float64
}

// missingSlots returns the number of slots that the borrower lacks for its waiting requests.
func (n *lendingNeed) missingSlots() int { return max(0, n.waiting-max(0, n.idleSlots)) }

// versionGroup is a set of versions whose slots are divided together.
type versionGroup struct {
	// version is the only version of the group, or "" when the group contains all versions.
	version string
	// servesAnyVersion is true for the group that also takes requests for any version.
	servesAnyVersion bool
}

func (g versionGroup) serves(version string) bool {
	return g.version == "" || version == g.version || version == "" && g.servesAnyVersion
}

// versionGroups returns one group per version during a rollout or while a waiting request asks for a version, and
// otherwise a single group. The version with the most slots also takes requests for any version.
func (o *Owner) versionGroups(now time.Time) []versionGroup {
	perVersion := o.rules.TrialVersion != ""
	for _, b := range o.borrowers.list {
		for _, d := range b.demand {
			perVersion = perVersion || d.Version != "" && d.Waiting > 0
		}
	}
	if !perVersion {
		return []versionGroup{{servesAnyVersion: true}}
	}
	slots := make(map[string]int)
	for _, s := range o.servers.list {
		slots[s.Version] += o.slotLimit(now, s)
	}
	var groups []versionGroup
	largest := 0
	for _, v := range slices.Sorted(maps.Keys(slots)) {
		groups = append(groups, versionGroup{version: v})
		if slots[v] > slots[groups[largest].version] {
			largest = len(groups) - 1
		}
	}
	if len(groups) > 0 {
		groups[largest].servesAnyVersion = true
	}
	return groups
}

// lendGroup divides the slots of one group among the borrowers.
func (o *Owner) lendGroup(now time.Time, g versionGroup) {
	servers := o.serversIn(g)
	needs := o.lendingNeeds(now, g, servers)
	free, capacity, missing := 0, 0, 0
	for _, s := range servers {
		limit := o.slotLimit(now, s)
		capacity += limit
		free += max(0, limit-s.chargedSlots())
	}
	for _, n := range needs {
		missing += n.missingSlots()
	}
	for _, n := range needs {
		n.recalledSlots = 0
	}
	if missing > free || now.Sub(o.lastDivision) >= shareInterval {
		o.setTargets(g, needs, float64(capacity))
		o.lastDivision = now
	}
	free = o.lendFree(now, servers, needs, free)
	stillMissing := 0
	for _, n := range needs {
		stillMissing += n.missingSlots()
	}
	if stillMissing == 0 {
		if !o.slotsScarce(now) {
			o.lendAhead(now, servers, needs, free)
		}
		return
	}
	if o.recallIdle(now, needs, stillMissing) {
		return
	}
	if !o.slotsScarce(now) {
		for _, b := range o.borrowers.list {
			b.loanDue = true
		}
	}
	o.lastShortage = now
	o.recallBusy(now, needs)
}

// recallIdle recalls the missing slots from the borrowers with the most idle ones. It returns false when too few are
// idle; the caller then asks all borrowers to return their idle slots.
func (o *Owner) recallIdle(now time.Time, needs []*lendingNeed, missing int) bool {
	idle := 0
	for _, n := range needs {
		if n.waiting == 0 {
			idle += max(0, n.idleSlots)
		}
	}
	// Some of the slots reported as idle will be in use when the recall arrives.
	if idle < 2*missing {
		return false
	}
	for ; missing > 0; missing-- {
		source := maxBy(needs, func(n *lendingNeed) float64 {
			if n.waiting > 0 {
				return 0
			}
			return float64(n.idleSlots - n.recalledSlots)
		})
		if source == nil {
			break
		}
		source.recalledSlots++
	}
	o.scheduleRecalls(now, needs)
	return true
}

func (o *Owner) serversIn(g versionGroup) []*ownedServer {
	if g.version == "" {
		return o.servers.list
	}
	var servers []*ownedServer
	for _, s := range o.servers.list {
		if s.Version == g.version {
			servers = append(servers, s)
		}
	}
	return servers
}

func (o *Owner) lendingNeeds(now time.Time, g versionGroup, servers []*ownedServer) []*lendingNeed {
	needs := make([]*lendingNeed, 0, len(o.borrowers.list))
	for _, b := range o.borrowers.list {
		if now.Sub(b.lastReport) >= SlotLease || b.leaving {
			continue
		}
		n := &lendingNeed{borrowerState: b}
		for _, d := range b.demand {
			if g.serves(d.Version) {
				n.waiting += int(d.Waiting)
				n.running += int(d.Running)
			}
		}
		for _, s := range servers {
			if a := s.allocationOf(b); a != nil {
				n.allowedSlots += a.allowedSlots
				n.chargedSlots += a.chargedSlots
				n.idleSlots += a.allowedSlots - a.running
			}
		}
		needs = append(needs, n)
	}
	return needs
}

// setTargets divides the capacity among the workspaces by weighted max-min fairness, and the share of each workspace
// among the borrowers in proportion to its demand at each of them.
func (o *Owner) setTargets(g versionGroup, needs []*lendingNeed, capacity float64) {
	demand, offered := make(map[string]float64), make(map[string]float64)
	for _, need := range needs {
		for _, d := range need.demand {
			offered[d.Firm] += float64(d.Offered)
			if g.serves(d.Version) {
				demand[d.Firm] += float64(d.Waiting + d.Running)
			}
		}
	}
	var claims []shareClaim
	for _, workspace := range slices.Sorted(maps.Keys(demand)) {
		if demand[workspace] > 0 {
			claims = append(claims, shareClaim{name: workspace, weight: o.rules.weight(workspace), demand: demand[workspace]})
		}
	}
	shares := weightedMaxMin(capacity, claims)
	totalWeight := 0.0
	for _, c := range claims {
		totalWeight += c.weight
	}
	// Whether a workspace is within its share depends on its offered load. Demand is unsuitable: it grows with the
	// queue, so that a workspace that had to wait once would be served even later.
	withinShare := func(workspace string) bool {
		return offered[workspace] <= shareTolerance*capacity*o.rules.weight(workspace)/totalWeight
	}
	for _, need := range needs {
		need.overShareSlots = make(map[string]float64)
		for _, d := range need.demand {
			n := float64(d.Waiting + d.Running)
			if n == 0 || !g.serves(d.Version) {
				continue
			}
			share := shares[d.Firm] * n / demand[d.Firm]
			need.targetSlots += share
			if withinShare(d.Firm) {
				need.waitingWithinShare += int(d.Waiting)
				continue
			}
			need.overShareSlots[d.Firm] += share
			need.runningOverShare += int(d.Running)
		}
	}
}

// lendFree lends free slots to the borrowers with waiting requests, in the order of neediest, and returns the number
// of slots that remain free.
func (o *Owner) lendFree(now time.Time, servers []*ownedServer, needs []*lendingNeed, free int) int {
	for free > 0 {
		n := neediest(needs)
		if n == nil {
			return free
		}
		s := o.leastLoaded(now, servers)
		if s == nil {
			return 0
		}
		o.lendSlot(n, s)
		free--
	}
	return free
}

func (o *Owner) lendSlot(need *lendingNeed, s *ownedServer) {
	allowedSlots := 0
	if a := s.allocationOf(need.borrowerState); a != nil {
		allowedSlots = a.allowedSlots
	}
	o.setAllowedSlots(need.borrowerState, s, allowedSlots+1)
	need.allowedSlots++
	need.chargedSlots++
	need.idleSlots++
}

// neediest returns the borrower that gets the next free slot, or nil: first those with waiting requests of workspaces
// within their share, then by the distance from their targets.
func neediest(needs []*lendingNeed) *lendingNeed {
	var best *lendingNeed
	for _, n := range needs {
		if n.missingSlots() == 0 {
			continue
		}
		if best == nil || n.priority() > best.priority() ||
			n.priority() == best.priority() && n.targetDeficit() > best.targetDeficit() {
			best = n
		}
	}
	return best
}

// priority is 1 if the borrower lacks slots for requests of workspaces within their share, and otherwise 0.
func (n *lendingNeed) priority() int {
	if n.waitingWithinShare > max(0, n.idleSlots) {
		return 1
	}
	return 0
}

// targetDeficit returns how many slots the borrower is below its target.
func (n *lendingNeed) targetDeficit() float64 { return n.targetSlots - float64(n.chargedSlots) }

// leastLoaded returns the server with the largest share of free slots, to spread the load, or nil.
func (o *Owner) leastLoaded(now time.Time, servers []*ownedServer) *ownedServer {
	var best *ownedServer
	bestScore := 0.0
	for _, s := range servers {
		limit := o.slotLimit(now, s)
		free := limit - s.chargedSlots()
		if free <= 0 {
			continue
		}
		score := float64(free) / float64(limit)
		// Prefer fast servers.
		score /= math.Max(1, s.ramp.latencyRatio)
		if score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// recallBusy recalls slots that may be in use. Waiting requests of workspaces within their share get slots from
// borrowers that run requests of workspaces over their share; borrowers below their target get slots from those above
// theirs.
func (o *Owner) recallBusy(now time.Time, needs []*lendingNeed) {
	missingWithinShare, belowTarget := 0, 0
	for _, n := range needs {
		missing := max(0, n.waitingWithinShare-max(0, n.idleSlots))
		missingWithinShare += missing
		belowTarget += min(n.missingSlots()-min(n.missingSlots(), missing), max(0, int(n.targetDeficit()+0.5)))
	}
	for ; missingWithinShare > 0; missingWithinShare-- {
		source := maxBy(needs, func(n *lendingNeed) float64 {
			if n.priority() > 0 {
				return 0 // Its own slots serve its waiting requests within share first.
			}
			return float64(min(n.runningOverShare, n.allowedSlots) - n.recalledSlots)
		})
		if source == nil {
			break
		}
		source.recalledSlots++
	}
	for ; belowTarget > 0; belowTarget-- {
		source := maxBy(needs, func(n *lendingNeed) float64 { return -n.targetDeficit() - float64(n.recalledSlots) - 1 })
		if source == nil {
			break
		}
		source.recalledSlots++
	}
	o.scheduleRecalls(now, needs)
}

// scheduleRecalls makes the recalls part of the next loans, at most once per recallTTL.
func (o *Owner) scheduleRecalls(now time.Time, needs []*lendingNeed) {
	for _, n := range needs {
		if n.recalledSlots > 0 && now.Sub(n.lastRecall) >= recallTTL {
			n.loanDue, n.lastRecall = true, now
		}
	}
}

// maxBy returns the borrower with the largest positive value, or nil.
func maxBy(needs []*lendingNeed, value func(*lendingNeed) float64) *lendingNeed {
	var best *lendingNeed
	bestValue := 0.0
	for _, n := range needs {
		if v := value(n); v > bestValue {
			best, bestValue = n, v
		}
	}
	return best
}

// recallTTL is how long a recall is valid. The owner repeats it while slots are missing.
const recallTTL = 5 * time.Millisecond

// lendAhead lends free slots before they are requested, evenly to the borrowers with recent demand, so that most
// requests find a slot without a message to the owner.
func (o *Owner) lendAhead(now time.Time, servers []*ownedServer, needs []*lendingNeed, free int) {
	reserved := reservedSlots(len(needs))
	for free > reserved {
		var to *lendingNeed
		for _, n := range needs {
			if now.Sub(n.lastDemand) > activePeriod {
				continue
			}
			if to == nil || n.idleSlots < to.idleSlots {
				to = n
			}
		}
		if to == nil || to.idleSlots >= to.running+extraIdleSlots {
			return
		}
		s := o.leastLoaded(now, servers)
		if s == nil {
			return
		}
		o.lendSlot(to, s)
		free--
	}
}

const (
	// activePeriod is how long a borrower counts as active after its last demand.
	activePeriod = time.Second
	// extraIdleSlots is the number of idle slots that an active borrower may have in addition to one per running
	// request.
	extraIdleSlots = 2
)

// reservedSlots returns the number of free slots that the owner does not lend ahead, but keeps for explicit requests.
func reservedSlots(borrowers int) int { return borrowers / 4 }
