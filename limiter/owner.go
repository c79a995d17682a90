package limiter

import (
	"maps"
	"math"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/prober"
)

const (
	// SlotLease is how long a borrower may use its slots after the report that renewed the lease.
	SlotLease = 500 * time.Millisecond
	// loanResendTimeout is the time after which an unacknowledged loan is sent again.
	loanResendTimeout = 250 * time.Millisecond
	// minRenewInterval is the time after which a report is answered even without changes, to renew the lease.
	minRenewInterval = 80 * time.Millisecond
	// scarcePeriod is how long borrowers must return idle slots at once after a request found no free slot.
	scarcePeriod = 100 * time.Millisecond
	// borrowerRetention is how long a silent borrower without charged slots is kept.
	borrowerRetention = 5 * time.Second
	// undrainRampTime is the time in which a data centre ramps up to its full share after the end of a drain.
	undrainRampTime = 5 * time.Second
)

// Rules is the part of the committed state that lending depends on.
type Rules struct {
	// Weights maps workspaces to their weights. Workspaces not listed have weight 1.
	Weights map[string]float64
	// VersionShares maps versions to their shares of calls. Nil means no restriction.
	VersionShares map[string]float64
	// TrialVersion is the version under rollout that has not been accepted, or "".
	TrialVersion string
	// OldVersion takes the requests for which the trial version has no free slot.
	OldVersion     string
	DrainedDCs     sycamorevane.Set[string]
	DrainedServers sycamorevane.Set[string]
}

func (r *Rules) weight(workspace string) float64 {
	if w, ok := r.Weights[workspace]; ok && w > 0 {
		return w
	}
	return 1
}

// allowsNewWork reports whether new requests may be sent to the server.
func (r *Rules) allowsNewWork(s *sycamorevane.Server) bool {
	if s.State == sycamorevane.ServerDraining || r.DrainedDCs.Has(s.DC) || r.DrainedServers.Has(s.ID) {
		return false
	}
	return r.VersionShares == nil || r.VersionShares[s.Version] > 0
}

// allocation holds the slots of one server that are lent to one borrower.
type allocation struct {
	// allowedSlots is the number of slots that the borrower may use.
	allowedSlots int
	// chargedSlots is the number of slots that count as taken. It is at least allowedSlots while the lease is valid.
	chargedSlots int
	running      int
	// loanNumber is the number of the loan that last stated allowedSlots.
	loanNumber uint64
	// latestDeadline is the latest deadline of the requests that the borrower runs on the server.
	latestDeadline time.Time
}

// ownedServer is a server of the pool with its ramp limit and the allocations of its slots.
type ownedServer struct {
	sycamorevane.Server
	ramp *ramp
	// allocations is indexed by borrowerState.index. Borrowers without slots on the server have nil.
	allocations []*allocation
	// orphaned holds the running requests of former processes of borrowers. They are charged until their deadline.
	orphaned []*allocation
	// runningProbes is 1 while a probe is running.
	runningProbes int
	probesSent    uint64
	// removed is true when the server is no longer in the list of live servers.
	removed bool
}

func (s *ownedServer) allocationOf(b *borrowerState) *allocation {
	if b.index < len(s.allocations) {
		return s.allocations[b.index]
	}
	return nil
}

func (s *ownedServer) ensureAllocation(b *borrowerState) *allocation {
	for b.index >= len(s.allocations) {
		s.allocations = append(s.allocations, nil)
	}
	if s.allocations[b.index] == nil {
		s.allocations[b.index] = &allocation{}
	}
	return s.allocations[b.index]
}

func (s *ownedServer) removeAllocation(b *borrowerState) {
	if b.index < len(s.allocations) {
		s.allocations[b.index] = nil
	}
}

func (s *ownedServer) chargedSlots() int {
	n := s.runningProbes
	for _, a := range s.orphaned {
		n += a.running
	}
	for _, a := range s.allocations {
		if a != nil {
			n += a.chargedSlots
		}
	}
	return n
}

func (s *ownedServer) busySlots() int {
	n := s.runningProbes
	for _, a := range s.orphaned {
		n += a.running
	}
	for _, a := range s.allocations {
		if a != nil {
			n += a.running
		}
	}
	return n
}

// borrowerState is what the owner knows of one borrower.
type borrowerState struct {
	name string
	// index is the borrower's position in the allocations of every server.
	index       int
	incarnation uint64
	reportSeq   uint64
	lastReport  time.Time
	demand      []*encoder.SlotDemand
	// changedServers holds the IDs of the servers that the next loan has to include.
	changedServers sycamorevane.Set[string]
	// loanDue is set when a loan must be sent even if nothing has changed.
	loanDue bool
	leaving bool
	// lastLoanSent is when the last loan was sent, lastChangeSent when the last one that changed an allocation was.
	lastLoanSent, lastChangeSent time.Time
	// lastDemand is when the borrower last reported demand.
	lastDemand       time.Time
	lastChangeNumber uint64
	ackedNumber      uint64
	// overShareSlots maps each workspace over its share to its share of the slots at the borrower.
	overShareSlots map[string]float64
	// recalledSlots is the number of slots that the borrower is to return, lastRecall when it was last told so.
	recalledSlots int
	lastRecall    time.Time
}

// Owner lends the slots of one service in one data centre. It is a pure state machine: the caller passes the time and
// sends the returned loans.
type Owner struct {
	service, dc string
	// term identifies the loans of this owner.
	term           uint64
	lastLoanNumber uint64
	// readyAt is when the owner begins to lend free slots, one lease after its start.
	readyAt     time.Time
	rules       Rules
	undrainedAt time.Time
	servers     sortedMap[*ownedServer]
	borrowers   sortedMap[*borrowerState]
	// usedIndexes marks the values of borrowerState.index that are in use.
	usedIndexes []bool
	// lastShortage is when a waiting request last found no free slot, lastDivision when shares were last divided.
	lastShortage, lastDivision time.Time
	budget                     *prober.Budget
	// receivedLimits holds ramp limits from the former owner for servers that are not known yet.
	receivedLimits map[string]float64
}

// NewOwner starts a new term. For the duration of one lease the owner lends no slots other than those that borrowers
// report to have.
func NewOwner(now time.Time, service, dc string, term uint64) *Owner {
	return &Owner{
		service: service, dc: dc, term: term, readyAt: now.Add(SlotLease),
		servers:        newSortedMap[*ownedServer](),
		borrowers:      newSortedMap[*borrowerState](),
		budget:         prober.NewBudget(now.Add(SlotLease), 0),
		receivedLimits: make(map[string]float64),
	}
}

// Loan is a message to one borrower.
type Loan struct {
	To      string
	Message *encoder.SlotLoan
}

// SetRules replaces the rules. A new, non-zero undrainedAt starts the ramp of the data centre after a drain.
func (o *Owner) SetRules(now time.Time, rules Rules, undrainedAt time.Time) []Loan {
	if !undrainedAt.IsZero() && !undrainedAt.Equal(o.undrainedAt) {
		for _, s := range o.servers.list {
			s.ramp.reset(reasonUndrained)
		}
	}
	o.undrainedAt = undrainedAt
	o.rules = rules
	return o.balance(now)
}

// SetServers replaces the list of live servers in the pool.
func (o *Owner) SetServers(now time.Time, servers []sycamorevane.Server) []Loan {
	live := make(sycamorevane.Set[string], len(servers))
	for _, v := range servers {
		if v.Service != o.service || v.DC != o.dc {
			continue
		}
		live.Add(v.ID)
		o.addServer(v)
	}
	for _, s := range o.servers.list {
		if !live.Has(s.ID) {
			s.State, s.removed = sycamorevane.ServerDraining, true
		}
	}
	o.dropRemovedServers()
	return o.balance(now)
}

// dropRemovedServers deletes removed servers on which nothing runs any more.
func (o *Owner) dropRemovedServers() {
	o.servers.removeIf(func(_ string, s *ownedServer) bool { return s.removed && s.chargedSlots() == 0 })
}

func (o *Owner) addServer(v sycamorevane.Server) {
	s, ok := o.servers.get(v.ID)
	if !ok {
		s = &ownedServer{ramp: newRamp(v.Slots)}
		if limit, ok := o.receivedLimits[v.ID]; ok {
			s.ramp.limit = math.Min(limit, float64(v.Slots))
			delete(o.receivedLimits, v.ID)
		}
		o.servers.add(v.ID, s)
	}
	s.Server, s.removed = v, false
	s.ramp.slots = v.Slots
	s.ramp.limit = math.Min(s.ramp.limit, float64(v.Slots))
}

// HandleHandover applies the ramp limits of the former owner.
func (o *Owner) HandleHandover(m *encoder.SlotHandover) {
	for _, r := range m.Ramps {
		s, ok := o.servers.get(r.Id)
		if !ok {
			o.receivedLimits[r.Id] = float64(r.Limit)
			continue
		}
		if s.ramp.reason == reasonNew {
			s.ramp.limit = math.Max(s.ramp.limit, math.Min(float64(r.Limit), float64(s.Slots)))
		}
	}
}

// RampLimits returns the ramp limits for the next owner.
func (o *Owner) RampLimits() *encoder.SlotHandover {
	m := &encoder.SlotHandover{Service: o.service, Dc: o.dc}
	for _, s := range o.servers.list {
		m.Ramps = append(m.Ramps, &encoder.SlotRamp{Id: s.ID, Limit: float32(s.ramp.limit)})
	}
	return m
}

// HandleReport processes a borrower's report of its slots and demand and returns the resulting loans.
func (o *Owner) HandleReport(now time.Time, from string, m *encoder.SlotReport) []Loan {
	b := o.borrower(now, from, m.Boot)
	if m.Seq <= b.reportSeq {
		return nil
	}
	b.reportSeq, b.lastReport, b.demand, b.leaving = m.Seq, now, m.Demand, m.Leaving
	b.loanDue = b.loanDue || now.Sub(b.lastLoanSent) >= minRenewInterval
	if len(m.Demand) > 0 {
		b.lastDemand = now
	}
	currentTerm := m.Owner == o.term
	if currentTerm {
		b.ackedNumber = max(b.ackedNumber, m.Applied)
	}
	listed := make(sycamorevane.Set[string], len(m.Held))
	for _, held := range m.Held {
		listed.Add(held.Id)
		o.updateAllocation(now, b, held, currentTerm, m.Applied)
	}
	for _, s := range o.servers.list {
		if a := s.allocationOf(b); a != nil && !listed.Has(s.ID) {
			o.updateAllocation(now, b, &encoder.SlotHeld{Id: s.ID}, currentTerm, m.Applied)
			if a.chargedSlots == 0 && a.allowedSlots == 0 {
				s.removeAllocation(b)
			}
		}
	}
	return o.balance(now)
}

// borrower returns the state of the borrower. If the borrower's process has restarted, the slots of the former
// process are released first.
func (o *Owner) borrower(now time.Time, name string, incarnation uint64) *borrowerState {
	b, ok := o.borrowers.get(name)
	if ok && b.incarnation == incarnation {
		return b
	}
	if ok {
		o.orphanRequests(now, b)
		o.borrowers.remove(name)
		o.usedIndexes[b.index] = false
	}
	b = &borrowerState{
		name: name, incarnation: incarnation, index: o.allocateIndex(), changedServers: make(sycamorevane.Set[string]),
	}
	o.borrowers.add(name, b)
	return b
}

func (o *Owner) allocateIndex() int {
	i := slices.Index(o.usedIndexes, false)
	if i < 0 {
		i = len(o.usedIndexes)
		o.usedIndexes = append(o.usedIndexes, false)
	}
	o.usedIndexes[i] = true
	return i
}

// orphanRequests releases the slots of a dead process, but keeps its running requests charged until their deadline.
func (o *Owner) orphanRequests(now time.Time, b *borrowerState) {
	for _, s := range o.servers.list {
		a := s.allocationOf(b)
		if a != nil && a.running > 0 && a.latestDeadline.After(now) {
			s.orphaned = append(s.orphaned, a)
		}
		s.removeAllocation(b)
	}
}

// updateAllocation applies what a borrower reports of one server. currentTerm is true if the borrower has applied a
// loan of this owner, and applied is the number of the last one.
func (o *Owner) updateAllocation(now time.Time, b *borrowerState, m *encoder.SlotHeld, currentTerm bool, applied uint64) {
	s, ok := o.servers.get(m.Id)
	if !ok {
		if m.Slots > 0 {
			b.changedServers.Add(m.Id) // The server no longer exists; tell the borrower to stop using it.
		}
		return
	}
	known := s.allocationOf(b) != nil
	a := s.ensureAllocation(b)
	a.running = int(m.Busy)
	a.latestDeadline = now.Add(time.Duration(m.Left) * time.Millisecond)
	switch {
	case !known && !currentTerm:
		// The slots were lent by the former owner.
		a.allowedSlots = int(m.Slots)
		a.chargedSlots = max(a.allowedSlots, a.running)
		s.ramp.limit = math.Min(float64(s.Slots), math.Max(s.ramp.limit, float64(s.chargedSlots())))
	case currentTerm && applied >= a.loanNumber:
		a.allowedSlots = min(a.allowedSlots, int(m.Slots))
		a.chargedSlots = max(a.allowedSlots, a.running)
	default:
		// The borrower has not applied the last change yet, so no slots may be released.
		a.chargedSlots = max(a.chargedSlots, a.running)
	}
	s.ramp.keepFullLimit = o.mostServersSlow()
	s.ramp.observe(now, responseCounts{
		ok: int(m.Ok), failed: int(m.Failed), connectFailed: int(m.Refused), shed: int(m.Shed),
		latencyRatioSum: float64(m.Ratio),
	})
}

// mostServersSlow reports whether most servers are slow at the same time. The cause is then something that they
// share, and reducing their slots would only make things worse.
func (o *Owner) mostServersSlow() bool {
	slow, measured := 0, 0
	for _, s := range o.servers.list {
		if s.ramp.reason == reasonReady {
			measured++
			if s.ramp.latencyRatio > goodRatio {
				slow++
			}
		}
	}
	return measured > 2 && 2*slow > measured
}

// Tick expires leases, ends the pauses of failing servers and lends slots that have become free.
func (o *Owner) Tick(now time.Time) []Loan {
	for _, b := range o.borrowers.list {
		if now.Sub(b.lastReport) >= SlotLease {
			o.expireLease(now, b)
		}
	}
	o.borrowers.removeIf(func(_ string, b *borrowerState) bool { return o.removeIfUnused(now, b) })
	for _, s := range o.servers.list {
		s.ramp.tick(now)
		s.orphaned = slices.DeleteFunc(s.orphaned, func(a *allocation) bool { return !now.Before(a.latestDeadline) })
	}
	o.dropRemovedServers()
	return o.balance(now)
}

// expireLease takes back the slots of a silent borrower. Requests that it reported as running stay charged until
// their deadline.
func (o *Owner) expireLease(now time.Time, b *borrowerState) {
	b.demand = nil
	for _, s := range o.servers.list {
		a := s.allocationOf(b)
		if a == nil {
			continue
		}
		a.allowedSlots = 0
		a.chargedSlots = 0
		if now.Before(a.latestDeadline) {
			a.chargedSlots = a.running
		}
		if a.chargedSlots == 0 {
			s.removeAllocation(b)
		}
	}
}

// removeIfUnused reports whether a silent borrower has no slots left and can be deleted, and frees its index if so.
func (o *Owner) removeIfUnused(now time.Time, b *borrowerState) bool {
	if now.Sub(b.lastReport) < borrowerRetention {
		return false
	}
	for _, s := range o.servers.list {
		if s.allocationOf(b) != nil {
			return false
		}
	}
	o.usedIndexes[b.index] = false
	return true
}

// slotLimit returns the number of slots of the server that may be lent.
func (o *Owner) slotLimit(now time.Time, s *ownedServer) int {
	if !o.rules.allowsNewWork(&s.Server) {
		return 0
	}
	limit := s.ramp.limit
	if !o.undrainedAt.IsZero() {
		if age := now.Sub(o.undrainedAt); age < undrainRampTime {
			limit = math.Min(limit, 1+float64(s.Slots-1)*float64(age)/float64(undrainRampTime))
		}
	}
	return int(limit)
}

// balance recalls slots above the limits, lends free slots according to the workspaces' shares, and recalls further
// slots for waiting requests.
func (o *Owner) balance(now time.Time) []Loan {
	o.recallAboveLimit(now)
	if !now.Before(o.readyAt) {
		for _, group := range o.versionGroups(now) {
			o.lendGroup(now, group)
		}
	}
	return o.dueLoans(now)
}

// recallAboveLimit recalls the slots that exceed a server's limit, first from the borrower with the most idle ones.
func (o *Owner) recallAboveLimit(now time.Time) {
	for _, s := range o.servers.list {
		allowedSlots := 0
		for _, a := range s.allocations {
			if a != nil {
				allowedSlots += a.allowedSlots
			}
		}
		for excess := allowedSlots - o.slotLimit(now, s); excess > 0; excess-- {
			b := o.mostIdle(s)
			if b == nil {
				break
			}
			o.setAllowedSlots(b, s, s.allocationOf(b).allowedSlots-1)
		}
	}
}

func (o *Owner) mostIdle(s *ownedServer) *borrowerState {
	var best *borrowerState
	idle := math.MinInt
	for _, b := range o.borrowers.list {
		if a := s.allocationOf(b); a != nil && a.allowedSlots > 0 && a.allowedSlots-a.running > idle {
			best, idle = b, a.allowedSlots-a.running
		}
	}
	return best
}

func (o *Owner) setAllowedSlots(b *borrowerState, s *ownedServer, n int) {
	a := s.ensureAllocation(b)
	a.allowedSlots = n
	a.chargedSlots = max(a.chargedSlots, n)
	a.loanNumber = o.lastLoanNumber + 1
	b.changedServers.Add(s.ID)
}

// dueLoans builds one loan for each borrower that must be told something.
func (o *Owner) dueLoans(now time.Time) []Loan {
	var out []Loan
	totalSlots, freeSlots := -1, 0
	for _, b := range o.borrowers.list {
		if now.Sub(b.lastReport) >= SlotLease {
			continue
		}
		if b.lastChangeNumber > b.ackedNumber && now.Sub(b.lastChangeSent) > loanResendTimeout {
			o.markAllChanged(b)
		}
		if !b.loanDue && len(b.changedServers) == 0 {
			continue
		}
		if totalSlots < 0 {
			totalSlots, freeSlots = o.capacity(now)
		}
		out = append(out, Loan{To: b.name, Message: o.buildLoan(now, b, totalSlots, freeSlots)})
	}
	return out
}

func (o *Owner) buildLoan(now time.Time, b *borrowerState, totalSlots, freeSlots int) *encoder.SlotLoan {
	o.lastLoanNumber++
	m := &encoder.SlotLoan{
		Service: o.service, Dc: o.dc, Owner: o.term, Number: o.lastLoanNumber, Boot: b.incarnation, Report: b.reportSeq,
		Lease: uint32(SlotLease / time.Millisecond), Total: uint32(totalSlots), Free: uint32(freeSlots),
		Scarce: o.slotsScarce(now), Give: uint32(b.recalledSlots),
	}
	for _, id := range b.changedServers.Sorted() {
		m.Lent = append(m.Lent, o.buildLent(b, id))
	}
	for _, workspace := range slices.Sorted(maps.Keys(b.overShareSlots)) {
		m.Shares = append(m.Shares, &encoder.SlotShare{Firm: workspace, Slots: float32(b.overShareSlots[workspace])})
	}
	if len(b.changedServers) > 0 {
		b.lastChangeNumber, b.lastChangeSent = o.lastLoanNumber, now
	}
	clear(b.changedServers)
	b.loanDue, b.lastLoanSent = false, now
	return m
}

// slotsScarce reports whether borrowers should return idle slots at once.
func (o *Owner) slotsScarce(now time.Time) bool {
	return !o.lastShortage.IsZero() && now.Sub(o.lastShortage) < scarcePeriod
}

func (o *Owner) buildLent(b *borrowerState, id string) *encoder.SlotLent {
	s, ok := o.servers.get(id)
	if !ok {
		return &encoder.SlotLent{Server: &encoder.Server{Id: id}}
	}
	lent := &encoder.SlotLent{Server: encodeServer(&s.Server), Ramping: s.ramp.limit < float64(s.Slots)}
	if a := s.allocationOf(b); a != nil {
		lent.Slots = uint32(a.allowedSlots)
		a.loanNumber = o.lastLoanNumber
	}
	return lent
}

// markAllChanged makes the next loan state everything that the borrower has, since an earlier loan may have been
// lost.
func (o *Owner) markAllChanged(b *borrowerState) {
	for _, s := range o.servers.list {
		if s.allocationOf(b) != nil {
			b.changedServers.Add(s.ID)
		}
	}
	b.loanDue = true
}

func (o *Owner) capacity(now time.Time) (total, free int) {
	for _, s := range o.servers.list {
		limit := o.slotLimit(now, s)
		total += limit
		free += max(0, limit-s.chargedSlots())
	}
	return total, free
}

func encodeServer(s *sycamorevane.Server) *encoder.Server {
	return &encoder.Server{
		Service: s.Service, Version: s.Version, Id: s.ID, Addr: s.Addr, Dc: s.DC,
		Slots: uint32(s.Slots), Conns: uint32(s.MaxConns), State: string(s.State), Load: uint32(s.Load),
	}
}

func decodeServer(m *encoder.Server) sycamorevane.Server {
	return sycamorevane.Server{
		Service: m.Service, Version: m.Version, ID: m.Id, Addr: m.Addr, DC: m.Dc,
		Slots: int(m.Slots), MaxConns: int(m.Conns), State: sycamorevane.ServerState(m.State), Load: int(m.Load),
	}
}
