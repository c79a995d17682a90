package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane/scheduler"
)

// The model is one queue per data centre with reads of gridcast: 101 servers with 2 of 3 slots in use, a machine that is 4
// times as slow for 0.275 of the time, and demand of 305 reads per second that varies by 0.55 with a period of 15 s.
const (
	meanWork     = 0.14
	slowShare    = 0.275
	meanDuration = meanWork * (1 + 3*slowShare)
	softTimeout  = 0.4
	oneWay       = 0.0035
	messageBytes = 4000.0
)

var epoch = time.Unix(1_700_000_000, 0)

// modelDC is a data centre with the pool of one service.
type modelDC struct {
	name    string
	base    float64 // mean demand per second
	servers int
	usable  int
	state   State
	summary scheduler.Summary
	core    *Pool
	report  map[string]*received
	// free is when each slot becomes free, starts are the starts of waiting requests.
	free, starts   []float64
	asks, borrowed float64
	smoothed       [2]float64 // asks and borrowed per second
	// seen is the cost of each server at the last exchange, as slot returns it.
	seen                       []float64
	value                      float64
	requests, remote, neverRun int
}

type received struct {
	report Report
	at     float64
}

type model struct {
	dcs   []*modelDC
	rand  *rand.Rand
	now   float64
	phase bool
	// constant selects the constant factor 2 in place of the balancer.
	constant bool
	// deaf lists the pairs "from>to" whose reports are lost.
	deaf map[string]bool
	// onUpdate is called after each exchange of reports.
	onUpdate func()
}

func newModel(load float64) *model {
	m := &model{rand: rand.New(rand.NewPCG(1, 7)), phase: true, deaf: map[string]bool{}, onUpdate: func() {}}
	for i, n := range []int{38, 28, 20, 15} {
		name := string(rune('a' + i))
		m.dcs = append(m.dcs, &modelDC{
			name: name, base: 305.0 / 4 * load, servers: n, usable: n, free: make([]float64, 2*n),
			core: New(epoch, name, Limits{MaxShare: 0.5}), report: map[string]*received{},
		})
	}
	return m
}

func (m *model) time() time.Time { return epoch.Add(time.Duration(m.now * 1e9)) }

// isSlow draws the slowdown of a server anew every 300 ms.
func (d *modelDC) isSlow(server int, now float64) bool {
	r := rand.New(rand.NewPCG(uint64(d.name[0])<<32|uint64(server), uint64(now/0.3)))
	return r.Float64() < slowShare
}

// slot returns the slot for a request that arrives now: a free one, on a server that is not slow if possible, or the one
// that becomes free first. cost is the slowdown; it is 0 without a free slot.
func (d *modelDC) slot(now float64) (slot int, cost float64) {
	slot = -1
	for i := range 2 * d.usable {
		if d.free[i] <= now {
			if !d.isSlow(i/2, now) {
				return i, 1
			}
			slot, cost = i, 4
		} else if cost == 0 && (slot < 0 || d.free[i] < d.free[slot]) {
			slot = i
		}
	}
	return slot, cost
}

// run runs a request that arrived at its own data centre at the time arrived.
func (m *model) run(d, home *modelDC, arrived, now float64) {
	slot, _ := d.slot(now)
	m.runIn(d, home, slot, arrived, now)
}

func (m *model) runIn(d, home *modelDC, slot int, arrived, now float64) {
	home.requests++
	if slot < 0 || d.state != Serving || d.free[slot]-now > 2 {
		home.neverRun++
		return
	}
	start := max(now, d.free[slot])
	duration := m.rand.ExpFloat64() * meanWork
	if d.isSlow(slot/2, start) {
		duration *= 4
	}
	d.free[slot] = start + duration
	if start > now {
		d.starts = append(d.starts, start)
	}
	value := 0.1
	if start+duration-arrived <= softTimeout {
		value = 1
	}
	home.value += value
	if d != home {
		home.remote++
		d.borrowed++
		d.asks++
	}
}

func (m *model) demand(i int) float64 {
	if !m.phase {
		return m.dcs[i].base
	}
	return m.dcs[i].base * (1 + 0.55*math.Sin(2*math.Pi*(m.now/15+float64(i)/4)))
}

func (m *model) arrive(d *modelDC) {
	d.asks++
	slot, cost := d.slot(m.now)
	if d.state != Serving || slot < 0 {
		cost = 0
	}
	if m.constant {
		m.arriveByConstantFactor(d, slot, cost)
		return
	}
	if cost != 1 {
		if dc, ok := d.core.Take(m.time(), messageBytes); ok {
			m.run(m.dcs[dc[0]-'a'], d, m.now, m.now+2*oneWay)
			return
		}
	}
	m.run(d, d, m.now, m.now)
}

// arriveByConstantFactor prefers a server of another data centre that is half as slow, or free while none is at home. It
// knows the own servers exactly and the others as they were at the last exchange. An entry that sees more old reports, as
// today, does worse.
func (m *model) arriveByConstantFactor(home *modelDC, slot int, cost float64) {
	best, bestCost, ties := home, cost, 0.0
	for _, o := range m.dcs {
		if o == home || o.state != Serving {
			continue
		}
		for i, c := range o.seen[:min(o.usable, len(o.seen))] {
			if c == 0 || bestCost > 0 && 2*c > bestCost || 2*c == bestCost && best == home {
				continue
			}
			if 2*c < bestCost || bestCost == 0 {
				ties = 0
			}
			if ties++; m.rand.Float64() < 1/ties {
				best, bestCost, slot = o, 2*c, 2*i
				if o.free[2*i+1] < o.free[2*i] {
					slot = 2*i + 1
				}
			}
		}
	}
	way := 0.0
	if best != home {
		way = 2 * oneWay
	}
	m.runIn(best, home, slot, m.now, m.now+way)
}

// exchange updates all pools and sends their reports.
func (m *model) exchange(smooth func(d *modelDC) (demand, borrowed float64)) {
	for _, d := range m.dcs {
		demand, borrowed := smooth(d)
		for i := range d.servers {
			if math.Mod(m.now+1e-6, 1) > 0.05 {
				break
			} else if i == 0 {
				d.seen = nil
			}
			c := 0.0
			if min(d.free[2*i], d.free[2*i+1]) <= m.now {
				c = map[bool]float64{false: 1, true: 4}[d.isSlow(i, m.now)]
			}
			d.seen = append(d.seen, c)
		}
		d.starts = slices.DeleteFunc(d.starts, func(s float64) bool { return s <= m.now })
		in := Input{
			State: d.state, Borrowed: borrowed, BorrowedUrgent: borrowed, RequestBytes: messageBytes / 2, ResponseBytes: messageBytes / 2,
			Summary: scheduler.Summary{
				Servers: d.usable, Waiting: len(d.starts), Demand: demand, UrgentDemand: demand,
				Capacity: d.capacity(), ExpectedLatency: time.Duration(meanDuration * 1e9),
			},
		}
		d.summary = in.Summary
		for _, o := range m.dcs {
			if o == d {
				continue
			}
			r := Remote{DC: o.name, State: o.state, Delay: time.Duration(oneWay * 1e9)}
			if last := d.report[o.name]; last != nil {
				r.Report, r.Age = &last.report, time.Duration((m.now-last.at)*1e9)
			}
			in.Others = append(in.Others, r)
		}
		report := d.core.Update(m.time(), in)
		for _, o := range m.dcs {
			if o != d && !m.deaf[d.name+">"+o.name] {
				o.report[d.name] = &received{report, m.now}
			}
		}
	}
	m.onUpdate()
}

// smooth updates the smoothed rates of asks as a scheduler does.
func (d *modelDC) smooth(asks, borrowed float64) (float64, float64) {
	d.smoothed[0] += (asks - d.smoothed[0]) * 0.2
	d.smoothed[1] += (borrowed - d.smoothed[1]) * 0.2
	return d.smoothed[0], d.smoothed[1]
}

// play lets single requests arrive in steps of 5 ms and exchanges reports every 100 ms.
func (m *model) play(seconds float64) {
	for range int(math.Round(seconds / 0.1)) {
		for range 20 {
			for i, d := range m.dcs {
				for n := m.demand(i) * 0.005; n > 0; n-- {
					if m.rand.Float64() < n {
						m.arrive(d)
					}
				}
			}
			m.now += 0.005
		}
		m.exchange(func(d *modelDC) (float64, float64) {
			asks, borrowed := d.asks/0.1, d.borrowed/0.1
			d.asks, d.borrowed = 0, 0
			return d.smooth(asks, borrowed)
		})
	}
}

// playFluid exchanges reports every 100 ms while all rates are used fully, without chance.
func (m *model) playFluid(seconds float64) {
	for range int(math.Round(seconds / 0.1)) {
		m.now += 0.1
		m.exchange(func(d *modelDC) (float64, float64) {
			borrowed := m.borrowedFrom(d)
			return d.smooth(m.demand(slices.Index(m.dcs, d))+borrowed, borrowed)
		})
	}
}

// borrowedFrom is the sum of the rates that others send to d.
func (m *model) borrowedFrom(d *modelDC) float64 {
	sum := 0.0
	for _, o := range m.dcs {
		sum += o.core.Rates()[d.name]
	}
	return sum
}

func (d *modelDC) totalRate() float64 {
	sum := 0.0
	for _, rate := range d.core.Rates() {
		sum += rate
	}
	return sum
}

func (d *modelDC) capacity() float64 { return float64(2*d.usable) / meanDuration }

func (m *model) total() (value float64, remote, rejected int) {
	requests := 0
	for _, d := range m.dcs {
		value += d.value
		remote += d.remote
		requests += d.requests
		rejected += d.neverRun
	}
	return value / float64(requests), remote, rejected
}
