package promoter

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// A rollout is reverted without a statistical test when the new version has given at least obviousFailures
	// failures, at a rate of at least obviousFailureRate and of at least obviousFailureRatio times the old version's
	// rate. A good version with the same rate of 1% has 12 failures in 120 answers by chance in less than one of 10^8
	// rollouts.
	obviousFailures     = 12
	obviousFailureRate  = 0.1
	obviousFailureRatio = 3
	// alarmScore is the score that reverts a rollout, see failureScore: a likelihood ratio of revertThreshold. The score
	// compares a failure rate of alarmRatio times the old version's, but at least alarmRate, with alarmOdds times its odds.
	alarmScore = 14.5
	alarmRatio = 1.5
	alarmRate  = 0.05
	alarmOdds  = 5
)

// answerCounts counts the complete answers of servers and the failures among them, by side.
type answerCounts struct{ answers, failures [2]float64 }

func (a answerCounts) plus(b answerCounts) answerCounts {
	for side := range a.answers {
		a.answers[side] += b.answers[side]
		a.failures[side] += b.failures[side]
	}
	return a
}

func (a answerCounts) failureRate(side int) float64 {
	if a.answers[side] == 0 {
		return 0
	}
	return a.failures[side] / a.answers[side]
}

// obviouslyBad reports whether the new version has so many failures that no statistical test is needed.
func (a answerCounts) obviouslyBad() bool {
	rate := a.failureRate(1)
	return a.failures[1] >= obviousFailures && rate >= obviousFailureRate && rate >= obviousFailureRatio*a.failureRate(0)
}

// failureScore adds the answers of the new version to a log likelihood ratio of "fails many calls" to "does not", which
// restarts at zero so that good answers do not excuse later failures.
func failureScore(score float64, counts answerCounts, oldRate float64) float64 {
	p0 := min(max(alarmRate, alarmRatio*oldRate), 0.5)
	return max(0, score+logLikelihoodRatio(counts.answers[1], counts.failures[1], p0, scaleOdds(p0, alarmOdds)))
}

// reportsFailures reports whether the evidence has failures of a new version.
func reportsFailures(e *encoder.Evidence) bool {
	for _, w := range e.GetWindows() {
		for _, m := range w.GetMoves() {
			for _, cell := range m.GetCells() {
				if counts := cell.GetCounts(); cell.GetTo() && len(counts) > int(sycamorevane.OutcomeFailed) && counts[sycamorevane.OutcomeFailed] > 0 {
					return true
				}
			}
		}
	}
	return false
}

// countAnswers counts what the servers themselves answered, without calls that a full or lost server has not
// processed.
func (e *evaluation) countAnswers(cell *encoder.EvidenceCell) {
	var counts answerCounts
	for k, n := range cell.GetCounts() {
		switch sycamorevane.OutcomeKind(k) {
		case sycamorevane.OutcomeFailed:
			counts.failures[sideOf(cell)] += float64(n)
			counts.answers[sideOf(cell)] += float64(n)
		case sycamorevane.OutcomeOK:
			counts.answers[sideOf(cell)] += float64(n)
		}
	}
	e.answers = e.answers.plus(counts)
	e.addToScores(cell.GetRoute(), counts)
}

// addToScores updates the scores of the cell's route and of the service.
func (e *evaluation) addToScores(route string, counts answerCounts) {
	if counts.answers[1] == 0 {
		return
	}
	if e.routeScores[route] > 0 || len(e.routeScores) <= maxRoutes {
		e.routeScores[route] = failureScore(e.routeScores[route], counts, e.oldRouteErrorRate(route))
	}
	e.score = failureScore(e.score, counts, e.oldErrorRate())
}

// oldErrorRate is the error rate of the old version: that of the current window or that over many windows, whichever is
// higher.
func (e *evaluation) oldErrorRate() float64 {
	rate, bad, calls := e.all.errorRate(), 0.0, 0.0
	for _, w := range e.window {
		bad += w.bad[0]
		calls += w.calls[0]
	}
	return max(rate, smoothedRate(bad, calls, rate))
}

// oldRouteErrorRate is the same for one route.
func (e *evaluation) oldRouteErrorRate(route string) float64 {
	rate := float64(minErrorRate)
	if c := e.routes[route]; c != nil {
		rate = c.errorRate()
	}
	if w := e.window[route]; w != nil {
		rate = max(rate, smoothedRate(w.bad[0], w.calls[0], rate))
	}
	return rate
}

// obviousFailure returns the reason to revert the rollout when so many answers of the new version are failures that no
// test of whole windows is needed. The comparison of all outcomes can be blurred by timeouts on both sides while servers
// are full.
func (e *evaluation) obviousFailure(r sycamorevane.Rollout) (string, bool) {
	threshold := alarmScore
	if r.Phase == sycamorevane.RolloutMoving && e.exposure.limit.IsSet() {
		threshold = math.Log(limitedRevertThreshold)
	}
	if e.answers.obviouslyBad() {
		return "new version answers " + percent(e.answers.failureRate(1)) + " of its calls with failures", true
	}
	if e.score >= threshold {
		return "new version now fails many calls", true
	}
	for _, route := range slices.Sorted(maps.Keys(e.routeScores)) {
		if e.routeScores[route] >= threshold {
			return fmt.Sprintf("new version now fails many calls of route %q", route), true
		}
	}
	return "", false
}

// Alarms reverts rollouts whose new version obviously fails. It is called between two decisions, when entries have
// reported failures.
func (c *Core) Alarms(in Input) map[string]Step {
	steps := make(map[string]Step)
	for service, r := range in.Rollouts {
		e := c.evaluations[service]
		if e == nil || e.id != r.ID || r.Phase != sycamorevane.RolloutTrial && r.Phase != sycamorevane.RolloutMoving {
			continue
		}
		if reason, bad := e.obviousFailure(r); bad {
			steps[service] = revert(unchanged(r), reason)
		}
	}
	return steps
}
