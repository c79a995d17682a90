package promoter

import (
	"math"
	"sync"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// revertThreshold is the evidence that reverts a rollout: the likelihood ratio of "worse" to "not worse" since
	// the last time that "not worse" was more likely. The expected number of windows until a false alarm of one
	// detector is at least this number, so 600 windows of 20 detectors give at most 600*20/2e6 = 0.6%.
	revertThreshold = 2e6
	// blockedRevertThreshold is the evidence that suffices when half of the entries have blocked the version. Their
	// guards stop the calls within one window, so further windows could add no evidence.
	blockedRevertThreshold = 500
	// maxErrorRatio and maxSlowRatio bound the evidence of one window, so that a disturbance of one second, whose
	// calls are not independent, cannot revert a rollout. maxManySlowRatio applies when more calls are slow than one
	// disturbed server can cause, in a window of at least manySlowCalls calls.
	maxErrorRatio    = 1e5
	maxSlowRatio     = 30
	maxManySlowRatio = 9e4
	manySlowCalls    = 10
	// maxTailRatio bounds a window's evidence of a longer tail. disturbedTailShare is the share of a disturbed
	// server's calls that are expected in the tail.
	maxTailRatio       = 10
	disturbedTailShare = 0.8
	// slowerOdds and muchSlowerOdds are the odds ratios of slow calls that count as worse. One disturbed server of
	// six stays below the first; twice the latency is above it.
	slowerOdds     = 3.5
	muchSlowerOdds = 8
	// holdThreshold is the evidence that stops the share from growing. It takes more than one failed call of a rare
	// route, which alone gives about 100 and decays slowly.
	holdThreshold = 200
	// limitedRevertThreshold is the evidence that reverts a rollout after its trial when a bad version may get a limited number
	// of calls: errors, and the latency of all calls. A few windows give 20 detectors less occasion for a false alarm than a
	// long rollout. The latency of single routes does not count, since a few calls on one disturbed server reach this value.
	limitedRevertThreshold = 2e3
	// initialHoldThreshold keeps the share of the first calls. While there are few, a single failed call reaches it.
	initialHoldThreshold = 20
	// logBeta is the log of the probability of accepting a version as good although its rates are as bad as the
	// criteria below: 1%.
	logBeta = -4.6
	// minAcceptance bounds what good calls of the past count for.
	minAcceptance = 3 * logBeta
	// minErrorRate is the assumed error rate of an old version without errors. It is above zero since a rate is only
	// known to the precision that the number of calls allows.
	minErrorRate = 0.002
	// priorCalls is the weight, in calls, of the smoothed rate of the old version in a window.
	priorCalls = 30
	// latencyTolerance is the factor by which the new version may be slower in each quantile.
	latencyTolerance = 1.25
	// unpairedLatencyTolerance and unpairedErrorMargin apply to windows without calls of the old version to compare
	// with. The former also applies below full load while there is no baseline.
	unpairedLatencyTolerance = 1.4
	unpairedErrorMargin      = 0.03
	// referenceDecay is applied to the old version's reference in each window. It gives a half-life of 23 windows.
	referenceDecay = 0.97
	// peakDecay gives a half-life of 140 windows, in which each server has some disturbance.
	peakDecay = 0.995
	// minReferenceCalls is the smallest number of reference calls for a latency comparison.
	minReferenceCalls = 40
	// expectedRateMargin is added to the expected rates of slow calls, which are known only roughly.
	expectedRateMargin = 0.02
	// maxReferenceTail is the share of a window's calls by which the tail of the reference grows at most, so that a
	// disturbance of the old version is not remembered as its usual latency.
	maxReferenceTail = 0.06
	// maxAcceptanceTail is the share of the old version's calls in its own tail from which a window does not show that the
	// new version is good.
	maxAcceptanceTail = 0.12
)

// slowQuantiles are the quantiles of the old version beyond which a call counts as slow: two for a shift of many
// calls and one for a longer tail.
var slowQuantiles = [...]float64{0.5, 0.75, 0.95}

// acceptanceQuantile and tailQuantile are indexes into slowQuantiles: of the quantile that is used for acceptance, and
// of the one that is used to detect a longer tail.
const (
	acceptanceQuantile = 1
	tailQuantile       = 2
)

// criterion defines what the acceptance of a version rules out: an error rate increased by errorIncrease, odds of slow
// calls that are slowOdds times those of the old version, and a share of calls in the tail increased by tailIncrease. A
// version that is slow on a part of its calls only may keep the odds.
type criterion struct{ errorIncrease, slowOdds, tailIncrease float64 }

// criteria are ordered from strong to weak. The strong one takes about 92 good calls, the weak one 35. Each route has
// to meet the last one.
var criteria = [...]criterion{{0.05, 3, 0.15}, {0.2, 6, 0.2}, {0.5, 6, 0.5}}

// usualTailRate is the share of calls in the tail that is expected of an undisturbed version. Acceptance does not use the old
// version's share in the same window: of the few calls that it has at a large share some are slow by chance.
var usualTailRate = 1 - slowQuantiles[tailQuantile] + expectedRateMargin

const (
	strongCriterion = iota
	weakCriterion
	routeCriterion
)

// acceptanceCalls is the expected number of good calls until the criterion is met.
func (c criterion) acceptanceCalls() float64 {
	return -logBeta / min(c.errorIncrease, -logLikelihoodRatio(1, usualTailRate, usualTailRate, usualTailRate+c.tailIncrease))
}

// binBounds holds the lowest and highest latency of each histogram index, in latencyUnit.
type binBounds struct{ low, high []float64 }

var latencyBinBounds = sync.OnceValue(func() binBounds {
	shape := newHistogram().Export()
	n := len(shape.Counts)
	b := binBounds{low: make([]float64, n), high: make([]float64, n)}
	for i := range n {
		shape.Counts = make([]int64, n)
		shape.Counts[i] = 1
		h := hdr.Import(shape)
		b.low[i] = float64(h.Min())
		b.high[i] = float64(h.Max())
	}
	return b
})

// callCounts counts one group of calls in one window, by side: 0 is the old version, 1 the new one. calls does not
// include shed calls unless shedding counts as failure.
type callCounts struct {
	calls [2]float64
	bad   [2]float64
	ok    [2]float64
	shed  [2]float64
	bins  [2][]float64
}

func newCallCounts() *callCounts {
	n := len(latencyBinBounds().low)
	return &callCounts{bins: [2][]float64{make([]float64, n), make([]float64, n)}}
}

func (c *callCounts) add(other *callCounts) {
	for side := range c.calls {
		c.calls[side] += other.calls[side]
		c.bad[side] += other.bad[side]
		c.ok[side] += other.ok[side]
		c.shed[side] += other.shed[side]
		for i, n := range other.bins[side] {
			c.bins[side][i] += n
		}
	}
}

// accumulate updates the evidence with the likelihood ratio of one window. The evidence never falls below 1 before a
// window, so that a version that turns bad late is not excused by its good past.
func accumulate(evidence, ratio float64) float64 { return max(evidence, 1) * ratio }

// accept adds k of n calls to an acceptance, the log likelihood ratio of rate p1 to rate p0 within its bounds.
func accept(acceptance, n, k, p0, p1 float64) float64 {
	return min(max(acceptance+logLikelihoodRatio(n, k, p0, p1), minAcceptance), 0)
}

// comparison compares the new with the old version in one group of calls.
type comparison struct {
	// errorEvidence, shiftEvidence and tailEvidence are the evidence that the new version is worse: by its errors, by
	// its latency as a whole, and by its slowest calls.
	errorEvidence float64
	shiftEvidence float64
	tailEvidence  float64
	// errorAcceptance, slowAcceptance and tailAcceptance are log likelihood ratios by criterion, which is met at logBeta
	// or below.
	errorAcceptance [len(criteria)]float64
	slowAcceptance  [len(criteria)]float64
	tailAcceptance  [len(criteria)]float64
	// recent is the decayed latency histogram of the old version, baseline its histogram at full load.
	recent   []float64
	baseline []float64
	// errorsAndCalls holds the decayed numbers of errors and of calls of the old version.
	errorsAndCalls [2]float64
	// peakSlowShare is the largest share of slow calls of the old version in a window, decayed. In windows without
	// calls of the old version it stands for disturbances that the new version has not caused.
	peakSlowShare [len(slowQuantiles)]float64
	// newCalls counts calls of the new version, recentCalls those of each version, decayed.
	newCalls    float64
	recentCalls [2]float64
}

func newComparison() *comparison {
	n := len(latencyBinBounds().low)
	return &comparison{recent: make([]float64, n), baseline: make([]float64, n)}
}

// conditions say how a window is judged.
type conditions struct {
	// cold is true while the new version's servers warm up. Latency is not compared then.
	cold bool
	// fullLoad is true while the old version carries nearly all calls, so that its latency is recorded as the
	// baseline.
	fullLoad bool
	// belowFullLoad is true once the old version no longer carries full load.
	belowFullLoad bool
	// servers is the number of servers of the new version; zero when unknown.
	servers int
	// minErrorRate is the lowest error rate that is expected of the new version.
	minErrorRate float64
	// oldErrorRate is the old version's error rate over all routes. It stands for routes of which few calls are known.
	oldErrorRate float64
}

// add applies one window.
func (c *comparison) add(counts *callCounts, cond conditions) {
	unpaired := counts.calls[0] < 1
	c.addErrors(counts, cond)
	if !cond.cold {
		c.addSlow(counts, cond, unpaired)
	}
	c.updateReference(counts, cond)
	c.newCalls += counts.calls[1]
	for side, n := range counts.calls {
		c.recentCalls[side] = c.recentCalls[side]*referenceDecay + n
	}
}

func (c *comparison) addErrors(counts *callCounts, cond conditions) {
	n, k := counts.calls[1], counts.bad[1]
	if n == 0 {
		return
	}
	p0 := max(c.expectedErrorRate(counts, cond), cond.minErrorRate)
	ratio := (likelihoodRatio(n, k, p0, scaleOdds(p0, 4)) +
		likelihoodRatio(n, k, p0, max(0.2, scaleOdds(p0, 8))) +
		likelihoodRatio(n, k, p0, max(0.6, scaleOdds(p0, 16)))) / 3
	c.errorEvidence = accumulate(c.errorEvidence, min(ratio, maxErrorRatio))
	for i, crit := range criteria {
		c.errorAcceptance[i] = accept(c.errorAcceptance[i], n, k, p0, min(p0+crit.errorIncrease, 0.95))
	}
}

// expectedErrorRate is the error rate that is expected of a version that is not worse. A window without errors of the old
// version is often chance, so its rate over many windows is considered, too.
func (c *comparison) expectedErrorRate(counts *callCounts, cond conditions) float64 {
	usual := max(c.errorRate(), smoothedRate(c.errorsAndCalls[0], c.errorsAndCalls[1], cond.oldErrorRate), minErrorRate)
	rate := max(smoothedRate(counts.bad[0], counts.calls[0], usual), usual)
	if counts.calls[0] < 1 {
		rate += unpairedErrorMargin
	}
	return min(rate, 0.9)
}

func (c *comparison) addSlow(counts *callCounts, cond conditions, unpaired bool) {
	if sum(c.recent) < minReferenceCalls/2 {
		return
	}
	slow := c.countSlow(counts, cond, unpaired)
	maxRatio := float64(maxSlowRatio)
	if slow.total >= manySlowCalls &&
		slow.over[0]/slow.total-slow.expectedRate[0] > cond.disturbedShare()+0.5/math.Sqrt(slow.total) {
		maxRatio = maxManySlowRatio
	}
	c.shiftEvidence = accumulate(c.shiftEvidence, min((slow.shiftRatio(slowerOdds)+slow.shiftRatio(muchSlowerOdds))/2, maxRatio))
	k, p0 := slow.over[tailQuantile], min(slow.expectedRate[tailQuantile]+cond.disturbedShare()*disturbedTailShare, 0.9)
	ratio := (likelihoodRatio(slow.total, k, p0, scaleOdds(p0, slowerOdds)) +
		likelihoodRatio(slow.total, k, p0, scaleOdds(p0, muchSlowerOdds))) / 2
	c.tailEvidence = accumulate(c.tailEvidence, min(ratio, maxTailRatio))
	if c.tailShare(counts) >= maxAcceptanceTail {
		return // A slow old version would excuse a slow new one.
	}
	for i, crit := range criteria {
		k, p0 := slow.over[acceptanceQuantile], slow.expectedRate[acceptanceQuantile]
		c.slowAcceptance[i] = accept(c.slowAcceptance[i], slow.total, k, p0, scaleOdds(p0, crit.slowOdds))
		k, p0 = slow.over[tailQuantile], usualTailRate
		c.tailAcceptance[i] = accept(c.tailAcceptance[i], slow.total, k, p0, min(p0+crit.tailIncrease, 0.95))
	}
}

// smoothedRate is the rate of n of all calls, with priorCalls at the usual rate.
func smoothedRate(n, calls, usual float64) float64 {
	return (n + priorCalls*usual) / (calls + priorCalls)
}

// slowCalls counts the new version's calls of a window that were slower than the old version's quantiles (over), and
// holds the rates expected of a version that is not worse.
type slowCalls struct {
	total        float64
	over         [len(slowQuantiles)]float64
	expectedRate [len(slowQuantiles)]float64
}

func (c *comparison) countSlow(counts *callCounts, cond conditions, unpaired bool) slowCalls {
	factor := latencyTolerance
	if unpaired || (cond.belowFullLoad && sum(c.baseline) < minReferenceCalls) {
		factor = unpairedLatencyTolerance
	}
	counted := slowCalls{total: sum(counts.bins[1])}
	n0 := sum(counts.bins[0])
	for i, q := range slowQuantiles {
		threshold := quantile(c.recent, q)
		if sum(c.baseline) >= minReferenceCalls {
			threshold = max(threshold, quantile(c.baseline, q))
		}
		oldSlow := countAbove(counts.bins[0], threshold)
		p0 := max((oldSlow+priorCalls*(1-q))/(n0+priorCalls), (1-q)*0.8) + expectedRateMargin
		if n0 >= minReferenceCalls {
			c.peakSlowShare[i] = max(c.peakSlowShare[i]*peakDecay, oldSlow/n0)
		}
		if unpaired {
			p0 = max(p0, c.peakSlowShare[i])
		}
		counted.expectedRate[i] = min(p0, 0.9)
		counted.over[i] = countAbove(counts.bins[1], threshold*factor)
	}
	return counted
}

// shiftRatio is the likelihood ratio, over all quantiles together, of slow calls with the given factor on their odds
// to slow calls with the expected odds.
func (s slowCalls) shiftRatio(factor float64) float64 {
	log := 0.0
	remaining, p0, p1 := s.total, 1.0, 1.0
	for i, rate := range s.expectedRate {
		shiftedRate := scaleOdds(rate, factor)
		if d0, d1 := p0-rate, p1-shiftedRate; d0 > 0 && d1 > 0 {
			log += (remaining - s.over[i]) * math.Log(d1/d0)
		}
		remaining, p0, p1 = s.over[i], rate, shiftedRate
	}
	return math.Exp(log + remaining*math.Log(p1/p0))
}

// disturbedShare is the increase of the share of slow calls that one disturbed server can cause.
func (cond conditions) disturbedShare() float64 {
	if cond.servers == 0 {
		return 1
	}
	return max(1/float64(cond.servers), 0.15)
}

// updateReference adds the old version's calls to the reference.
func (c *comparison) updateReference(counts *callCounts, cond conditions) {
	if counts.calls[0] == 0 {
		return
	}
	c.errorsAndCalls[0] = c.errorsAndCalls[0]*referenceDecay + counts.bad[0]
	c.errorsAndCalls[1] = c.errorsAndCalls[1]*referenceDecay + counts.calls[0]
	tailStart, tailWeight := c.tailThreshold(), maxReferenceTail/max(c.tailShare(counts), maxReferenceTail)
	b := latencyBinBounds()
	for i, n := range counts.bins[0] {
		if b.low[i] >= tailStart {
			n *= tailWeight
		}
		c.recent[i] = c.recent[i]*referenceDecay + n
		if cond.fullLoad {
			c.baseline[i] = c.baseline[i]*referenceDecay + n
		}
	}
}

// tailThreshold is the latency from which a call of the old version is in the tail of its own reference.
func (c *comparison) tailThreshold() float64 {
	return quantile(c.recent, slowQuantiles[tailQuantile]) * latencyTolerance
}

// tailShare is the share of the old version's calls in the tail of its own reference; zero without a reference.
func (c *comparison) tailShare(counts *callCounts) float64 {
	n := sum(counts.bins[0])
	if n == 0 || sum(c.recent) < minReferenceCalls {
		return 0
	}
	return countAbove(counts.bins[0], c.tailThreshold()) / n
}

// allRecentCalls is the decayed number of calls of both versions.
func (c *comparison) allRecentCalls() float64 { return c.recentCalls[0] + c.recentCalls[1] }

func (c *comparison) errorRate() float64 {
	if c.errorsAndCalls[1] == 0 {
		return minErrorRate
	}
	return c.errorsAndCalls[0] / c.errorsAndCalls[1]
}

// strongestEvidence returns the strongest evidence against the new version and what it is about.
func (c *comparison) strongestEvidence() (float64, string) {
	evidence, what := c.errorEvidence, "errors"
	if latency := max(c.shiftEvidence, c.tailEvidence); latency > evidence {
		evidence, what = latency, "latency"
	}
	return evidence, what
}

// meets reports whether this group of calls meets the criterion. Without reference latencies only errors are
// considered.
func (c *comparison) meets(i int) bool { return c.acceptance(i) <= logBeta }

func (c *comparison) acceptance(i int) float64 {
	if sum(c.recent) < minReferenceCalls/2 {
		return c.errorAcceptance[i]
	}
	return max(c.errorAcceptance[i], c.slowAcceptance[i], c.tailAcceptance[i])
}

// likelihoodRatio is the likelihood ratio of rate p1 to rate p0 for k of n calls.
func likelihoodRatio(n, k, p0, p1 float64) float64 {
	return math.Exp(logLikelihoodRatio(n, k, p0, p1))
}

func logLikelihoodRatio(n, k, p0, p1 float64) float64 {
	return k*math.Log(p1/p0) + (n-k)*math.Log((1-p1)/(1-p0))
}

// scaleOdds returns the rate whose odds are those of p times factor.
func scaleOdds(p, factor float64) float64 {
	o := p / (1 - p) * factor
	return o / (1 + o)
}

func sum(bins []float64) float64 {
	total := 0.0
	for _, n := range bins {
		total += n
	}
	return total
}

// quantile returns the latency below which the share q of the calls lies, interpolated within its bin.
func quantile(bins []float64, q float64) float64 {
	b := latencyBinBounds()
	remaining := sum(bins) * q
	for i, n := range bins {
		if remaining <= n && n > 0 {
			return b.low[i] + (b.high[i]+1-b.low[i])*remaining/n
		}
		remaining -= n
	}
	return b.high[len(b.high)-1]
}

// countAbove counts the calls that took longer than the latency, interpolated within its bin.
func countAbove(bins []float64, latency float64) float64 {
	b := latencyBinBounds()
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
