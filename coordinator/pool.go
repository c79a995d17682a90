package coordinator

import (
	"maps"
	"strconv"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
	"sycamorevane.example/sycamorevane/dispatcher"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/scheduler"
)

// pool connects a scheduler.Pool with the entries that ask it.
type pool struct {
	c       *Coordinator
	service string
	// number tells entries that a pool knows nothing of what they reported before.
	number      uint32
	core        scheduler.Pool
	createdAt   time.Time
	lastRequest time.Time
	// hasNewRequests is set when a request has begun to wait since the last probes.
	hasNewRequests bool
	// early holds the requests that have arrived during warmUp.
	early   []scheduler.Ask
	entries map[string]*entry
	// ids maps the numbers of servers to their IDs, servers their IDs to what is known of them.
	ids     map[uint32]string
	servers map[string]sycamorevane.Server
	// usable holds the numbers of the servers that may be granted.
	usable   sycamorevane.Set[uint32]
	unusable map[uint32]returnedServer
	// probedOut holds until when servers are not granted because of what a probe has found.
	probedOut map[string]time.Time
	wasBusy   bool
}

// entry is an entry in one of its starts.
type entry struct {
	name string
	boot uint32
	// key identifies the start in scheduler.Key.
	key string
	// waiting holds when each waiting request has arrived.
	waiting map[uint64]time.Time
	// running holds when each request began that the pool counts as running.
	running   map[uint64]time.Time
	decisions []*encoder.ScheduleDecision
	sentAt    time.Time
	heardAt   time.Time
}

// returnedServer is a server that an entry has returned as not usable.
type returnedServer struct {
	entry string
	at    time.Time
	// until is set when a second entry has confirmed it.
	until time.Time
}

// busy reports whether requests wait.
func (p *pool) busy() bool {
	for _, e := range p.entries {
		if len(e.waiting) > 0 {
			return true
		}
	}
	return false
}

func (p *pool) warm(now time.Time) bool { return now.Sub(p.createdAt) >= warmUp }

func (p *pool) apply(now time.Time, from string, m *encoder.ScheduleAsk) {
	e := p.entry(now, from, m.Boot)
	if m.Complete {
		p.endUnlisted(now, e, m.Started)
	}
	for _, s := range m.Started {
		if _, known := e.running[s.Id]; known {
			continue
		}
		if p.ids[s.Server] == "" {
			continue // The entry repeats it, and the server may be known then.
		}
		e.running[s.Id] = now
		p.core.Start(now, scheduler.Start{
			Key: scheduler.Key{Entry: e.key, ID: s.Id}, Server: p.ids[s.Server], Route: s.Route,
			Work: time.Duration(s.Work) * time.Millisecond, At: now.Add(-time.Duration(s.Age) * time.Millisecond),
		})
	}
	for _, id := range m.Withdrawn {
		p.withdraw(now, e, id)
	}
	for _, f := range m.Finished {
		delete(e.running, f.Id)
		p.decide(now, p.core.Finish(now, scheduler.Finish{
			Key: scheduler.Key{Entry: e.key, ID: f.Id}, Server: p.ids[f.Server], Route: f.Route,
			Kind: sycamorevane.OutcomeKind(f.Kind), Latency: time.Duration(f.Latency) * time.Millisecond, Load: decodeLoad(f.Load),
		}))
	}
	for _, server := range m.Unusable {
		p.markUnusable(now, from, server)
	}
	for _, r := range m.Requests {
		p.ask(now, e, r)
	}
}

// entry returns the entry's state. A new start of the entry replaces the former one.
func (p *pool) entry(now time.Time, name string, boot uint32) *entry {
	e := p.entries[name]
	if e == nil || e.boot != boot {
		if e != nil {
			p.forget(now, e)
		}
		e = &entry{name: name, boot: boot, key: name + "#" + strconv.FormatUint(uint64(boot), 36), waiting: make(map[uint64]time.Time), running: make(map[uint64]time.Time)}
		p.entries[name] = e
	}
	e.heardAt = now
	return e
}

// forget drops what waits for an entry that has ended.
func (p *pool) forget(now time.Time, e *entry) {
	p.core.ForgetEntry(now, e.key)
	p.dropEarly(func(a *scheduler.Ask) bool { return a.Entry == e.key })
	delete(p.entries, e.name)
}

func (p *pool) dropEarly(drop func(*scheduler.Ask) bool) {
	kept := p.early[:0]
	for i := range p.early {
		if !drop(&p.early[i]) {
			kept = append(kept, p.early[i])
		}
	}
	p.early = kept
}

func (p *pool) withdraw(now time.Time, e *entry, id uint64) {
	delete(e.waiting, id)
	delete(e.running, id)
	key := scheduler.Key{Entry: e.key, ID: id}
	p.dropEarly(func(a *scheduler.Ask) bool { return a.Key == key })
	p.decide(now, p.core.Cancel(now, key))
}

func (p *pool) ask(now time.Time, e *entry, r *encoder.ScheduleRequest) {
	p.lastRequest = now
	if !p.canGrant(r.Excluded) {
		e.decisions = append(e.decisions, &encoder.ScheduleDecision{Id: r.Id})
		return
	}
	a := scheduler.Ask{
		Key: scheduler.Key{Entry: e.key, ID: r.Id}, Route: r.Route, Workspace: r.Firm, Priority: int(r.Priority),
		Deadline: decodeTime(now, r.Deadline), Work: time.Duration(r.Work) * time.Millisecond,
	}
	for _, number := range r.Excluded {
		if id := p.ids[number]; id != "" {
			a.ExcludedServers = append(a.ExcludedServers, id)
		}
	}
	if len(e.waiting) == 0 {
		e.sentAt = now.Add(firstWaitingDelay - waitingInterval)
	}
	e.waiting[r.Id] = now
	if !p.warm(now) {
		p.early = append(p.early, a)
		return
	}
	p.decide(now, p.core.Ask(now, a))
	p.hasNewRequests = true
}

// canGrant reports whether a server may be granted to a request with these excluded servers.
func (p *pool) canGrant(excluded []uint32) bool {
	n := len(p.usable)
	for _, number := range excluded {
		if p.usable.Has(number) {
			n--
		}
	}
	return n > 0
}

// decide adds decisions to the next messages of their entries. One for an entry that is gone is withdrawn.
func (p *pool) decide(now time.Time, decisions []scheduler.Decision) {
	for i := range decisions {
		d := &decisions[i]
		e := p.entryByKey(d.Entry)
		if e == nil {
			if d.Server != "" {
				p.decide(now, p.core.Cancel(now, d.Key))
			}
			continue
		}
		askedAt, waiting := e.waiting[d.ID]
		if !waiting {
			if d.Server != "" {
				p.decide(now, p.core.Cancel(now, d.Key))
			}
			continue
		}
		delete(e.waiting, d.ID)
		p.c.wait.RecordDuration(now.Sub(askedAt))
		if d.Server != "" {
			e.running[d.ID] = now
		}
		e.decisions = append(e.decisions, p.encode(d))
	}
}

// endUnlisted ends the requests that no longer run according to a complete list of the entry. Grants that may not have been
// received when the list was sent are kept.
func (p *pool) endUnlisted(now time.Time, e *entry, listed []*encoder.ScheduleStart) {
	ids := make(map[uint64]bool, len(listed))
	for _, s := range listed {
		ids[s.Id] = true
	}
	for id, at := range e.running {
		if !ids[id] && now.Sub(at) > minUnlistedAge {
			p.withdraw(now, e, id)
		}
	}
}

func (p *pool) encode(d *scheduler.Decision) *encoder.ScheduleDecision {
	if d.Server != "" {
		p.c.granted.Inc(1)
		return &encoder.ScheduleDecision{Id: d.ID, Server: dispatcher.ServerNumber(d.Server)}
	}
	if d.Reason == scheduler.ReasonNoServer {
		return &encoder.ScheduleDecision{Id: d.ID}
	}
	p.c.rejected.Inc(1)
	return &encoder.ScheduleDecision{Id: d.ID, After: max(1, milliseconds(d.RetryAfter)), Reason: d.Reason}
}

func (p *pool) entryByKey(key string) *entry {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '#' {
			if e := p.entries[key[:i]]; e != nil && e.key == key {
				return e
			}
			return nil
		}
	}
	return nil
}

// forgetLost drops what waits for entries without a session. A session may become known just after its first message.
func (p *pool) forgetLost(now time.Time) {
	for name, e := range p.entries {
		if !p.c.peers.Has(name) && now.Sub(e.heardAt) > updateInterval {
			p.forget(now, e)
		}
	}
}

// tick does the periodic work.
func (p *pool) tick(now time.Time) {
	if p.warm(now) {
		early := p.early
		p.early = nil
		for i := range early {
			p.decide(now, p.core.Ask(now, early[i]))
		}
	}
	p.decide(now, p.core.Tick(now))
	p.sendProbes(now)
}

func (p *pool) sendProbes(now time.Time) {
	svc := p.c.cfg.State().Config.Service(p.service)
	if svc == nil || svc.HealthPath == "" {
		return
	}
	for _, id := range p.core.DueProbes(now) {
		if s, ok := p.servers[id]; !ok || !p.c.probe(s, svc.HealthPath) {
			p.core.SkipProbe(id)
		}
	}
}

// applyProbe applies the result of a probe. A server that has turned cold, or whose address another server uses, is not
// granted: the catalog learns of it only with the next heartbeat.
func (p *pool) applyProbe(now time.Time, id string, r *dispatcher.ProbeResult) {
	switch {
	case !r.Answered:
		p.decide(now, p.core.Report(now, id, nil))
		return
	case r.AddressReused:
		p.probedOut[id] = now.Add(reusedPeriod)
	case r.ColdRemaining > 0:
		p.probedOut[id] = now.Add(r.ColdRemaining)
	}
	if now.Before(p.probedOut[id]) {
		p.core.SkipProbe(id)
		p.update(now, p.c.cfg.Servers())
		return
	}
	if r.Load == nil {
		p.core.SkipProbe(id)
		return
	}
	p.decide(now, p.core.Report(now, id, r.Load))
}

// flush sends each entry its decisions, and the requests that wait if it has heard nothing for waitingInterval.
func (p *pool) flush(now time.Time) {
	for _, e := range p.entries {
		if len(e.decisions) == 0 && (len(e.waiting) == 0 || now.Sub(e.sentAt) < waitingInterval) {
			continue
		}
		m := &encoder.ScheduleGrant{
			Service: p.service, Boot: e.boot, Pool: p.number, Decisions: e.decisions, Waiting: sortedKeys(e.waiting),
		}
		if err := p.c.cfg.Transport.Send(e.name, m); err != nil {
			p.c.cfg.Log.V(1).Info("decisions not sent", "peer", e.name, "reason", err.Error())
			p.withdrawUnsent(now, e)
		}
		e.decisions, e.sentAt = nil, now
	}
}

// withdrawUnsent takes back grants that could not be sent.
func (p *pool) withdrawUnsent(now time.Time, e *entry) {
	unsent := e.decisions
	e.decisions = nil
	for _, d := range unsent {
		if d.Server != 0 {
			p.withdraw(now, e, d.Id)
		}
	}
}

// markUnusable records that the rules of an entry forbid a server.
func (p *pool) markUnusable(now time.Time, entry string, server uint32) {
	r := p.unusable[server]
	if r.entry != "" && r.entry != entry && now.Sub(r.at) < unusablePeriod {
		r.until = now.Add(unusablePeriod)
		p.c.cfg.Log.Info("entries return a server, it is not granted for a while", "service", p.service, "server", p.ids[server])
	}
	r.entry, r.at = entry, now
	p.unusable[server] = r
	if now.Before(r.until) {
		p.update(now, p.c.cfg.Servers())
	}
}

// update replaces the servers by those of the catalog and applies the state.
func (p *pool) update(now time.Time, records []cataloger.ServerRecord) {
	st := p.c.cfg.State()
	p.servers = make(map[string]sycamorevane.Server)
	p.usable = sycamorevane.NewSet[uint32]()
	clear(p.ids)
	var list []scheduler.Server
	for i := range records {
		record := &records[i]
		s := &record.Server
		if s.Service != p.service || s.DC != p.c.cfg.DC || record.Ended {
			continue
		}
		number := dispatcher.ServerNumber(s.ID)
		p.ids[number], p.servers[s.ID] = s.ID, *s
		usable := isUsable(now, st, record) && !now.Before(p.unusable[number].until) && !now.Before(p.probedOut[s.ID])
		if usable {
			p.usable.Add(number)
		}
		list = append(list, scheduler.Server{ID: s.ID, Slots: s.Slots, Usable: usable})
	}
	for number, r := range p.unusable {
		if now.Sub(r.at) > unusablePeriod && !now.Before(r.until) {
			delete(p.unusable, number)
		}
	}
	maps.DeleteFunc(p.probedOut, func(_ string, until time.Time) bool { return !now.Before(until) })
	p.core.Update(now, list)
	if len(p.usable) == 0 {
		p.releaseWaiting(now)
	}
}

// releaseWaiting leaves the waiting requests to their entries, which may know of servers elsewhere.
func (p *pool) releaseWaiting(now time.Time) {
	for _, e := range p.entries {
		for _, id := range sortedKeys(e.waiting) {
			p.withdraw(now, e, id)
			e.decisions = append(e.decisions, &encoder.ScheduleDecision{Id: id})
		}
	}
}

// isUsable reports whether the server may be granted: entries share the limits of cold and limited servers among themselves,
// and try versions under rollout by their own view.
func isUsable(now time.Time, st *sycamorevane.State, record *cataloger.ServerRecord) bool {
	s := &record.Server
	if st == nil || record.Leaving() || record.LeaseExpired || record.Limit != nil && record.Limit.Limited || st.ServerDrained(s, record.StartedAt) {
		return false
	}
	if _, drained := st.DrainedDCs[s.DC]; drained {
		return false
	}
	if svc := st.Config.Service(s.Service); svc == nil || svc.ColdRate > 0 && (now.Before(record.ColdUntil) || mayHaveCooled(now, st, record, svc)) {
		return false
	}
	shares := st.VersionShares(s.Service)
	return shares == nil || shares[s.Version] > 0 && !dispatcher.UnderTrial(st, s)
}

// mayHaveCooled reports whether the data centre of the server was undrained within the cold period and the server has not
// reported since. Entries decide by their own clocks; a difference only leads to grants that are given back.
func mayHaveCooled(now time.Time, st *sycamorevane.State, record *cataloger.ServerRecord, svc *sycamorevane.Service) bool {
	ms, undrained := st.UndrainedDCs[record.Server.DC]
	at := time.UnixMilli(ms)
	return undrained && now.Sub(at) < svc.ColdPeriod && record.ReportedAt.Before(at)
}
