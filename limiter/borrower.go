package limiter

import (
	"math/rand/v2"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// reportInterval is the longest time between two reports while something is held or wanted.
	reportInterval = 100 * time.Millisecond
	// reportGap is the shortest time between two reports to one owner.
	reportGap = 500 * time.Microsecond
	// answerGap is the shortest time between reports that are sent for answers of ramping or slow servers.
	answerGap = 10 * time.Millisecond
	// askTimeout is how long a request without a slot is not reported a second time.
	askTimeout = 20 * time.Millisecond
	// idleReturn is how long a slot stays unused before it is given back.
	idleReturn = 300 * time.Millisecond
	// passTime is what passing an idle slot on to another entry takes: two messages.
	passTime = 3 * time.Millisecond
	// seqWindow is the number of reports whose send time is remembered.
	seqWindow = 64
	// answerTime is how long an owner may leave reports unanswered before its servers count as unreachable.
	answerTime = time.Second
	// emptyAge is how long an owner's word that it has no servers counts.
	emptyAge = 500 * time.Millisecond
	// avoidTime is how long a request waits for a server that has not failed it yet.
	avoidTime = 20 * time.Millisecond
	// usualLatency is assumed until answers have been measured.
	usualLatency = 10 * time.Millisecond
	minRetry     = 50 * time.Millisecond
	maxRetry     = 10 * time.Second
	// maxCredit bounds the requests that the trial version may catch up on.
	maxCredit = 2
)

// Reasons of refusals.
const (
	refusedServer   = "no server"
	refusedQueue    = "queue full"
	refusedDeadline = "deadline cannot be met"
	refusedClosed   = "entry is stopping"
	refusedCutOff   = "entry is cut off"
)

// held is what the borrower may use of one server.
type held struct {
	server  sycamorevane.Server
	allowed int
	busy    int
	// penalty is until when one slot stays unused after a fast failure.
	penalty time.Time
	used    time.Time
	latest  time.Time
	fresh   answers
	shed    int
	// sheds counts refusals by the server since its last good answer; it is not used before paused.
	sheds   int
	paused  time.Time
	latency time.Duration
	failing float64
	// ramping is true while the server's limit depends on its next answers.
	ramping bool
}

// lender is one pool as the borrower sees it.
type lender struct {
	dc      string
	owner   uint64
	applied uint64
	known   bool
	until   time.Time
	seq     uint64
	sent    [seqWindow]time.Time
	last    time.Time
	asked   int
	changed bool
	held    ordered[*held]
	shares  map[string]float64
	total   int
	free    int
	scarce  bool
	// give is the number of slots that the owner wants back before wanted, as soon as requests end.
	give   int
	wanted time.Time
	// heard is when the owner last answered; unanswered is when the first report without an answer was sent.
	heard, unanswered time.Time
	// reachable is false while no live owner exists.
	reachable bool
}

type running struct {
	sycamorevane.Grant
	workspace string
	started   time.Time
	until     time.Time
}

// Settings are a borrower's limits from the configured service.
type Settings struct {
	Queue   int
	Timeout time.Duration
	// Distance is the one-way delay per data centre.
	Distance map[string]time.Duration
}

// Borrower hands out the slots that one entry holds of one service. It is a pure core.
type Borrower struct {
	service, dc string
	incarnation uint64
	settings    Settings
	rules       Rules
	picker      sycamorevane.Picker
	rand        *rand.Rand
	lenders     ordered[*lender]
	workspaces  ordered[*workspaceQueue]
	// waiting is the number of requests without a slot.
	waiting int
	grants  map[uint64]*running
	routes  map[string]*baseline
	next    uint64
	latency time.Duration
	// all is the pace of all requests; met is the pace of those of workspaces within their share.
	all, met pace
	// asleep is true while time changes nothing: nothing is held, waits or is due.
	asleep bool
	// credit is the number of requests by which the trial version is behind its share.
	credit float64
	// blocked is true while this entry has strong evidence of its own against the trial version.
	blocked bool
	closing bool
}

// NewBorrower returns a borrower that holds nothing.
func NewBorrower(service, dc string, incarnation uint64, p sycamorevane.Picker, r *rand.Rand) *Borrower {
	return &Borrower{
		service: service, dc: dc, incarnation: incarnation, picker: p, rand: r,
		settings:   Settings{Queue: 256, Timeout: time.Second},
		lenders:    newOrdered[*lender](),
		workspaces: newOrdered[*workspaceQueue](),
		grants:     make(map[uint64]*running),
		routes:     make(map[string]*baseline),
	}
}

// Granted ends the waiting of one request.
type Granted struct {
	Waiter uint64
	Grant  sycamorevane.Grant
}

// Refused ends the waiting of one request without a slot.
type Refused struct {
	Waiter uint64
	Err    *sycamorevane.RefusedError
}

// Report is a message to the owner of the pool in the data centre.
type Report struct {
	DC      string
	Message *encoder.SlotReport
}

// Effects are what the driver has to do after an event.
type Effects struct {
	Granted []Granted
	Refused []Refused
	Reports []Report
}

// Block keeps new requests off the trial version or lets them through again. Missed shares are not made up for.
func (b *Borrower) Block(blocked bool) {
	if blocked {
		b.credit = 0
	}
	b.blocked = blocked
}

// SetRules replaces rules and settings.
func (b *Borrower) SetRules(now time.Time, rules Rules, s Settings) Effects {
	if rules.Trial != b.rules.Trial || rules.Share[rules.Trial] < b.rules.Share[b.rules.Trial] {
		b.credit = 0
	}
	b.rules, b.settings = rules, s
	for _, q := range b.workspaces.list {
		q.weight = rules.weight(q.name)
	}
	var e Effects
	b.settle(now, &e)
	return e
}

// SetDCs tells which data centres have a live owner.
func (b *Borrower) SetDCs(now time.Time, reachable map[string]bool) Effects {
	b.asleep = false
	for dc, ok := range reachable {
		l := b.lender(dc)
		if ok != l.reachable {
			l.reachable, l.changed, l.known, l.asked, l.unanswered = ok, true, false, 0, time.Time{}
		}
	}
	for _, l := range b.lenders.list {
		if _, ok := reachable[l.dc]; !ok {
			l.reachable = false
		}
	}
	var e Effects
	b.settle(now, &e)
	return e
}

// silent reports whether the owner has left reports unanswered for too long.
func (l *lender) silent(now time.Time) bool {
	return !l.unanswered.IsZero() && now.Sub(l.unanswered) > answerTime
}

// forget drops what an owner said long ago about having no servers, since it is not told again unasked.
func (b *Borrower) forget(now time.Time) {
	for _, l := range b.lenders.list {
		if l.known && l.total == 0 && now.Sub(l.heard) > emptyAge {
			l.known, l.asked = false, 0
		}
	}
}

// OwnerChanged makes the next report go out at once.
func (b *Borrower) OwnerChanged(dc string) {
	b.asleep = false
	l := b.lender(dc)
	l.changed, l.asked, l.unanswered = true, 0, time.Time{}
}

func (b *Borrower) lender(dc string) *lender {
	l, ok := b.lenders.get(dc)
	if !ok {
		l = &lender{dc: dc, held: newOrdered[*held]()}
		b.lenders.add(dc, l)
	}
	return l
}

func (b *Borrower) workspace(name string) *workspaceQueue {
	q, ok := b.workspaces.get(name)
	if !ok {
		q = &workspaceQueue{name: name, weight: b.rules.weight(name)}
		b.workspaces.add(name, q)
	}
	return q
}

// Arrive takes in a request and returns the number under which the effects refer to it.
func (b *Borrower) Arrive(now time.Time, req sycamorevane.Request) (uint64, Effects) {
	var e Effects
	b.next++
	b.asleep = false
	b.forget(now)
	q := b.workspace(req.Workspace)
	q.arrivals.note(now)
	b.all.note(now)
	if _, over := b.share(q); !over {
		b.met.note(now)
	}
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(b.settings.Timeout)
	}
	w := &waiter{id: b.next, req: req, drawn: b.drawTrial(req), since: now}
	if len(q.waiting) == 0 && b.grant(now, q, w, &e) {
		b.settle(now, &e)
		return w.id, e
	}
	if err := b.admit(now, q, w); err != nil {
		e.Refused = append(e.Refused, Refused{Waiter: w.id, Err: err})
		b.settle(now, &e)
		return w.id, e
	}
	q.waiting = append(q.waiting, w)
	b.waiting++
	b.settle(now, &e)
	return w.id, e
}

// drawTrial decides whether the request is drawn for the trial version.
func (b *Borrower) drawTrial(req sycamorevane.Request) bool {
	return req.Version == "" && b.rules.Trial != "" && b.rand.Float64() < b.rules.Share[b.rules.Trial]
}

// Cancel removes a request whose caller is gone. It returns false when the request has been granted or refused.
func (b *Borrower) Cancel(id uint64) bool {
	for _, q := range b.workspaces.list {
		if q.remove(id) != nil {
			b.waiting--
			return true
		}
	}
	return false
}

// Release takes back the slot of a grant with what the attempt showed.
func (b *Borrower) Release(now time.Time, id uint64, o sycamorevane.Outcome) Effects {
	var e Effects
	r, ok := b.grants[id]
	if !ok {
		return e
	}
	delete(b.grants, id)
	q := b.workspace(r.workspace)
	q.count(&r.Server, -1)
	q.served += now.Sub(r.started).Seconds() / q.weight
	l := b.lender(r.Server.DC)
	h, ok := l.held.get(r.Server.ID)
	if ok {
		h.busy--
		h.used = now
		b.learn(now, h, r, o)
		if h.busy >= h.allowed {
			l.changed = true // A recalled slot is free.
		}
	}
	if ok && l.give > 0 && now.Before(l.wanted) && h.allowed > h.busy && !b.urgent() {
		l.give--
		h.allowed--
		l.changed = true
	}
	b.dispatch(now, &e)
	if ok && l.scarce && h.allowed > h.busy && b.idle(l) > b.keep() {
		// Requests wait at other entries; this slot found none here.
		h.allowed--
		l.changed = true
	}
	b.report(now, &e)
	return e
}

// urgent reports whether a workspace within its share waits here.
func (b *Borrower) urgent() bool {
	if b.waiting == 0 {
		return false
	}
	for _, q := range b.workspaces.list {
		if _, over := b.share(q); !over && len(q.waiting) > 0 {
			return true
		}
	}
	return false
}

// Loan applies a message of the pool's owner.
func (b *Borrower) Loan(now time.Time, m *encoder.SlotLoan) Effects {
	var e Effects
	b.asleep = false
	l := b.lender(m.Dc)
	if m.Boot != b.incarnation || m.Owner == l.owner && m.Number <= l.applied {
		return e
	}
	l.owner, l.applied, l.known = m.Owner, m.Number, true
	l.heard, l.unanswered = now, time.Time{}
	if m.Report+seqWindow > l.seq && m.Report <= l.seq && m.Report > 0 {
		until := l.sent[m.Report%seqWindow].Add(time.Duration(m.Lease) * time.Millisecond)
		if until.After(l.until) {
			l.until = until
		}
	}
	l.total, l.free, l.scarce = int(m.Total), int(m.Free), m.Scarce
	l.give, l.wanted = int(m.Give), now.Add(giveTime)
	l.shares = make(map[string]float64, len(m.Shares))
	for _, s := range m.Shares {
		l.shares[s.Firm] = float64(s.Slots)
	}
	for _, lent := range m.Lent {
		b.applyLent(now, l, lent)
	}
	b.dispatch(now, &e)
	if l.scarce {
		b.passOn(l, b.idle(l)-b.keep())
	} else if b.waiting == 0 {
		l.give -= b.passOn(l, min(l.give, b.idle(l)))
	}
	b.report(now, &e)
	return e
}

func (b *Borrower) applyLent(now time.Time, l *lender, m *encoder.SlotLent) {
	if m.Server == nil {
		return
	}
	h, ok := l.held.get(m.Server.Id)
	if !ok {
		if m.Slots == 0 {
			return
		}
		h = &held{used: now}
		l.held.add(m.Server.Id, h)
	}
	if m.Server.Addr != "" {
		h.server = fromMessage(m.Server)
	}
	if int(m.Slots) > h.allowed {
		h.used = now
		l.asked = 0
	} else {
		l.changed = true // Acknowledges the recall.
	}
	h.allowed = int(m.Slots)
	h.ramping = m.Ramping
}

// Tick expires leases and deadlines and sends the reports that are due.
func (b *Borrower) Tick(now time.Time) Effects {
	var e Effects
	if b.asleep {
		return e
	}
	b.asleep = b.waiting == 0
	for _, l := range b.lenders.list {
		if !l.until.IsZero() && !now.Before(l.until) {
			b.expire(l)
		}
		b.giveBack(now, l)
		if l.silent(now) {
			l.known = false // Reports go on until the owner answers.
		}
		b.asleep = b.asleep && (l.known || !l.reachable) && !l.changed && len(l.held.list) == 0
	}
	b.drop(now, &e)
	b.settle(now, &e)
	if b.asleep {
		b.rest()
	}
	return e
}

// rest forgets unanswered reports when nothing is held or wanted any more. The owner need not answer the report that
// gives the last slots back, and its silence until the next request would look like that of a dead owner.
func (b *Borrower) rest() {
	for _, l := range b.lenders.list {
		l.unanswered = time.Time{}
	}
}

// passOn gives back up to n idle slots and returns how many.
func (b *Borrower) passOn(l *lender, n int) int {
	passed := 0
	for _, h := range l.held.list {
		for ; passed < n && h.allowed > h.busy; passed++ {
			h.allowed--
			l.changed = true
		}
	}
	return passed
}

// idle is the number of unused slots of the pool.
func (b *Borrower) idle(l *lender) int {
	n := 0
	for _, h := range l.held.list {
		n += max(0, h.allowed-h.busy)
	}
	return n
}

// keep is the number of idle slots that are worth keeping for a moment while requests wait elsewhere: passing a
// slot on takes two messages, so one that the next local request takes sooner than that is better kept.
func (b *Borrower) keep() int {
	if b.all.gap > 0 && b.all.gap < passTime {
		return 1
	}
	return 0
}

func (b *Borrower) expire(l *lender) {
	for _, h := range l.held.list {
		h.allowed = 0
	}
	l.held.removeIf(func(_ string, h *held) bool { return h.busy == 0 })
}

// giveBack returns slots that have not been used for a while.
func (b *Borrower) giveBack(now time.Time, l *lender) {
	l.held.removeIf(func(_ string, h *held) bool {
		limit := idleReturn
		if l.scarce {
			limit = passTime
		}
		if h.allowed > h.busy && (b.closing || now.Sub(h.used) > limit) {
			h.allowed = h.busy
			l.changed = true
		}
		return h.allowed == 0 && h.busy == 0 && h.fresh.total() == 0
	})
}

// settle hands free slots to waiting requests and reports.
func (b *Borrower) settle(now time.Time, e *Effects) {
	b.dispatch(now, e)
	b.report(now, e)
}

// Withdraw refuses all waiting requests, since an entry that is cut off gets no slots for them.
func (b *Borrower) Withdraw() Effects {
	var e Effects
	b.refuseWaiting(&e, refusedCutOff)
	return e
}

func (b *Borrower) refuseWaiting(e *Effects, reason string) {
	for _, q := range b.workspaces.list {
		for _, w := range q.waiting {
			e.Refused = append(e.Refused, Refused{Waiter: w.id, Err: b.refusal(q, reason)})
		}
		q.waiting = nil
	}
	b.waiting = 0
}

// Close gives back what is idle; running requests finish.
func (b *Borrower) Close(now time.Time) Effects {
	var e Effects
	b.closing = true
	b.refuseWaiting(&e, refusedClosed)
	for _, l := range b.lenders.list {
		b.giveBack(now, l)
		l.changed = true
		l.last = time.Time{}
	}
	b.settle(now, &e)
	return e
}
