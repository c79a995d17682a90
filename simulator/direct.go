package simulator

import (
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/picker"
)

// countsInterval is how often entries exchange their counts under Shared.
const countsInterval = 100 * time.Millisecond

// pickerPolicy lets every entry send each request immediately to the server that its picker selects.
type pickerPolicy struct {
	sim     *simulation
	picker  sycamorevane.Picker
	entries []*pickerEntry
}

type pickerEntry struct {
	running      []int
	latencies    []time.Duration
	failureRates []float64
	// sharedCounts are the latest sums over all entries, per server, and countsSentAt the times they were sent.
	sharedCounts []int
	countsSentAt []time.Duration
}

func newPickerPolicy(sim *simulation) *pickerPolicy {
	p := &pickerPolicy{sim: sim, picker: picker.LocalTwoChoices{}}
	if sim.Policy == Shared {
		p.picker = picker.SharedTwoChoices{}
	}
	for range sim.Entries {
		p.entries = append(p.entries, &pickerEntry{
			running: make([]int, sim.Servers), latencies: make([]time.Duration, sim.Servers), failureRates: make([]float64, sim.Servers),
			sharedCounts: make([]int, sim.Servers), countsSentAt: make([]time.Duration, sim.Servers),
		})
	}
	return p
}

func (p *pickerPolicy) start() {
	if p.sim.Policy == Shared {
		p.sim.scheduleEvery(countsInterval, p.shareCounts)
	}
}

// shareCounts sends the summed counts of every server to all entries.
func (p *pickerPolicy) shareCounts() {
	sent := p.sim.now
	for i := range p.sim.servers {
		sum := 0
		for _, e := range p.entries {
			sum += e.running[i]
		}
		if p.sim.FalseLoad && i%9 == 0 {
			sum = 0
		}
		for _, e := range p.entries {
			p.sim.schedule(p.sim.meshDelay(), func() { e.sharedCounts[i], e.countsSentAt[i] = sum, sent })
		}
	}
	p.sim.res.Messages += p.sim.Entries * (p.sim.Entries - 1)
}

func (p *pickerPolicy) arrive(c *call) {
	e := p.entries[c.entry]
	candidates := make([]sycamorevane.Candidate, 0, len(p.sim.servers))
	index := make([]int, 0, len(p.sim.servers))
	for i, s := range p.sim.servers {
		// A drain announcement takes some time to reach every entry.
		if s.draining() && p.sim.now > s.drainAt+countsInterval {
			continue
		}
		running := e.running[i]
		if p.sim.Policy == Shared {
			running = max(running, e.sharedCounts[i])
		}
		index = append(index, i)
		candidates = append(candidates, sycamorevane.Candidate{
			Server: s.Server, FreeSlots: s.Slots - running, Running: running, Latency: e.latencies[i], FailureRate: e.failureRates[i],
			CountsAge: p.sim.now - e.countsSentAt[i],
		})
	}
	n := p.picker.Pick(p.sim.currentTime(), sycamorevane.Request{}, candidates, p.sim.rand)
	if n < 0 {
		p.sim.recordRefusal(c, time.Second)
		return
	}
	p.send(c, e, index[n])
}

func (p *pickerPolicy) send(c *call, e *pickerEntry, i int) {
	e.running[i]++
	startedAt := p.sim.now
	p.sim.schedule(serverDelay, func() {
		p.sim.servers[i].submit(&job{serviceTime: c.serviceTime, done: func(o sycamorevane.OutcomeKind) {
			e.running[i]--
			if o == sycamorevane.OutcomeOK {
				e.latencies[i] = smoothed(e.latencies[i], p.sim.now-startedAt)
				e.failureRates[i] *= 7.0 / 8
			} else {
				e.failureRates[i] = e.failureRates[i]*7/8 + 1.0/8
			}
			p.sim.recordResponse(c, o)
		}})
	})
}

func smoothed(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/8
}
