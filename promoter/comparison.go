package promoter

import (
	"math"
	"sync"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// badThreshold is the evidence that reverts a rollout: the likelihood ratio of "worse" to "not worse" since
	// the last time that "not worse" was more likely. The expected number of windows to a false alarm of one
	// detector is at least this number, so 600 windows of 20 detectors give at most 600*20/2e6 = 0.6%.
	badThreshold = 2e6
	// blockedThreshold is the evidence that suffices when half of the entries have blocked the version. Their
	// guards stop the calls within one window, so that no further window could add evidence.
	blockedThreshold = 500
	// errorCap and slowCap bound the evidence of one window, so that a disturbance of one second, whose calls
	// are not independent, cannot revert a rollout. mostCap applies when more of at least mostCalls calls are
	// slow than one disturbed server can cause.
	errorCap  = 1e5
	slowCap   = 30
	mostCap   = 9e4
	mostCalls = 10
	// tailCap bounds a window's evidence of a longer tail, and tailNoise is the part of the calls of a disturbed
	// server that are expected in the tail.
	tailCap   = 10
	tailNoise = 0.8
	// slower and muchSlower are the odds ratios of slow calls that count as worse. One disturbed server of six
	// stays below the first, twice the latency is above.
	slower     = 3.5
	muchSlower = 8
	// suspicion is the evidence that holds the share where it is: more than one failed call of a rare route, which
	// alone gives about 100 and fades slowly.
	suspicion = 200
	// firstSuspicion keeps the share of the first calls. A single failed call is enough while there are few.
	firstSuspicion = 20
	// logBeta is the log of the chance to accept a version as good whose rates are as bad as the alternatives
	// below: 1%.
	logBeta = -4.6
	// errorFloor is the assumed error rate of an old version without errors. It is above zero, since a rate
	// is known only up to the number of calls seen.
	errorFloor = 0.002
	// priorCalls is the weight of the smoothed rate of the old version in a window, in calls.
	priorCalls = 30
	// tolerance is the factor by which the new version may be slower in each quantile.
	tolerance = 1.25
	// blindTolerance and blindErrors apply without calls of the old version to compare with in the same window.
	blindTolerance = 1.4
	blindErrors    = 0.03
	// referenceDecay is applied to the old version's reference each window: a half-life of 23 windows.
	referenceDecay = 0.97
	// peakDecay is a half-life of 140 windows, in which each server meets some disturbance.
	peakDecay = 0.995
	// referenceCalls is the smallest reference for a latency comparison.
	referenceCalls = 40
)

// slowQuantiles are the old version's quantiles beyond which a call counts as slow: two for a shift of
// many calls and one for a longer tail.
var slowQuantiles = [...]float64{0.5, 0.75, 0.95}

// goodIndex is the quantile whose slow calls count for acceptance, tailIndex the one for a longer tail.
const (
	goodIndex = 1
	tailIndex = 2
)

// proof is what acceptance rules out: an increase of the error rate by errors and slow calls with slow times the
// odds of the old version.
type proof struct{ errors, slow float64 }

// proofs are ordered from strong to weak. The strong one takes about 92 good calls, the weak one 20. Routes need
// the last one.
var proofs = [...]proof{{0.05, 3}, {0.2, 6}, {0.5, 6}}

const (
	strongProof = iota
	weakProof
	routeProof
)

// bounds holds the lowest and highest latency, in units, of each histogram index.
type bounds struct{ low, high []float64 }

var latencyBounds = sync.OnceValue(func() bounds {
	shape := newHistogram().Export()
	n := len(shape.Counts)
	b := bounds{low: make([]float64, n), high: make([]float64, n)}
	for i := range n {
		shape.Counts = make([]int64, n)
		shape.Counts[i] = 1
		h := hdr.Import(shape)
		b.low[i] = float64(h.Min())
		b.high[i] = float64(h.Max())
	}
	return b
})

// tally counts one group of calls in one window, by side: 0 is the old version, 1 the new one.
type tally struct {
	calls [2]float64
	bad   [2]float64
	ok    [2]float64
	shed  [2]float64
	bins  [2][]float64
}

func newTally() *tally {
	n := len(latencyBounds().low)
	return &tally{bins: [2][]float64{make([]float64, n), make([]float64, n)}}
}

func (t *tally) add(o *tally) {
	for side := range t.calls {
		t.calls[side] += o.calls[side]
		t.bad[side] += o.bad[side]
		t.ok[side] += o.ok[side]
		t.shed[side] += o.shed[side]
		for i, n := range o.bins[side] {
			t.bins[side][i] += n
		}
	}
}

// combine updates the evidence with the likelihood ratio of one window. Starting again at 1 keeps the evidence
// of a version that turns bad late from being outweighed by its good past.
func combine(evidence, ratio float64) float64 { return max(evidence, 1) * ratio }

// comparison is the running comparison of the new with the old version in one group of calls.
type comparison struct {
	// errors, shift and tail are the evidence that the new version is worse.
	errors float64
	// shift is about latency as a whole, tail about the slowest calls.
	shift float64
	tail  float64
	// goodErrors and goodSlow are log likelihood ratios by proof; at logBeta or below it is given.
	goodErrors [len(proofs)]float64
	goodSlow   [len(proofs)]float64
	// recent is the decayed latency histogram of the old version, base its histogram at full load.
	recent []float64
	base   []float64
	// rate is the decayed error count and call count of the old version.
	rate [2]float64
	// peak is the largest share of slow calls of the old version in a window, decayed. Without calls of the old
	// version in the same window it stands for disturbances that are not the new version's fault.
	peak [len(slowQuantiles)]float64
	// seen counts calls of the new version, traffic those of both, decayed.
	seen    float64
	traffic float64
}

func newComparison() *comparison {
	n := len(latencyBounds().low)
	return &comparison{recent: make([]float64, n), base: make([]float64, n)}
}

// circumstances say how a window is judged.
type circumstances struct {
	// cold is true while the new version's servers warm up: latency does not count.
	cold bool
	// full is true while the old version carries nearly all calls, which makes it the baseline.
	full bool
	// moved is true once the old version no longer carries full load.
	moved bool
	// servers is the number of servers of the new version; zero when unknown.
	servers int
}

// add takes one window into account.
func (c *comparison) add(t *tally, is circumstances) {
	blind := t.calls[0] < 1
	c.addErrors(t, is, blind)
	if !is.cold {
		c.addSlow(t, is, blind)
	}
	c.learn(t, is)
	c.seen += t.calls[1]
	c.traffic = c.traffic*referenceDecay + t.calls[0] + t.calls[1]
}

func (c *comparison) addErrors(t *tally, is circumstances, blind bool) {
	n, k := t.calls[1], t.bad[1]
	if n == 0 {
		return
	}
	p0 := (t.bad[0] + priorCalls*c.errorRate()) / (t.calls[0] + priorCalls)
	// A window without errors of the old version is often chance, so its rate over many windows counts as well.
	p0 = min(max(p0, c.errorRate(), errorFloor), 0.9)
	if blind {
		p0 = min(p0+blindErrors, 0.9)
	}
	ratio := (likelihood(n, k, p0, odds(p0, 4)) + likelihood(n, k, p0, max(0.2, odds(p0, 8))) + likelihood(n, k, p0, max(0.6, odds(p0, 16)))) / 3
	c.errors = combine(c.errors, min(ratio, errorCap))
	for i, p := range proofs {
		c.goodErrors[i] = min(c.goodErrors[i]+math.Log(likelihood(n, k, p0, min(p0+p.errors, 0.95))), 0)
	}
}

func (c *comparison) addSlow(t *tally, is circumstances, blind bool) {
	if sum(c.recent) < referenceCalls/2 {
		return
	}
	w := c.slowness(t, is, blind)
	limit := float64(slowCap)
	if w.n >= mostCalls && w.over[0]/w.n-w.rate[0] > is.noise()+0.5/math.Sqrt(w.n) {
		limit = mostCap
	}
	c.shift = combine(c.shift, min((w.shifted(slower)+w.shifted(muchSlower))/2, limit))
	k, p0 := w.over[tailIndex], min(w.rate[tailIndex]+is.noise()*tailNoise, 0.9)
	ratio := (likelihood(w.n, k, p0, odds(p0, slower)) + likelihood(w.n, k, p0, odds(p0, muchSlower))) / 2
	c.tail = combine(c.tail, min(ratio, tailCap))
	for i, p := range proofs {
		k, p0 := w.over[goodIndex], w.rate[goodIndex]
		c.goodSlow[i] = min(c.goodSlow[i]+math.Log(likelihood(w.n, k, p0, odds(p0, p.slow))), 0)
	}
}

// slowness counts the new version's calls of a window that were slower than the old version's quantiles, and the
// rates expected of a version that is not worse.
type slowness struct {
	n    float64
	over [len(slowQuantiles)]float64
	rate [len(slowQuantiles)]float64
}

func (c *comparison) slowness(t *tally, is circumstances, blind bool) slowness {
	factor := tolerance
	if blind || (is.moved && sum(c.base) < referenceCalls) {
		factor = blindTolerance
	}
	w := slowness{n: sum(t.bins[1])}
	n0 := sum(t.bins[0])
	for i, q := range slowQuantiles {
		at := quantile(c.recent, q)
		if sum(c.base) >= referenceCalls {
			at = max(at, quantile(c.base, q))
		}
		slow := above(t.bins[0], at)
		p0 := max((slow+priorCalls*(1-q))/(n0+priorCalls), (1-q)*0.8) + 0.02
		if n0 >= referenceCalls {
			c.peak[i] = max(c.peak[i]*peakDecay, slow/n0)
		}
		if blind {
			p0 = max(p0, c.peak[i])
		}
		w.rate[i] = min(p0, 0.9)
		w.over[i] = above(t.bins[1], at*factor)
	}
	return w
}

// shifted is the likelihood ratio of slow calls with odds by times those expected to the expected ones, over all
// quantiles together.
func (w slowness) shifted(by float64) float64 {
	log := 0.0
	left, p0, p1 := w.n, 1.0, 1.0
	for i, rate := range w.rate {
		next := odds(rate, by)
		if d0, d1 := p0-rate, p1-next; d0 > 0 && d1 > 0 {
			log += (left - w.over[i]) * math.Log(d1/d0)
		}
		left, p0, p1 = w.over[i], rate, next
	}
	return math.Exp(log + left*math.Log(p1/p0))
}

// noise is the increase of the share of slow calls that one disturbed server can cause.
func (is circumstances) noise() float64 {
	if is.servers == 0 {
		return 1
	}
	return max(1/float64(is.servers), 0.15)
}

// learn adds the old version's calls to the reference.
func (c *comparison) learn(t *tally, is circumstances) {
	if t.calls[0] == 0 {
		return
	}
	c.rate[0] = c.rate[0]*referenceDecay + t.bad[0]
	c.rate[1] = c.rate[1]*referenceDecay + t.calls[0]
	for i, n := range t.bins[0] {
		c.recent[i] = c.recent[i]*referenceDecay + n
		if is.full {
			c.base[i] = c.base[i]*referenceDecay + n
		}
	}
}

func (c *comparison) errorRate() float64 {
	if c.rate[1] == 0 {
		return errorFloor
	}
	return c.rate[0] / c.rate[1]
}

// worst returns the strongest evidence against the new version and what it concerns.
func (c *comparison) worst() (float64, string) {
	e, what := c.errors, "errors"
	if s := max(c.shift, c.tail); s > e {
		e, what = s, "latency"
	}
	return e, what
}

// good reports whether the proof is given in this group of calls. Without a reference for latencies, errors
// decide alone.
func (c *comparison) good(p int) bool {
	return c.goodErrors[p] <= logBeta && (c.goodSlow[p] <= logBeta || sum(c.recent) < referenceCalls/2)
}

// likelihood is the likelihood ratio of rate p1 to rate p0 for k of n calls.
func likelihood(n, k, p0, p1 float64) float64 {
	return math.Exp(k*math.Log(p1/p0) + (n-k)*math.Log((1-p1)/(1-p0)))
}

// odds returns the rate whose odds are those of p times by.
func odds(p, by float64) float64 {
	o := p / (1 - p) * by
	return o / (1 + o)
}

func sum(bins []float64) float64 {
	total := 0.0
	for _, n := range bins {
		total += n
	}
	return total
}

// quantile returns the latency below which the part q of the calls lies, interpolated within its bin.
func quantile(bins []float64, q float64) float64 {
	b := latencyBounds()
	left := sum(bins) * q
	for i, n := range bins {
		if left <= n && n > 0 {
			return b.low[i] + (b.high[i]+1-b.low[i])*left/n
		}
		left -= n
	}
	return b.high[len(b.high)-1]
}

// above counts the calls that took longer than the latency, interpolated within its bin.
func above(bins []float64, latency float64) float64 {
	b := latencyBounds()
	total := 0.0
	for i, n := range bins {
		switch {
		case n == 0 || b.high[i]+1 <= latency:
		case b.low[i] >= latency:
			total += n
		default:
			total += n * (b.high[i] + 1 - latency) / (b.high[i] + 1 - b.low[i])
		}
	}
	return total
}
