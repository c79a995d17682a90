package simulator

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

// centralPolicy is one queue in front of all servers that loses no slot time to messages. It knows slow, failing, cold
// and draining servers from the start, but not the short slow phases caused by noisy neighbours.
type centralPolicy struct {
	sim   *simulation
	queue []*call
}

func newCentralPolicy(sim *simulation) *centralPolicy { return &centralPolicy{sim: sim} }

func (p *centralPolicy) start() {}

func (p *centralPolicy) arrive(c *call) {
	p.queue = append(p.queue, c)
	p.dispatch()
}

func (p *centralPolicy) dispatch() {
	for len(p.queue) > 0 {
		c := p.queue[0]
		if p.sim.now-c.arrivedAt+p.sim.MeanServiceTime > p.sim.Timeout {
			p.queue = p.queue[1:]
			p.sim.recordRefusal(c, time.Second)
			continue
		}
		s := p.bestFreeServer()
		if s == nil {
			return
		}
		p.queue = p.queue[1:]
		// The request and its response still take the network delay both ways, but the slot is not occupied meanwhile.
		c.arrivedAt -= 2 * serverDelay
		s.startJob(&job{serviceTime: c.serviceTime, done: func(o sycamorevane.OutcomeKind) {
			p.sim.recordResponse(c, o)
		}})
		p.sim.schedule(0, p.dispatch)
	}
}

func (p *centralPolicy) bestFreeServer() *server {
	var best *server
	for _, s := range p.sim.servers {
		if s.busySlots >= s.Slots || s.failing || s.draining() || s.warmUpRemaining > 0 && s.busySlots > 0 {
			continue
		}
		if best == nil || cost(s) < cost(best) {
			best = s
		}
	}
	return best
}

// cost ranks free servers by the expected time of a request on them.
func cost(s *server) float64 {
	x := 1 + float64(s.busySlots)/1000
	if s.slow {
		x += 10
	}
	if s.warmUpRemaining > 0 {
		x += coldSlowdown
	}
	return x
}
