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
	// SlotLease is how long a borrower may use slots after the report that renewed them.
	SlotLease = 500 * time.Millisecond
	// resendAfter is how long a loan may stay unacknowledged before it is sent again.
	resendAfter = 250 * time.Millisecond
	// renewAfter is the time after which a report is answered even without changes, to renew the lease.
	renewAfter = 80 * time.Millisecond
	// scarceTime is how long borrowers give idle slots back at once after requests found no free slot.
	scarceTime = 100 * time.Millisecond
	// forgetAfter is how long a silent borrower without charged slots is remembered.
	forgetAfter = 5 * time.Second
	// returnRamp is the time in which a data centre that came back reaches its full share.
	returnRamp = 5 * time.Second
)

// Rules is the part of the committed state that lending depends on.
type Rules struct {
	// Weights is the weight per workspace; an absent workspace has weight 1.
	Weights map[string]float64
	// Share is the share per version, nil for no restriction.
	Share map[string]float64
	// Trial is the version under rollout that has not been accepted, or "".
	Trial string
	// Old is the version that takes requests for which the trial version has no free slot.
	Old string
	// DCs and Servers are drained.
	DCs     sycamorevane.Set[string]
	Servers sycamorevane.Set[string]
}

func (r *Rules) weight(workspace string) float64 {
	if w, ok := r.Weights[workspace]; ok && w > 0 {
		return w
	}
	return 1
}

// allows reports whether new work may go to the server.
func (r *Rules) allows(s *sycamorevane.Server) bool {
	if s.State == sycamorevane.ServerDraining || r.DCs.Has(s.DC) || r.Servers.Has(s.ID) {
		return false
	}
	return r.Share == nil || r.Share[s.Version] > 0
}

// holding is what one borrower has of one server.
type holding struct {
	// allowed is the number of slots that the borrower may use.
	allowed int
	// charged is the number of slots that count as taken; at least allowed while the lease runs.
	charged int
	busy    int
	// number is the loan that last changed allowed.
	number uint64
	// until is the latest deadline of the requests that the borrower runs on the server.
	until time.Time
}

type ownedServer struct {
	sycamorevane.Server
	ramp *ramp
	// holdings is indexed by the borrower's number; nil means that it holds nothing.
	holdings []*holding
	// orphans is what former processes of borrowers were running; it occupies the server until its deadline.
	orphans []*holding
	// probing is 1 while a measurement request is running.
	probing int
	probes  uint64
	// gone is true when the server has left the list of live servers.
	gone bool
}

func (s *ownedServer) at(b *borrowing) *holding {
	if b.index < len(s.holdings) {
		return s.holdings[b.index]
	}
	return nil
}

func (s *ownedServer) ensure(b *borrowing) *holding {
	for b.index >= len(s.holdings) {
		s.holdings = append(s.holdings, nil)
	}
	if s.holdings[b.index] == nil {
		s.holdings[b.index] = &holding{}
	}
	return s.holdings[b.index]
}

func (s *ownedServer) release(b *borrowing) {
	if b.index < len(s.holdings) {
		s.holdings[b.index] = nil
	}
}

func (s *ownedServer) charged() int {
	n := s.probing
	for _, h := range s.orphans {
		n += h.busy
	}
	for _, h := range s.holdings {
		if h != nil {
			n += h.charged
		}
	}
	return n
}

func (s *ownedServer) busy() int {
	n := s.probing
	for _, h := range s.orphans {
		n += h.busy
	}
	for _, h := range s.holdings {
		if h != nil {
			n += h.busy
		}
	}
	return n
}

// borrowing is what the owner knows of one borrower.
type borrowing struct {
	name string
	// index is the borrower's place in each server's holdings.
	index       int
	incarnation uint64
	seq         uint64
	heard       time.Time
	demand      []*encoder.SlotDemand
	// changed lists the servers whose allowed count the next loan has to state.
	changed sycamorevane.Set[string]
	// due is set when a loan must be sent even without changes.
	due     bool
	leaving bool
	// told is when the last loan was sent; sent is when the last one that changed something was, and number its
	// number; acked is the last applied number.
	told, sent time.Time
	// active is when the borrower last had demand.
	active time.Time
	number uint64
	acked  uint64
	shares map[string]float64
	// give is the number of slots wanted back, and asked is when the borrower was last told.
	give  int
	asked time.Time
}

// Owner lends the slots of one service in one data centre. It is a pure core: the caller passes the time and
// sends the returned loans.
type Owner struct {
	service, dc string
	// term identifies this owner's loans.
	term        uint64
	number      uint64
	ready       time.Time
	rules       Rules
	undrainedAt time.Time
	servers     ordered[*ownedServer]
	borrowers   ordered[*borrowing]
	// places marks the used places in the servers' holdings.
	places []bool
	// short is when waiting requests last found no free slot; shared is when shares were last divided.
	short, shared time.Time
	budget        *prober.Budget
	// levels are ramp limits received from the former owner for servers not yet known.
	levels map[string]float64
}

// NewOwner starts a term. Until one lease has passed it lends only what borrowers report to hold.
func NewOwner(now time.Time, service, dc string, term uint64) *Owner {
	return &Owner{
		service: service, dc: dc, term: term, ready: now.Add(SlotLease),
		servers:   newOrdered[*ownedServer](),
		borrowers: newOrdered[*borrowing](),
		budget:    prober.NewBudget(now.Add(SlotLease), 0),
		levels:    make(map[string]float64),
	}
}

// Loan is a message to one borrower.
type Loan struct {
	To      string
	Message *encoder.SlotLoan
}

// SetRules replaces the rules. A returned time that is not zero starts the ramp of the data centre.
func (o *Owner) SetRules(now time.Time, rules Rules, undrainedAt time.Time) []Loan {
	if !undrainedAt.IsZero() && !undrainedAt.Equal(o.undrainedAt) {
		for _, s := range o.servers.list {
			s.ramp.reset(reasonReturned)
		}
	}
	o.undrainedAt = undrainedAt
	o.rules = rules
	return o.balance(now)
}

// SetServers replaces the list of live servers of the pool.
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
			s.State, s.gone = sycamorevane.ServerDraining, true
		}
	}
	o.forgetServers()
	return o.balance(now)
}

// forgetServers drops servers that have left and run nothing any more.
func (o *Owner) forgetServers() {
	o.servers.removeIf(func(_ string, s *ownedServer) bool { return s.gone && s.charged() == 0 })
}

func (o *Owner) addServer(v sycamorevane.Server) {
	s, ok := o.servers.get(v.ID)
	if !ok {
		s = &ownedServer{ramp: newRamp(v.Slots)}
		if limit, ok := o.levels[v.ID]; ok {
			s.ramp.limit = math.Min(limit, float64(v.Slots))
			delete(o.levels, v.ID)
		}
		o.servers.add(v.ID, s)
	}
	s.Server, s.gone = v, false
	s.ramp.slots = v.Slots
	s.ramp.limit = math.Min(s.ramp.limit, float64(v.Slots))
}

// Handover takes over the ramp levels of the former owner.
func (o *Owner) Handover(m *encoder.SlotHandover) {
	for _, r := range m.Ramps {
		s, ok := o.servers.get(r.Id)
		if !ok {
			o.levels[r.Id] = float64(r.Limit)
			continue
		}
		if s.ramp.reason == reasonNew {
			s.ramp.limit = math.Max(s.ramp.limit, math.Min(float64(r.Limit), float64(s.Slots)))
		}
	}
}

// Levels returns the ramp levels for the next owner.
func (o *Owner) Levels() *encoder.SlotHandover {
	m := &encoder.SlotHandover{Service: o.service, Dc: o.dc}
	for _, s := range o.servers.list {
		m.Ramps = append(m.Ramps, &encoder.SlotRamp{Id: s.ID, Limit: float32(s.ramp.limit)})
	}
	return m
}

// Report takes in what a borrower holds and wants and returns the loans that follow from it.
func (o *Owner) Report(now time.Time, from string, m *encoder.SlotReport) []Loan {
	b := o.borrower(now, from, m.Boot)
	if m.Seq <= b.seq {
		return nil
	}
	b.seq, b.heard, b.demand, b.leaving = m.Seq, now, m.Demand, m.Leaving
	b.due = b.due || now.Sub(b.told) >= renewAfter
	if len(m.Demand) > 0 {
		b.active = now
	}
	own := m.Owner == o.term
	if own {
		b.acked = max(b.acked, m.Applied)
	}
	listed := make(sycamorevane.Set[string], len(m.Held))
	for _, held := range m.Held {
		listed.Add(held.Id)
		o.takeHeld(now, b, held, own, m.Applied)
	}
	for _, s := range o.servers.list {
		if h := s.at(b); h != nil && !listed.Has(s.ID) {
			o.takeHeld(now, b, &encoder.SlotHeld{Id: s.ID}, own, m.Applied)
			if h.charged == 0 && h.allowed == 0 {
				s.release(b)
			}
		}
	}
	return o.balance(now)
}

// borrower returns the record of the borrower, after giving up what a former process of it held.
func (o *Owner) borrower(now time.Time, name string, incarnation uint64) *borrowing {
	b, ok := o.borrowers.get(name)
	if ok && b.incarnation == incarnation {
		return b
	}
	if ok {
		o.orphan(now, b)
		o.borrowers.remove(name)
		o.places[b.index] = false
	}
	b = &borrowing{name: name, incarnation: incarnation, index: o.place(), changed: make(sycamorevane.Set[string])}
	o.borrowers.add(name, b)
	return b
}

func (o *Owner) place() int {
	i := slices.Index(o.places, false)
	if i < 0 {
		i = len(o.places)
		o.places = append(o.places, false)
	}
	o.places[i] = true
	return i
}

// orphan keeps the running requests of a dead process charged until their deadline.
func (o *Owner) orphan(now time.Time, b *borrowing) {
	for _, s := range o.servers.list {
		h := s.at(b)
		if h != nil && h.busy > 0 && h.until.After(now) {
			s.orphans = append(s.orphans, h)
		}
		s.release(b)
	}
}

func (o *Owner) takeHeld(now time.Time, b *borrowing, m *encoder.SlotHeld, own bool, applied uint64) {
	s, ok := o.servers.get(m.Id)
	if !ok {
		if m.Slots > 0 {
			b.changed.Add(m.Id) // The server is gone; tell the borrower to stop.
		}
		return
	}
	known := s.at(b) != nil
	h := s.ensure(b)
	h.busy = int(m.Busy)
	h.until = now.Add(time.Duration(m.Left) * time.Millisecond)
	switch {
	case !known && !own:
		// Slots lent by the former owner.
		h.allowed = int(m.Slots)
		h.charged = max(h.allowed, h.busy)
		s.ramp.limit = math.Min(float64(s.Slots), math.Max(s.ramp.limit, float64(s.charged())))
	case own && applied >= h.number:
		h.allowed = min(h.allowed, int(m.Slots))
		h.charged = max(h.allowed, h.busy)
	default:
		h.charged = max(h.charged, h.busy)
	}
	s.ramp.spared = o.systemic()
	s.ramp.observe(now, answers{
		ok: int(m.Ok), failed: int(m.Failed), refused: int(m.Refused), shed: int(m.Shed), ratio: float64(m.Ratio),
	})
}

// systemic reports whether most servers have become slow together. Then something that they share is slow, and
// fewer slots would only add to the damage.
func (o *Owner) systemic() bool {
	slow, judged := 0, 0
	for _, s := range o.servers.list {
		if s.ramp.reason == reasonReady {
			judged++
			if s.ramp.ratio > goodLimit {
				slow++
			}
		}
	}
	return judged > 2 && 2*slow > judged
}

// Tick expires leases, ends pauses and lends what became free.
func (o *Owner) Tick(now time.Time) []Loan {
	for _, b := range o.borrowers.list {
		if now.Sub(b.heard) >= SlotLease {
			o.expire(now, b)
		}
	}
	o.borrowers.removeIf(func(_ string, b *borrowing) bool { return o.forgotten(now, b) })
	for _, s := range o.servers.list {
		s.ramp.tick(now)
		s.orphans = slices.DeleteFunc(s.orphans, func(h *holding) bool { return !now.Before(h.until) })
	}
	o.forgetServers()
	return o.balance(now)
}

// expire takes back the slots of a silent borrower; what it said to be running counts until the deadline.
func (o *Owner) expire(now time.Time, b *borrowing) {
	b.demand = nil
	for _, s := range o.servers.list {
		h := s.at(b)
		if h == nil {
			continue
		}
		h.allowed = 0
		h.charged = 0
		if now.Before(h.until) {
			h.charged = h.busy
		}
		if h.charged == 0 {
			s.release(b)
		}
	}
}

// forgotten reports whether nothing of a silent borrower is left.
func (o *Owner) forgotten(now time.Time, b *borrowing) bool {
	if now.Sub(b.heard) < forgetAfter {
		return false
	}
	for _, s := range o.servers.list {
		if s.at(b) != nil {
			return false
		}
	}
	o.places[b.index] = false
	return true
}

// limit is the number of slots of the server that may be lent.
func (o *Owner) limit(now time.Time, s *ownedServer) int {
	if !o.rules.allows(&s.Server) {
		return 0
	}
	limit := s.ramp.limit
	if !o.undrainedAt.IsZero() {
		if age := now.Sub(o.undrainedAt); age < returnRamp {
			limit = math.Min(limit, 1+float64(s.Slots-1)*float64(age)/float64(returnRamp))
		}
	}
	return int(limit)
}

// balance recalls what exceeds the limits, lends free slots by the workspaces' shares and recalls idle slots for
// waiters.
func (o *Owner) balance(now time.Time) []Loan {
	o.trim(now)
	if !now.Before(o.ready) {
		for _, version := range o.groups(now) {
			o.lend(now, version)
		}
	}
	return o.loans(now)
}

// trim recalls slots above a server's limit, first from the borrower with the most idle ones.
func (o *Owner) trim(now time.Time) {
	for _, s := range o.servers.list {
		allowed := 0
		for _, h := range s.holdings {
			if h != nil {
				allowed += h.allowed
			}
		}
		for over := allowed - o.limit(now, s); over > 0; over-- {
			b := o.mostIdle(s)
			if b == nil {
				break
			}
			o.setAllowed(b, s, s.at(b).allowed-1)
		}
	}
}

func (o *Owner) mostIdle(s *ownedServer) *borrowing {
	var best *borrowing
	idle := math.MinInt
	for _, b := range o.borrowers.list {
		if h := s.at(b); h != nil && h.allowed > 0 && h.allowed-h.busy > idle {
			best, idle = b, h.allowed-h.busy
		}
	}
	return best
}

func (o *Owner) setAllowed(b *borrowing, s *ownedServer, n int) {
	h := s.ensure(b)
	h.allowed = n
	h.charged = max(h.charged, n)
	h.number = o.number + 1
	b.changed.Add(s.ID)
}

// loans builds one message for each borrower that has to hear something.
func (o *Owner) loans(now time.Time) []Loan {
	var out []Loan
	total, free := -1, 0
	for _, b := range o.borrowers.list {
		if now.Sub(b.heard) >= SlotLease {
			continue
		}
		if b.number > b.acked && now.Sub(b.sent) > resendAfter {
			o.resend(b)
		}
		if !b.due && len(b.changed) == 0 {
			continue
		}
		if total < 0 {
			total, free = o.capacity(now)
		}
		out = append(out, Loan{To: b.name, Message: o.loan(now, b, total, free)})
	}
	return out
}

func (o *Owner) loan(now time.Time, b *borrowing, total, free int) *encoder.SlotLoan {
	o.number++
	m := &encoder.SlotLoan{
		Service: o.service, Dc: o.dc, Owner: o.term, Number: o.number, Boot: b.incarnation, Report: b.seq,
		Lease: uint32(SlotLease / time.Millisecond), Total: uint32(total), Free: uint32(free), Scarce: o.scarce(now), Give: uint32(b.give),
	}
	for _, id := range b.changed.Sorted() {
		m.Lent = append(m.Lent, o.lent(b, id))
	}
	for _, workspace := range slices.Sorted(maps.Keys(b.shares)) {
		m.Shares = append(m.Shares, &encoder.SlotShare{Firm: workspace, Slots: float32(b.shares[workspace])})
	}
	if len(b.changed) > 0 {
		b.number, b.sent = o.number, now
	}
	clear(b.changed)
	b.due, b.told = false, now
	return m
}

// scarce reports whether borrowers should give idle slots back at once.
func (o *Owner) scarce(now time.Time) bool { return !o.short.IsZero() && now.Sub(o.short) < scarceTime }

func (o *Owner) lent(b *borrowing, id string) *encoder.SlotLent {
	s, ok := o.servers.get(id)
	if !ok {
		return &encoder.SlotLent{Server: &encoder.Server{Id: id}}
	}
	lent := &encoder.SlotLent{Server: toMessage(&s.Server), Ramping: s.ramp.limit < float64(s.Slots)}
	if h := s.at(b); h != nil {
		lent.Slots = uint32(h.allowed)
		h.number = o.number
	}
	return lent
}

// resend repeats everything that the borrower should hold, since a loan may have been lost.
func (o *Owner) resend(b *borrowing) {
	for _, s := range o.servers.list {
		if s.at(b) != nil {
			b.changed.Add(s.ID)
		}
	}
	b.due = true
}

func (o *Owner) capacity(now time.Time) (total, free int) {
	for _, s := range o.servers.list {
		limit := o.limit(now, s)
		total += limit
		free += max(0, limit-s.charged())
	}
	return total, free
}

func toMessage(s *sycamorevane.Server) *encoder.Server {
	return &encoder.Server{
		Service: s.Service, Version: s.Version, Id: s.ID, Addr: s.Addr, Dc: s.DC,
		Slots: uint32(s.Slots), Conns: uint32(s.MaxConns), State: string(s.State), Load: uint32(s.Load),
	}
}

func fromMessage(m *encoder.Server) sycamorevane.Server {
	return sycamorevane.Server{
		Service: m.Service, Version: m.Version, ID: m.Id, Addr: m.Addr, DC: m.Dc,
		Slots: int(m.Slots), MaxConns: int(m.Conns), State: sycamorevane.ServerState(m.State), Load: int(m.Load),
	}
}
