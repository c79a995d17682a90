package modeler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/limiter"
	"sycamorevane.example/sycamorevane/picker"
)

const (
	ownerTick    = 10 * time.Millisecond
	borrowerTick = 2 * time.Millisecond
	// localDelay is the delay of a message from an entry to itself.
	localDelay = 20 * time.Microsecond
	// takeover is the time from the death of an owner until all entries report to the next one.
	takeover = 1500 * time.Millisecond
)

// leases connects one owner with the borrowers of all entries by delayed messages.
type leases struct {
	w         *world
	owner     *limiter.Owner
	ownerAt   int
	borrowers []*limiter.Borrower
	waiting   []map[uint64]*call
	// arrival keeps the messages of each pair of entries in order.
	arrival map[[2]int]time.Duration
	rules   limiter.Rules
}

func newLeases(w *world) *leases {
	p := &leases{w: w, arrival: make(map[[2]int]time.Duration)}
	weights := make(map[string]float64)
	for _, f := range w.Workspaces {
		weights[f.Name] = f.Weight
	}
	rules := limiter.Rules{Weights: weights}
	p.rules = rules
	settings := limiter.Settings{MaxQueued: w.Queue, Timeout: w.Deadline}
	for i := range w.Entries {
		r := rand.New(rand.NewPCG(w.Seed, uint64(i)+2))
		b := limiter.NewBorrower("flagboard", "dc-a", uint64(i)+1, picker.Leased{}, r)
		p.borrowers = append(p.borrowers, b)
		p.waiting = append(p.waiting, make(map[uint64]*call))
		p.apply(i, b.SetRules(w.time(), rules, settings))
		p.apply(i, b.SetReachableDCs(w.time(), map[string]bool{"dc-a": true}))
	}
	p.own(0, rules)
	return p
}

func (p *leases) own(at int, rules limiter.Rules) {
	p.ownerAt = at
	p.owner = limiter.NewOwner(p.w.time(), "flagboard", "dc-a", uint64(at)+100)
	p.owner.SetProbeRatio(p.w.Probe)
	p.send(p.owner.SetRules(p.w.time(), rules, time.Time{}))
	p.send(p.owner.SetServers(p.w.time(), p.list()))
}

func (p *leases) list() []sycamorevane.Server {
	var list []sycamorevane.Server
	for _, s := range p.w.servers {
		v := s.Server
		if s.draining() {
			v.State = sycamorevane.ServerDraining
		}
		list = append(list, v)
	}
	return list
}

func (p *leases) start() {
	p.w.every(ownerTick, func() {
		if p.owner != nil {
			p.send(p.owner.Tick(p.w.time()))
			p.probe()
		}
	})
	for i := range p.borrowers {
		p.w.after(time.Duration(i)*borrowerTick/time.Duration(p.w.Entries), func() {
			p.w.every(borrowerTick, func() { p.apply(i, p.borrowers[i].Tick(p.w.time())) })
		})
	}
	for _, s := range p.w.servers {
		if s.drain > 0 {
			p.w.after(s.drain, func() {
				if p.owner != nil {
					p.send(p.owner.SetServers(p.w.time(), p.list()))
				}
			})
		}
	}
	p.w.every(time.Millisecond, p.sample)
	if p.w.OwnerLost > 0 {
		p.w.after(p.w.OwnerLost, p.loseOwner)
	}
}

// probe sends the measurement request that the owner's budget allows.
func (p *leases) probe() {
	owner := p.owner
	v, ok := owner.NextProbe(p.w.time())
	if !ok {
		return
	}
	p.w.res.Probes++
	began := p.w.now
	p.w.after(hop, func() {
		p.server(v.ID).submit(&job{work: p.w.Service, probe: true, done: func(o sycamorevane.OutcomeKind) {
			if p.owner == owner {
				p.send(owner.HandleProbeResult(p.w.time(), v.ID, p.w.now-began, o != sycamorevane.OutcomeOK))
			}
		}})
	})
}

// loseOwner lets the owner die; its entry keeps taking calls, since only the role matters here.
func (p *leases) loseOwner() {
	levels := p.owner.RampLimits() // As sent to the next in line within the last second.
	p.owner = nil
	p.w.after(takeover, func() {
		p.own(1, p.rules)
		p.owner.HandleHandover(levels)
		for i := range p.borrowers {
			p.borrowers[i].OwnerChanged("dc-a")
		}
	})
}

func (p *leases) arrive(c *call) {
	b := p.borrowers[c.entry]
	id, e := b.Submit(p.w.time(), sycamorevane.Request{
		Service: "flagboard", Workspace: c.workspace.Name, Method: "GET", Deadline: p.w.time().Add(p.w.Deadline),
	})
	p.waiting[c.entry][id] = c
	p.apply(c.entry, e)
}

func (p *leases) apply(i int, e limiter.Effects) {
	for _, g := range e.Granted {
		c := p.waiting[i][g.RequestID]
		delete(p.waiting[i], g.RequestID)
		p.run(i, c, g.Grant)
	}
	for _, r := range e.Refused {
		c := p.waiting[i][r.RequestID]
		delete(p.waiting[i], r.RequestID)
		p.w.refuse(c, r.Err.RetryAfter)
	}
	for _, r := range e.Reports {
		p.report(i, r.Message)
	}
}

func (p *leases) run(i int, c *call, g sycamorevane.Grant) {
	began := p.w.now
	p.w.after(hop, func() {
		p.server(g.Server.ID).submit(&job{work: c.work, done: func(o sycamorevane.OutcomeKind) {
			p.w.finish(c, o)
			p.apply(i, p.borrowers[i].Release(p.w.time(), g.ID, sycamorevane.Outcome{Kind: o, Latency: p.w.now - began}))
		}})
	})
}

func (p *leases) server(id string) *server {
	var n int
	_, _ = fmt.Sscanf(id, "server-%d", &n)
	return p.w.servers[n]
}

func (p *leases) report(from int, m *encoder.SlotReport) {
	p.deliver(from, p.ownerAt, func() {
		if p.owner != nil {
			p.send(p.owner.HandleReport(p.w.time(), entryName(from), m))
		}
	})
}

func (p *leases) send(loans []limiter.Loan) {
	at := p.ownerAt
	for _, loan := range loans {
		to := entryNumber(loan.To)
		p.deliver(at, to, func() {
			if p.ownerAt == at {
				p.apply(to, p.borrowers[to].HandleLoan(p.w.time(), loan.Message))
			}
		})
	}
}

// deliver runs do after the delay of a message, in order per pair of entries.
func (p *leases) deliver(from, to int, do func()) {
	delay := localDelay
	if from != to {
		delay = p.w.meshDelay()
		p.w.res.Messages++
	}
	key := [2]int{from, to}
	at := max(p.w.now+delay, p.arrival[key])
	p.arrival[key] = at
	p.w.after(at-p.w.now, do)
}

// sample measures how many free slots are out of reach of waiting requests.
func (p *leases) sample() {
	if p.w.now < p.w.Warm || p.w.now > p.w.end() {
		return
	}
	waiting := 0
	for _, m := range p.waiting {
		waiting += len(m)
	}
	free := 0
	for _, s := range p.w.servers {
		if !s.failing && !s.draining() {
			free += s.Slots - s.busy
		}
	}
	p.w.wasted += float64(min(free, waiting))
	p.w.sampled += float64(p.w.Servers * p.w.Slots)
	p.sampleLimit()
	p.sampleWarmUp()
}

// sampleLimit measures how much of the servers' slots the ramp limits allow.
func (p *leases) sampleLimit() {
	if p.owner == nil {
		return
	}
	for _, status := range p.owner.Status(p.w.time()) {
		p.w.limit += float64(status.Limit)
	}
}

func (p *leases) sampleWarmUp() {
	if p.w.res.WarmUp > 0 || p.owner == nil || !p.w.AllCold && p.w.Cold == 0 {
		return
	}
	for _, status := range p.owner.Status(p.w.time()) {
		for _, s := range status.Servers {
			if n := p.server(s.ID); !n.slow && !n.failing && !n.draining() && s.Limit < float64(s.Slots) {
				return
			}
		}
	}
	p.w.res.WarmUp = p.w.now
}

func entryName(i int) string { return fmt.Sprintf("entry-%02d", i) }

func entryNumber(name string) int {
	var n int
	_, _ = fmt.Sscanf(name, "entry-%d", &n)
	return n
}
