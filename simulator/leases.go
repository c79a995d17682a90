package simulator

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
	ownerTickInterval    = 10 * time.Millisecond
	borrowerTickInterval = 2 * time.Millisecond
	// localDelay is the delay of a message from an entry to itself.
	localDelay = 20 * time.Microsecond
	// takeoverTime is the time from the failure of an owner until all entries report to the next one.
	takeoverTime = 1500 * time.Millisecond
)

// leasePolicy connects one owner with the borrowers of all entries by delayed messages.
type leasePolicy struct {
	sim          *simulation
	owner        *limiter.Owner
	ownerEntry   int
	borrowers    []*limiter.Borrower
	waitingCalls []map[uint64]*call
	// lastDelivery is the latest delivery time per pair of entries, which keeps their messages in order.
	lastDelivery map[[2]int]time.Duration
	rules        limiter.Rules
}

func newLeasePolicy(sim *simulation) *leasePolicy {
	p := &leasePolicy{sim: sim, lastDelivery: make(map[[2]int]time.Duration)}
	weights := make(map[string]float64)
	for _, ws := range sim.Workspaces {
		weights[ws.Name] = ws.Weight
	}
	rules := limiter.Rules{Weights: weights}
	p.rules = rules
	settings := limiter.Settings{MaxQueued: sim.MaxQueued, Timeout: sim.Timeout}
	for i := range sim.Entries {
		r := rand.New(rand.NewPCG(sim.Seed, uint64(i)+2))
		b := limiter.NewBorrower("flagboard", "dc-a", uint64(i)+1, picker.Leased{}, r)
		p.borrowers = append(p.borrowers, b)
		p.waitingCalls = append(p.waitingCalls, make(map[uint64]*call))
		p.applyEffects(i, b.SetRules(sim.currentTime(), rules, settings))
		p.applyEffects(i, b.SetReachableDCs(sim.currentTime(), map[string]bool{"dc-a": true}))
	}
	p.startOwner(0, rules)
	return p
}

func (p *leasePolicy) startOwner(entry int, rules limiter.Rules) {
	p.ownerEntry = entry
	p.owner = limiter.NewOwner(p.sim.currentTime(), "flagboard", "dc-a", uint64(entry)+100)
	p.owner.SetProbeRatio(p.sim.ProbeRatio)
	p.sendLoans(p.owner.SetRules(p.sim.currentTime(), rules, time.Time{}))
	p.sendLoans(p.owner.SetServers(p.sim.currentTime(), p.announcedServers()))
}

func (p *leasePolicy) announcedServers() []sycamorevane.Server {
	var list []sycamorevane.Server
	for _, s := range p.sim.servers {
		v := s.Server
		if s.draining() {
			v.State = sycamorevane.ServerDraining
		}
		list = append(list, v)
	}
	return list
}

func (p *leasePolicy) start() {
	p.sim.scheduleEvery(ownerTickInterval, func() {
		if p.owner != nil {
			p.sendLoans(p.owner.Tick(p.sim.currentTime()))
			p.probe()
		}
	})
	for i := range p.borrowers {
		p.sim.schedule(time.Duration(i)*borrowerTickInterval/time.Duration(p.sim.Entries), func() {
			p.sim.scheduleEvery(borrowerTickInterval, func() { p.applyEffects(i, p.borrowers[i].Tick(p.sim.currentTime())) })
		})
	}
	for _, s := range p.sim.servers {
		if s.drainAt > 0 {
			p.sim.schedule(s.drainAt, func() {
				if p.owner != nil {
					p.sendLoans(p.owner.SetServers(p.sim.currentTime(), p.announcedServers()))
				}
			})
		}
	}
	p.sim.scheduleEvery(time.Millisecond, p.sampleUnusedSlots)
	if p.sim.OwnerFailsAt > 0 {
		p.sim.schedule(p.sim.OwnerFailsAt, p.failOwner)
	}
}

// probe sends the probe that the owner's budget allows.
func (p *leasePolicy) probe() {
	owner := p.owner
	v, ok := owner.NextProbe(p.sim.currentTime())
	if !ok {
		return
	}
	p.sim.res.Probes++
	startedAt := p.sim.now
	p.sim.schedule(serverDelay, func() {
		p.server(v.ID).submit(&job{serviceTime: p.sim.MeanServiceTime, probe: true, done: func(o sycamorevane.OutcomeKind) {
			if p.owner == owner {
				p.sendLoans(owner.HandleProbeResult(p.sim.currentTime(), v.ID, p.sim.now-startedAt, o != sycamorevane.OutcomeOK))
			}
		}})
	})
}

// failOwner stops the owner. Its entry keeps accepting calls, since only the loss of the owner role is modelled.
func (p *leasePolicy) failOwner() {
	limits := p.owner.RampLimits() // A real owner sends them to its successor every second.
	p.owner = nil
	p.sim.schedule(takeoverTime, func() {
		p.startOwner(1, p.rules)
		p.owner.HandleHandover(limits)
		for i := range p.borrowers {
			p.borrowers[i].OwnerChanged("dc-a")
		}
	})
}

func (p *leasePolicy) arrive(c *call) {
	b := p.borrowers[c.entry]
	id, e := b.Submit(p.sim.currentTime(), sycamorevane.Request{
		Service: "flagboard", Workspace: c.workspace.Name, Method: "GET", Deadline: p.sim.currentTime().Add(p.sim.Timeout),
	})
	p.waitingCalls[c.entry][id] = c
	p.applyEffects(c.entry, e)
}

func (p *leasePolicy) applyEffects(entry int, e limiter.Effects) {
	for _, g := range e.Granted {
		c := p.waitingCalls[entry][g.RequestID]
		delete(p.waitingCalls[entry], g.RequestID)
		p.runGranted(entry, c, g.Grant)
	}
	for _, r := range e.Refused {
		c := p.waitingCalls[entry][r.RequestID]
		delete(p.waitingCalls[entry], r.RequestID)
		p.sim.recordRefusal(c, r.Err.RetryAfter)
	}
	for _, r := range e.Reports {
		p.sendReport(entry, r.Message)
	}
}

func (p *leasePolicy) runGranted(entry int, c *call, g sycamorevane.Grant) {
	startedAt := p.sim.now
	p.sim.schedule(serverDelay, func() {
		p.server(g.Server.ID).submit(&job{serviceTime: c.serviceTime, done: func(o sycamorevane.OutcomeKind) {
			p.sim.recordResponse(c, o)
			p.applyEffects(entry, p.borrowers[entry].Release(p.sim.currentTime(), g.ID, sycamorevane.Outcome{Kind: o, Latency: p.sim.now - startedAt}))
		}})
	})
}

func (p *leasePolicy) server(id string) *server {
	var n int
	_, _ = fmt.Sscanf(id, "server-%d", &n)
	return p.sim.servers[n]
}

func (p *leasePolicy) sendReport(from int, m *encoder.SlotReport) {
	p.deliver(from, p.ownerEntry, func() {
		if p.owner != nil {
			p.sendLoans(p.owner.HandleReport(p.sim.currentTime(), entryName(from), m))
		}
	})
}

func (p *leasePolicy) sendLoans(loans []limiter.Loan) {
	fromEntry := p.ownerEntry
	for _, loan := range loans {
		to := entryNumber(loan.To)
		p.deliver(fromEntry, to, func() {
			if p.ownerEntry == fromEntry {
				p.applyEffects(to, p.borrowers[to].HandleLoan(p.sim.currentTime(), loan.Message))
			}
		})
	}
}

// deliver runs do after the delay of a message, in order per pair of entries.
func (p *leasePolicy) deliver(from, to int, do func()) {
	delay := localDelay
	if from != to {
		delay = p.sim.meshDelay()
		p.sim.res.Messages++
	}
	key := [2]int{from, to}
	deliverAt := max(p.sim.now+delay, p.lastDelivery[key])
	p.lastDelivery[key] = deliverAt
	p.sim.schedule(deliverAt-p.sim.now, do)
}

// sampleUnusedSlots measures how many slots are free although requests wait, and samples the ramp limits.
func (p *leasePolicy) sampleUnusedSlots() {
	if p.sim.now < p.sim.WarmUp || p.sim.now > p.sim.endTime() {
		return
	}
	waiting := 0
	for _, m := range p.waitingCalls {
		waiting += len(m)
	}
	free := 0
	for _, s := range p.sim.servers {
		if !s.failing && !s.draining() {
			free += s.Slots - s.busySlots
		}
	}
	p.sim.unusedSlots += float64(min(free, waiting))
	p.sim.sampledSlots += float64(p.sim.Servers * p.sim.Slots)
	p.sampleLimit()
	p.sampleWarmUp()
}

// sampleLimit measures how many of the servers' slots the ramp limits allow.
func (p *leasePolicy) sampleLimit() {
	if p.owner == nil {
		return
	}
	for _, status := range p.owner.Status(p.sim.currentTime()) {
		p.sim.rampLimitSlots += float64(status.Limit)
	}
}

func (p *leasePolicy) sampleWarmUp() {
	if p.sim.res.WarmUpTime > 0 || p.owner == nil || !p.sim.AllCold && p.sim.ColdServers == 0 {
		return
	}
	for _, status := range p.owner.Status(p.sim.currentTime()) {
		for _, s := range status.Servers {
			if n := p.server(s.ID); !n.slow && !n.failing && !n.draining() && s.Limit < float64(s.Slots) {
				return
			}
		}
	}
	p.sim.res.WarmUpTime = p.sim.now
}

func entryName(i int) string { return fmt.Sprintf("entry-%02d", i) }

func entryNumber(name string) int {
	var n int
	_, _ = fmt.Sscanf(name, "entry-%d", &n)
	return n
}
