package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reversals counts how often a series turns by more than the threshold.
func reversals(series []float64, threshold float64) int {
	count, direction, extreme := 0, 0.0, series[0]
	for _, v := range series {
		switch {
		case (v-extreme)*direction > 0:
			extreme = v
		case math.Abs(v-extreme) > threshold:
			if direction != 0 {
				count++
			}
			direction, extreme = math.Copysign(1, v-extreme), v
		}
	}
	return count
}

// Guards against rates that never settle, that overshoot, or that two borrowers move to and fro between lenders. After a
// step of demand of two data centres, each rate turns by more than 5/s at most once, when the other borrower gets its part
// of the room, and from 5 s on it stays within 5% of the demand of its final value.
func TestRatesConvergeAfterAStep(t *testing.T) {
	m := newModel(2.1)
	m.phase = false
	m.dcs[2].base, m.dcs[3].base = 60, 60
	m.playFluid(5)
	series := make([][]float64, 6)
	for _, d := range m.dcs[2:] {
		require.Zero(t, d.totalRate())
		d.base = 240
	}
	m.onUpdate = func() {
		for i, d := range slices.Concat(m.dcs[2].core.Destinations(), m.dcs[3].core.Destinations()) {
			series[i] = append(series[i], d.Rate)
		}
	}
	m.playFluid(20)
	lenders := m.dcs[:2]
	rooms := lenders[0].capacity() + lenders[1].capacity() - lenders[0].base - lenders[1].base
	require.Greater(t, m.dcs[2].totalRate()+m.dcs[3].totalRate(), 0.9*rooms)
	for _, rates := range series {
		require.LessOrEqual(t, reversals(rates, 5), 1)
		for _, rate := range rates[50:] {
			require.InDelta(t, rates[199], rate, 0.05*240)
		}
	}
	change, _ := m.dcs[3].core.LastChange()
	require.Positive(t, change.To)
	require.Len(t, change.Destinations, 3)
}

// Guards against rates that follow chance: at constant demand with random arrivals and durations, each rate turns by more
// than 5/s less than once in 5 s on average. Without damping they turn 198 times in 40 s, with it 62 times.
func TestRatesAreSteadyUnderNoise(t *testing.T) {
	m := newModel(2.1)
	m.phase = false
	series := map[string][]float64{}
	m.onUpdate = func() {
		for _, d := range m.dcs {
			for _, to := range d.core.Destinations() {
				series[d.name+to.DC] = append(series[d.name+to.DC], to.Rate)
			}
		}
	}
	m.play(40)
	turns := 0
	for _, rates := range series {
		turns += reversals(rates, 5)
	}
	require.Len(t, series, 12)
	require.Less(t, turns, 12*40/5)
}

// Guards against a lender that promises its room twice: when a third of the reports is lost and the needs of the borrowers
// change every second, the offers that are in use and the rates stay within the room of the lender.
func TestOffersStayWithinRoom(t *testing.T) {
	m := newModel(1)
	m.phase = false
	a := m.dcs[0]
	m.playFluid(3)
	limited := 0
	m.onUpdate = func() {
		offered := 0.0
		for _, o := range m.dcs[1:] {
			if last := o.report["a"]; m.now-last.at <= maxAge.Seconds() {
				offered += last.report.Offers[o.name]
			}
			m.deaf["a>"+o.name], m.deaf[o.name+">a"] = m.rand.Float64() < 0.33, m.rand.Float64() < 0.33
			if int(m.now*10+0.5)%10 == 0 {
				o.base = o.capacity() * 4 * m.rand.Float64()
			}
			if d := o.core.Destinations()[0]; d.Reason == ReasonOffer {
				limited++
			}
		}
		require.LessOrEqual(t, offered, a.capacity()-a.base+0.5)
		require.LessOrEqual(t, m.borrowedFrom(a), a.capacity()-a.base+0.5)
	}
	m.playFluid(60)
	require.Greater(t, limited, 100)
}

// Guards against oscillation and flooded neighbours while demand varies and a fifth of the reports is lost. A sum of rates
// turns by more than a tenth of the mean demand at most twice per period of demand, and all borrowers together never
// exceed the most that a lender could lend within the last second and a report's interval.
func TestRatesFollowWaves(t *testing.T) {
	for _, lossShare := range []float64{0, 0.2} {
		m := newModel(2.1)
		series, rooms := make([][]float64, 4), make([][]float64, 4)
		m.onUpdate = func() {
			for i, d := range m.dcs {
				series[i] = append(series[i], d.totalRate())
				rooms[i] = append(rooms[i], room(d.summary, max(0, d.smoothed[0]-d.smoothed[1])))
				recent := 0.0
				for _, r := range rooms[i][max(0, len(rooms[i])-12):] {
					recent = max(recent, r)
				}
				require.LessOrEqual(t, m.borrowedFrom(d), recent+1e-6, "%s at %.1f s", d.name, m.now)
				for _, o := range m.dcs {
					m.deaf[d.name+">"+o.name] = m.rand.Float64() < lossShare
				}
			}
		}
		m.playFluid(75)
		require.Positive(t, slices.Max(series[3]))
		if lossShare == 0 {
			for i, d := range m.dcs {
				require.LessOrEqual(t, reversals(series[i][150:], 0.1*d.base), 2*4+1, d.name)
			}
		}
	}
}

// Guards against a spillover that is worth less to callers than the constant factor when data centres are full in turn, or
// that sends more between data centres on a calm day.
func TestBetterThanConstantFactor(t *testing.T) {
	play := func(load float64, constant bool) (value float64, remote, rejected int) {
		for seed := range uint64(3) {
			m := newModel(load)
			m.constant, m.rand = constant, rand.New(rand.NewPCG(seed, 7))
			m.play(30)
			v, r, n := m.total()
			value, remote, rejected = value+v/3, remote+r, rejected+n
		}
		t.Logf("load %v, constant factor %v: value %.4f, %d requests sent, %d rejected", load, constant, value, remote, rejected)
		return value, remote, rejected
	}
	constantValue, _, _ := play(2.1, true)
	value, _, rejected := play(2.1, false)
	require.Greater(t, value, constantValue)
	require.Zero(t, rejected)
	_, constantRemote, _ := play(1, true)
	_, remote, _ := play(1, false)
	require.Less(t, remote, constantRemote)
}

// Guards against a lender that must wait for its borrowers: its demand doubles, and 1 s later all of them together send no
// more than it has left, also if none of its reports arrives any more.
func TestLenderTakesRoomBack(t *testing.T) {
	for _, silent := range []bool{false, true} {
		m := newModel(1)
		m.phase = false
		a, d := m.dcs[0], m.dcs[3]
		d.base *= 3
		m.playFluid(10)
		require.Positive(t, d.core.Rates()["a"])
		a.base = a.capacity() * 0.99
		a.smoothed[0] = a.base + a.smoothed[1] // The smoothing of the lender's own measurement is not part of the second.
		for _, o := range m.dcs {
			m.deaf["a>"+o.name] = silent
		}
		m.playFluid(1.1)
		require.LessOrEqual(t, m.borrowedFrom(a), a.capacity()-a.base+1)
	}
}

// Guards against work that stays where it cannot run, and against a flood of requests on the servers of a data centre that
// returns cold.
func TestLostDrainedAndColdDataCentre(t *testing.T) {
	for _, state := range []State{Drained, Partitioned, Evacuated, Serving} {
		m := newModel(1.2)
		d := m.dcs[3]
		m.play(12)
		d.state, d.usable = state, 0
		if state != Serving {
			d.usable = d.servers
		}
		m.play(1)
		rejected := d.neverRun
		m.play(7)
		require.LessOrEqual(t, d.neverRun-rejected, d.requests/100, state)
		for _, o := range m.dcs[:3] {
			require.Zero(t, o.core.Rates()["d"], state)
			require.Greater(t, o.value/float64(o.requests), 0.9, state)
		}
		rejected = d.neverRun
		d.state = Serving
		for d.usable = 1; d.usable < d.servers; d.usable++ {
			m.play(0.7)
			require.Less(t, len(d.starts), 40, state)
		}
		require.LessOrEqual(t, d.neverRun-rejected, d.requests/100, state)
		m.play(10)
		require.Less(t, d.totalRate(), 0.5*m.demand(3)+1, state)
	}
}

// Guards against decisions by old or one-sided information: when the reports of one direction are lost, nothing is sent in
// either direction after 1 s, and the others go on.
func TestOneWayLossOfReports(t *testing.T) {
	for _, direction := range []string{"a>d", "d>a"} {
		m := newModel(1)
		m.phase = false
		d := m.dcs[3]
		d.base *= 3
		m.playFluid(10)
		require.Positive(t, d.core.Rates()["a"])
		m.deaf[direction] = true
		m.playFluid(1.3)
		require.Zero(t, d.core.Rates()["a"], direction)
		require.Positive(t, d.core.Rates()["b"], direction)
		m.deaf[direction] = false
		m.playFluid(2)
		require.Positive(t, d.core.Rates()["a"], direction)

		// A drain is known before the lender's own report of it.
		m.deaf["a>d"], m.dcs[0].state = true, Drained
		m.playFluid(0.1)
		require.Zero(t, d.core.Rates()["a"])

		// The driver hangs: Update is not called any more.
		_, ok := d.core.Take(m.time(), messageBytes)
		require.True(t, ok)
		_, ok = d.core.Take(m.time().Add(maxAge+time.Millisecond), messageBytes)
		require.False(t, ok)
	}
}

// Guards against a successor of a lender's host that promises room which offers of its predecessor still use, and against a
// borrower that takes the numbers of one for those of the other.
func TestReplacedHostOfALender(t *testing.T) {
	m := newModel(1)
	m.phase = false
	a, d := m.dcs[0], m.dcs[3]
	d.base *= 3
	m.playFluid(10)
	require.Positive(t, d.core.Rates()["a"])
	a.core, a.report = New(m.time(), "a", Limits{MaxShare: 0.5}), map[string]*received{}
	m.onUpdate = func() { require.Zero(t, d.report["a"].report.Offers["d"]) }
	m.playFluid(0.9)
	require.Zero(t, d.core.Rates()["a"])
	m.onUpdate = func() {}
	m.playFluid(2)
	require.Positive(t, d.core.Rates()["a"])
}

// Guards against more than the operator allows, and against large bodies whose transfer takes longer than they gain.
func TestLimits(t *testing.T) {
	m := newModel(1)
	m.phase = false
	d := m.dcs[3]
	d.base *= 3
	d.core.SetLimits(Limits{MaxShare: 0.25})
	m.playFluid(10)
	require.InDelta(t, 0.25*d.base, d.totalRate(), 0.05*d.base)
	require.LessOrEqual(t, d.totalRate(), 0.25*d.base+1e-6)
	require.Equal(t, ReasonShare, d.core.Destinations()[0].Reason)
	_, ok := d.core.Take(m.time(), 125e6)
	require.False(t, ok, "its transfer takes 10 s")

	d.core.SetLimits(Limits{MaxShare: 0})
	m.playFluid(1)
	require.Zero(t, d.totalRate())

	// The limit of traffic applies to a drained data centre as well; single requests may be larger than the mean.
	d.core.SetLimits(Limits{MaxShare: 0, MaxMbps: 1}.ForPools(2))
	d.state = Drained
	m.playFluid(5)
	require.InDelta(t, 1e6/8/2/messageBytes, d.totalRate(), 0.1)
	sent := 0.0
	for range 10 {
		for range 100 {
			if _, ok := d.core.Take(m.time(), 5*messageBytes); ok {
				sent += 5 * messageBytes
			}
		}
		m.playFluid(0.1)
	}
	require.Positive(t, sent)
	require.LessOrEqual(t, sent, 1e6/8/2*(1+burstTime.Seconds())+5*messageBytes)
}
