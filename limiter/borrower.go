package limiter

import (
	"math/rand/v2"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// maxReportInterval is the longest time between two reports while the borrower has slots or its view of a pool is
	// missing.
	maxReportInterval = 100 * time.Millisecond
	// minReportInterval is the shortest time between two reports to one owner.
	minReportInterval = 500 * time.Microsecond
	// minResponseReportInterval is the shortest time between reports that are sent early because of responses from
	// ramping or slow servers.
	minResponseReportInterval = 10 * time.Millisecond
	// demandRepeatInterval is the time after which waiting requests are reported again.
	demandRepeatInterval = 20 * time.Millisecond
	// idleSlotTimeout is the time after which an unused slot is returned.
	idleSlotTimeout = 300 * time.Millisecond
	// slotTransferTime is the time to move an idle slot to another entry, which takes two messages.
	slotTransferTime = 3 * time.Millisecond
	// reportHistorySize is the number of reports whose send time is kept.
	reportHistorySize = 64
	// ownerTimeout is how long an owner may leave reports unanswered before its pool counts as unreachable.
	ownerTimeout = time.Second
	// emptyPoolTTL is how long an owner's statement that its pool has no slots stays valid.
	emptyPoolTTL = 500 * time.Millisecond
	// exclusionPeriod is how long a request avoids the servers on which it has already failed.
	exclusionPeriod = 20 * time.Millisecond
	// initialLatency is assumed until a latency has been measured.
	initialLatency = 10 * time.Millisecond
	minRetryAfter  = 50 * time.Millisecond
	maxRetryAfter  = 10 * time.Second
	// maxTrialCredit limits how many missed requests the trial version may make up for.
	maxTrialCredit = 2
)

// Reasons for refusing a request.
const (
	refusedNoServer  = "no server"
	refusedQueueFull = "queue full"
	refusedDeadline  = "deadline cannot be met"
	refusedClosing   = "entry is stopping"
	refusedIsolated  = "entry is cut off"
	// refusedNotConfigured is used when the configuration no longer has the service.
	refusedNotConfigured = "service is not configured"
)

// borrowedServer is one server on which the borrower has slots or running requests.
type borrowedServer struct {
	server       sycamorevane.Server
	allowedSlots int
	running      int
	// penaltyUntil is the end of the time for which one slot is left unused after a fast failure.
	penaltyUntil   time.Time
	lastUsed       time.Time
	latestDeadline time.Time
	// unreported and unreportedSheds count the responses since the last report.
	unreported      responseCounts
	unreportedSheds int
	// consecutiveSheds counts requests that the server has shed since its last successful response. The server gets no
	// requests until pausedUntil.
	consecutiveSheds int
	pausedUntil      time.Time
	latency          time.Duration
	failureRate      float64
	// ramping is true while the ramp limit of the server is below its slots. Its responses are reported early then,
	// since the limit depends on them.
	ramping bool
}

// borrowedPool is the borrower's view of the pool of one data centre.
type borrowedPool struct {
	dc string
	// ownerTerm and appliedLoan identify the last loan that was applied.
	ownerTerm   uint64
	appliedLoan uint64
	// stateKnown is true while totalSlots and freeSlots, from the last loan, are regarded as valid.
	stateKnown     bool
	leaseExpiresAt time.Time
	reportSeq      uint64
	reportSentAt   [reportHistorySize]time.Time
	lastReport     time.Time
	// reportedWaiting is the number of waiting requests in the last report.
	reportedWaiting int
	// reportPending makes the next report go out without waiting for maxReportInterval.
	reportPending bool
	servers       sortedMap[*borrowedServer]
	// overShareSlots maps each workspace over its share to its share of the slots at this entry.
	overShareSlots map[string]float64
	totalSlots     int
	freeSlots      int
	slotsScarce    bool
	// recalledSlots is the number of slots that the owner wants back. They are returned as requests end, until
	// recallExpiresAt.
	recalledSlots   int
	recallExpiresAt time.Time
	// lastLoan is when the last loan arrived, unansweredSince when the oldest unanswered report was sent.
	lastLoan, unansweredSince time.Time
	// hasOwner is true while a live entry owns the pool.
	hasOwner bool
}

type activeRequest struct {
	sycamorevane.Grant
	workspace string
	startedAt time.Time
	deadline  time.Time
}

// Settings holds the settings of the service that a Borrower depends on.
type Settings struct {
	MaxQueued int
	Timeout   time.Duration
	// NetworkDelay is the one-way network delay to each remote data centre.
	NetworkDelay map[string]time.Duration
}

// Borrower assigns the slots that one entry has borrowed for one service to its requests. It is a pure state machine:
// the caller passes the time and executes the returned Effects.
type Borrower struct {
	service, dc string
	incarnation uint64
	settings    Settings
	rules       Rules
	picker      sycamorevane.Picker
	rng         *rand.Rand
	pools       sortedMap[*borrowedPool]
	workspaces  sortedMap[*workspaceQueue]
	// waitingCount is the number of requests that wait for a slot, over all workspaces.
	waitingCount   int
	active         map[uint64]*activeRequest
	routeLatencies map[string]*routeLatency
	lastID         uint64
	latency        time.Duration
	// arrivals covers all requests, arrivalsWithinShare those of workspaces that are within their share.
	arrivals, arrivalsWithinShare eventRate
	// quiescent is true when no slots are borrowed, no request waits and no report is due, so that Tick has nothing to
	// do.
	quiescent bool
	// trialCredit is the number of requests that the trial version has missed and may still make up for.
	trialCredit float64
	// trialBlocked is true while the evidence of this entry alone is strong enough to keep requests off the trial
	// version.
	trialBlocked bool
	closing      bool
}

// NewBorrower returns a Borrower without slots.
func NewBorrower(service, dc string, incarnation uint64, picker sycamorevane.Picker, rng *rand.Rand) *Borrower {
	return &Borrower{
		service: service, dc: dc, incarnation: incarnation, picker: picker, rng: rng,
		settings:       Settings{MaxQueued: 256, Timeout: time.Second},
		pools:          newSortedMap[*borrowedPool](),
		workspaces:     newSortedMap[*workspaceQueue](),
		active:         make(map[uint64]*activeRequest),
		routeLatencies: make(map[string]*routeLatency),
	}
}

// Granted reports that a request got a slot.
type Granted struct {
	RequestID uint64
	Grant     sycamorevane.Grant
}

// Refused reports that a request is refused.
type Refused struct {
	RequestID uint64
	Err       *sycamorevane.RefusedError
}

// Report is a message to the owner of the pool in the data centre.
type Report struct {
	DC      string
	Message *encoder.SlotReport
}

// Effects holds what the caller has to do after an event.
type Effects struct {
	Granted []Granted
	Refused []Refused
	Reports []Report
}

// BlockTrial stops or resumes sending requests to the trial version. Requests that it missed while blocked are not
// made up for.
func (b *Borrower) BlockTrial(blocked bool) {
	if blocked {
		b.trialCredit = 0
	}
	b.trialBlocked = blocked
}

// SetRules replaces the rules and settings.
func (b *Borrower) SetRules(now time.Time, rules Rules, s Settings) Effects {
	if rules.TrialVersion != b.rules.TrialVersion ||
		rules.VersionShares[rules.TrialVersion] < b.rules.VersionShares[b.rules.TrialVersion] {
		b.trialCredit = 0
	}
	b.rules, b.settings = rules, s
	for _, q := range b.workspaces.list {
		q.weight = rules.weight(q.name)
	}
	var e Effects
	b.dispatchAndReport(now, &e)
	return e
}

// SetReachableDCs tells for each data centre whether a live entry owns the pool there.
func (b *Borrower) SetReachableDCs(now time.Time, reachable map[string]bool) Effects {
	b.quiescent = false
	for dc, ok := range reachable {
		p := b.pool(dc)
		if ok != p.hasOwner {
			p.hasOwner, p.reportPending, p.stateKnown, p.reportedWaiting, p.unansweredSince = ok, true, false, 0, time.Time{}
		}
	}
	for _, p := range b.pools.list {
		if _, ok := reachable[p.dc]; !ok {
			p.hasOwner = false
		}
	}
	var e Effects
	b.dispatchAndReport(now, &e)
	return e
}

// ownerUnresponsive reports whether reports have been unanswered for longer than ownerTimeout.
func (p *borrowedPool) ownerUnresponsive(now time.Time) bool {
	return !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) > ownerTimeout
}

// expireEmptyPools discards the information that a pool has no slots once it is older than emptyPoolTTL. An owner only
// answers reports, so a borrower that stopped reporting would not learn of new servers.
func (b *Borrower) expireEmptyPools(now time.Time) {
	for _, p := range b.pools.list {
		if p.stateKnown && p.totalSlots == 0 && now.Sub(p.lastLoan) > emptyPoolTTL {
			p.stateKnown, p.reportedWaiting = false, 0
		}
	}
}

// OwnerChanged makes the next report to the data centre go out at once, to the new owner.
func (b *Borrower) OwnerChanged(dc string) {
	b.quiescent = false
	p := b.pool(dc)
	p.reportPending, p.reportedWaiting, p.unansweredSince = true, 0, time.Time{}
}

func (b *Borrower) pool(dc string) *borrowedPool {
	p, ok := b.pools.get(dc)
	if !ok {
		p = &borrowedPool{dc: dc, servers: newSortedMap[*borrowedServer]()}
		b.pools.add(dc, p)
	}
	return p
}

func (b *Borrower) workspace(name string) *workspaceQueue {
	q, ok := b.workspaces.get(name)
	if !ok {
		q = &workspaceQueue{name: name, weight: b.rules.weight(name)}
		b.workspaces.add(name, q)
	}
	return q
}

// Submit accepts a request and returns the ID that refers to it in the Effects.
func (b *Borrower) Submit(now time.Time, req sycamorevane.Request) (uint64, Effects) {
	var e Effects
	b.lastID++
	b.quiescent = false
	b.expireEmptyPools(now)
	q := b.workspace(req.Workspace)
	q.arrivals.record(now)
	b.arrivals.record(now)
	if _, overShare := b.workspaceShare(q); !overShare {
		b.arrivalsWithinShare.record(now)
	}
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(b.settings.Timeout)
	}
	w := &waiter{id: b.lastID, req: req, drawnForTrial: b.drawTrial(req), arrivedAt: now}
	if len(q.waiting) == 0 && b.tryGrant(now, q, w, &e) {
		b.dispatchAndReport(now, &e)
		return w.id, e
	}
	if err := b.admit(now, q, w); err != nil {
		e.Refused = append(e.Refused, Refused{RequestID: w.id, Err: err})
		b.dispatchAndReport(now, &e)
		return w.id, e
	}
	q.waiting = append(q.waiting, w)
	b.waitingCount++
	b.dispatchAndReport(now, &e)
	return w.id, e
}

// drawTrial randomly selects the trial version's share of requests.
func (b *Borrower) drawTrial(req sycamorevane.Request) bool {
	return req.Version == "" && b.rules.TrialVersion != "" && b.rng.Float64() < b.rules.VersionShares[b.rules.TrialVersion]
}

// Cancel removes a waiting request. It returns false when the request has already been granted or refused.
func (b *Borrower) Cancel(id uint64) bool {
	for _, q := range b.workspaces.list {
		if q.remove(id) != nil {
			b.waitingCount--
			return true
		}
	}
	return false
}

// Release frees the slot of a grant and records the outcome of the attempt.
func (b *Borrower) Release(now time.Time, id uint64, o sycamorevane.Outcome) Effects {
	var e Effects
	r, ok := b.active[id]
	if !ok {
		return e
	}
	delete(b.active, id)
	q := b.workspace(r.workspace)
	q.countRunning(&r.Server, -1)
	q.weightedSlotSeconds += now.Sub(r.startedAt).Seconds() / q.weight
	p := b.pool(r.Server.DC)
	s, ok := p.servers.get(r.Server.ID)
	if ok {
		s.running--
		s.lastUsed = now
		b.recordOutcome(now, s, r, o)
		if s.running >= s.allowedSlots {
			p.reportPending = true // A recalled slot has become free; tell the owner.
		}
	}
	if ok && p.recalledSlots > 0 && now.Before(p.recallExpiresAt) && s.allowedSlots > s.running &&
		!b.hasWaitingWithinShare() {
		p.recalledSlots--
		s.allowedSlots--
		p.reportPending = true
	}
	b.dispatch(now, &e)
	if ok && p.slotsScarce && s.allowedSlots > s.running && b.idleSlots(p) > b.idleSlotsToKeep() {
		// The slot has found no use here while requests wait at other entries.
		s.allowedSlots--
		p.reportPending = true
	}
	b.sendDueReports(now, &e)
	return e
}

// hasWaitingWithinShare reports whether a request of a workspace within its share waits here.
func (b *Borrower) hasWaitingWithinShare() bool {
	if b.waitingCount == 0 {
		return false
	}
	for _, q := range b.workspaces.list {
		if _, overShare := b.workspaceShare(q); !overShare && len(q.waiting) > 0 {
			return true
		}
	}
	return false
}

// HandleLoan applies a loan from the owner of the pool.
func (b *Borrower) HandleLoan(now time.Time, m *encoder.SlotLoan) Effects {
	var e Effects
	b.quiescent = false
	p := b.pool(m.Dc)
	if m.Boot != b.incarnation || m.Owner == p.ownerTerm && m.Number <= p.appliedLoan {
		return e
	}
	p.ownerTerm, p.appliedLoan, p.stateKnown = m.Owner, m.Number, true
	p.lastLoan, p.unansweredSince = now, time.Time{}
	if m.Report+reportHistorySize > p.reportSeq && m.Report <= p.reportSeq && m.Report > 0 {
		expiresAt := p.reportSentAt[m.Report%reportHistorySize].Add(time.Duration(m.Lease) * time.Millisecond)
		if expiresAt.After(p.leaseExpiresAt) {
			p.leaseExpiresAt = expiresAt
		}
	}
	p.totalSlots, p.freeSlots, p.slotsScarce = int(m.Total), int(m.Free), m.Scarce
	p.recalledSlots, p.recallExpiresAt = int(m.Give), now.Add(recallTTL)
	p.overShareSlots = make(map[string]float64, len(m.Shares))
	for _, s := range m.Shares {
		p.overShareSlots[s.Firm] = float64(s.Slots)
	}
	for _, lent := range m.Lent {
		b.applyLent(now, p, lent)
	}
	b.dispatch(now, &e)
	if p.slotsScarce {
		b.returnIdleSlots(p, b.idleSlots(p)-b.idleSlotsToKeep())
	} else if b.waitingCount == 0 {
		p.recalledSlots -= b.returnIdleSlots(p, min(p.recalledSlots, b.idleSlots(p)))
	}
	b.sendDueReports(now, &e)
	return e
}

func (b *Borrower) applyLent(now time.Time, p *borrowedPool, m *encoder.SlotLent) {
	if m.Server == nil {
		return
	}
	s, ok := p.servers.get(m.Server.Id)
	if !ok {
		if m.Slots == 0 {
			return
		}
		s = &borrowedServer{lastUsed: now}
		p.servers.add(m.Server.Id, s)
	}
	if m.Server.Addr != "" {
		s.server = decodeServer(m.Server)
	}
	if int(m.Slots) > s.allowedSlots {
		s.lastUsed = now
		p.reportedWaiting = 0
	} else {
		p.reportPending = true // Acknowledges the recall.
	}
	s.allowedSlots = int(m.Slots)
	s.ramping = m.Ramping
}

// Tick expires leases, refuses requests that cannot meet their deadline and sends the reports that are due.
func (b *Borrower) Tick(now time.Time) Effects {
	var e Effects
	if b.quiescent {
		return e
	}
	b.quiescent = b.waitingCount == 0
	for _, p := range b.pools.list {
		if !p.leaseExpiresAt.IsZero() && !now.Before(p.leaseExpiresAt) {
			b.expireLease(p)
		}
		b.returnUnusedSlots(now, p)
		if p.ownerUnresponsive(now) {
			p.stateKnown = false // Reports continue until the owner answers.
		}
		b.quiescent = b.quiescent && (p.stateKnown || !p.hasOwner) && !p.reportPending && len(p.servers.list) == 0
	}
	b.refuseUnservable(now, &e)
	b.dispatchAndReport(now, &e)
	if b.quiescent {
		b.clearUnanswered()
	}
	return e
}

// clearUnanswered resets the time of the first unanswered report once nothing is borrowed or wanted any more. The
// owner need not answer the report that returned the last slots. Without the reset, its silence would look like that
// of a dead owner when the next request arrives.
func (b *Borrower) clearUnanswered() {
	for _, p := range b.pools.list {
		p.unansweredSince = time.Time{}
	}
}

// returnIdleSlots returns up to n idle slots to the owner and reports how many.
func (b *Borrower) returnIdleSlots(p *borrowedPool, n int) int {
	returned := 0
	for _, s := range p.servers.list {
		for ; returned < n && s.allowedSlots > s.running; returned++ {
			s.allowedSlots--
			p.reportPending = true
		}
	}
	return returned
}

// idleSlots returns the number of unused slots in the pool.
func (b *Borrower) idleSlots(p *borrowedPool) int {
	n := 0
	for _, s := range p.servers.list {
		n += max(0, s.allowedSlots-s.running)
	}
	return n
}

// idleSlotsToKeep returns how many idle slots to keep while requests wait at other entries. Moving a slot takes
// slotTransferTime, so one that a local request is expected to use sooner is kept.
func (b *Borrower) idleSlotsToKeep() int {
	if b.arrivals.interval > 0 && b.arrivals.interval < slotTransferTime {
		return 1
	}
	return 0
}

func (b *Borrower) expireLease(p *borrowedPool) {
	for _, s := range p.servers.list {
		s.allowedSlots = 0
	}
	p.servers.removeIf(func(_ string, s *borrowedServer) bool { return s.running == 0 })
}

// returnUnusedSlots returns the slots of servers that have not been used for a while.
func (b *Borrower) returnUnusedSlots(now time.Time, p *borrowedPool) {
	p.servers.removeIf(func(_ string, s *borrowedServer) bool {
		timeout := idleSlotTimeout
		if p.slotsScarce {
			timeout = slotTransferTime
		}
		if s.allowedSlots > s.running && (b.closing || now.Sub(s.lastUsed) > timeout) {
			s.allowedSlots = s.running
			p.reportPending = true
		}
		return s.allowedSlots == 0 && s.running == 0 && s.unreported.total() == 0
	})
}

// dispatchAndReport assigns free slots to waiting requests and sends the reports that are due.
func (b *Borrower) dispatchAndReport(now time.Time, e *Effects) {
	b.dispatch(now, e)
	b.sendDueReports(now, e)
}

// RefuseWaiting refuses all waiting requests, which get no slots any more.
func (b *Borrower) RefuseWaiting(reason string) Effects {
	var e Effects
	b.refuseAll(&e, reason)
	return e
}

func (b *Borrower) refuseAll(e *Effects, reason string) {
	for _, q := range b.workspaces.list {
		for _, w := range q.waiting {
			e.Refused = append(e.Refused, Refused{RequestID: w.id, Err: b.refusedError(q, reason)})
		}
		q.waiting = nil
	}
	b.waitingCount = 0
}

// Close refuses waiting requests and returns idle slots. Running requests finish.
func (b *Borrower) Close(now time.Time) Effects {
	var e Effects
	b.closing = true
	b.refuseAll(&e, refusedClosing)
	for _, p := range b.pools.list {
		b.returnUnusedSlots(now, p)
		p.reportPending = true
		p.lastReport = time.Time{}
	}
	b.dispatchAndReport(now, &e)
	return e
}
