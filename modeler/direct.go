package modeler

import (
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/picker"
)

// shareInterval is how often entries tell each other their counts under Shared.
const shareInterval = 100 * time.Millisecond

// direct lets every entry send each request at once to the server its picker names.
type direct struct {
	w       *world
	picker  sycamorevane.Picker
	entries []*directEntry
}

type directEntry struct {
	busy    []int
	latency []time.Duration
	failing []float64
	// shared are the last counts heard from all entries, per server, with their time.
	shared []int
	heard  []time.Duration
}

func newDirect(w *world) *direct {
	p := &direct{w: w, picker: picker.LocalTwoChoices{}}
	if w.Policy == Shared {
		p.picker = picker.SharedTwoChoices{}
	}
	for range w.Entries {
		p.entries = append(p.entries, &directEntry{
			busy: make([]int, w.Servers), latency: make([]time.Duration, w.Servers), failing: make([]float64, w.Servers),
			shared: make([]int, w.Servers), heard: make([]time.Duration, w.Servers),
		})
	}
	return p
}

func (p *direct) start() {
	if p.w.Policy == Shared {
		p.w.every(shareInterval, p.share)
	}
}

// share sends all counts to all entries.
func (p *direct) share() {
	sent := p.w.now
	for i := range p.w.servers {
		sum := 0
		for _, e := range p.entries {
			sum += e.busy[i]
		}
		if p.w.FalseLoad && i%9 == 0 {
			sum = 0
		}
		for _, e := range p.entries {
			p.w.after(p.w.meshDelay(), func() { e.shared[i], e.heard[i] = sum, sent })
		}
	}
	p.w.res.Messages += p.w.Entries * (p.w.Entries - 1)
}

func (p *direct) arrive(c *call) {
	e := p.entries[c.entry]
	candidates := make([]sycamorevane.Candidate, 0, len(p.w.servers))
	index := make([]int, 0, len(p.w.servers))
	for i, s := range p.w.servers {
		// The announcement of a drain needs some time to reach every entry.
		if s.draining() && p.w.now > s.drain+shareInterval {
			continue
		}
		busy := e.busy[i]
		if p.w.Policy == Shared {
			busy = max(busy, e.shared[i])
		}
		index = append(index, i)
		candidates = append(candidates, sycamorevane.Candidate{
			Server: s.Server, FreeSlots: s.Slots - busy, Running: busy, Latency: e.latency[i], FailureRate: e.failing[i],
			CountsAge: p.w.now - e.heard[i],
		})
	}
	n := p.picker.Pick(p.w.time(), sycamorevane.Request{}, candidates, p.w.rand)
	if n < 0 {
		p.w.refuse(c, time.Second)
		return
	}
	p.send(c, e, index[n])
}

func (p *direct) send(c *call, e *directEntry, i int) {
	e.busy[i]++
	began := p.w.now
	p.w.after(hop, func() {
		p.w.servers[i].submit(&job{work: c.work, done: func(o sycamorevane.OutcomeKind) {
			e.busy[i]--
			if o == sycamorevane.OutcomeOK {
				e.latency[i] = smoothed(e.latency[i], p.w.now-began)
				e.failing[i] *= 7.0 / 8
			} else {
				e.failing[i] = e.failing[i]*7/8 + 1.0/8
			}
			p.w.finish(c, o)
		}})
	})
}

func smoothed(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/8
}
