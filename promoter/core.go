package promoter

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// initialShare is the largest share until the initial evidence is complete.
	initialShare = 0.01
	// shortRollout is the allowed time below which a rollout starts at its ceiling.
	shortRollout = 20 * time.Second
	// initialCalls and initialWindows are the initial evidence: calls of the new version, and windows with such
	// calls. After reducedFraction of the allowed time reducedCalls and reducedWindows suffice.
	initialCalls    = 8
	initialWindows  = 3
	reducedCalls    = 3
	reducedWindows  = 2
	reducedFraction = 0.1
	// minStepCalls and normalStepTime are the calls of the new version and the time that a share needs before the
	// next step. When the allowed time is short, a share must last stepTimeFraction of it, but at least
	// shortStepTime.
	minStepCalls     = 30
	normalStepTime   = 2 * time.Second
	stepTimeFraction = 0.05
	shortStepTime    = time.Second
	// decisionJitter is the time by which a decision, or the commit of the one before, may be off the interval.
	decisionJitter = 100 * time.Millisecond
	// commitDelay is the time from a step until its first evidence arrives.
	commitDelay = time.Second
	// plannedEndFraction is the fraction of the allowed time in which the new version is planned to take over. The
	// target is 0.8; the rest is reserve for disturbances.
	plannedEndFraction = 0.6
	// latePlannedEndFraction applies when the share starts to grow after lateStartFraction of the allowed time.
	latePlannedEndFraction = 0.72
	lateStartFraction      = 0.4
	// rareRouteShare is the share of the service's calls below which a route counts as rare.
	rareRouteShare = 0.05
	// minReferenceRatio is the least part that a rare route must have of the old version's calls on rare routes, relative to
	// its part of the new version's, to belong to their group. Otherwise the group would compare different routes.
	minReferenceRatio = 0.5
	// pooledRoutesFraction is the fraction of the allowed time after which rare routes are accepted as a group.
	pooledRoutesFraction = 0.25
	// weakCriterionFraction is the fraction of the allowed time after which the weak criterion for the service as a
	// whole suffices. Regressions that the criterion does not rule out are found by the comparison at larger shares.
	weakCriterionFraction = 0.35
	// skipRoutesFraction is the fraction of the allowed time after which the last step no longer needs evidence on
	// each route.
	skipRoutesFraction = 0.7
	// minRouteCalls is the number of calls on each route that the last step needs.
	minRouteCalls = 10
	// warmServerShare is the share of a version's servers that must be warm to end its cold start, during which slow
	// and shed calls do not count. A cold start also ends at shares above maxColdStartShare, and after
	// coldStartCallsPerServer calls per server and the shorter of coldStartFraction of the allowed time and
	// maxColdStart. Otherwise a version that stays slow would not be detected.
	warmServerShare         = 0.8
	maxColdStartShare       = 0.2
	coldStartCallsPerServer = 40
	coldStartFraction       = 0.4
	maxColdStart            = 30 * time.Second
	// onlyShedCalls is the number of shed calls without any answer that counts as failure even during a cold start.
	onlyShedCalls = 6
	// failureShedShare is the share of shed calls, over about ten windows, from which shed calls count as failures.
	failureShedShare = 0.25
	shedDecay        = 0.9
	// maxSlotUse is the share of the new version's usable slots that may be filled.
	maxSlotUse = 0.8
	// noServersGrace is how long a version may be without servers before its share is set to zero. The version is
	// rejected when that happens for the maxServerLosses-th time.
	noServersGrace  = 2 * time.Second
	maxServerLosses = 3
	// minRevertTime and maxRevertTime bound the time between the share of zero and the end of a revert.
	minRevertTime = 2 * time.Second
	maxRevertTime = 30 * time.Second
	// minWatchPeriod and maxWatchPeriod bound the watch period after the new version has taken over.
	minWatchPeriod = 30 * time.Second
	maxWatchPeriod = 10 * time.Minute
	// waitingAtRiskFraction is the fraction of the allowed time after which the deadline of a rollout that still
	// waits for servers is at risk.
	waitingAtRiskFraction = 0.25
	// lastTrialTime is the time before the deadline that a rollout needs to leave the trial, and a revert to end.
	lastTrialTime = 2 * (shortStepTime + commitDelay)
	// maxUnacceptedSteps is the number of decisions in a row for which a version that has got the calls that a bad version
	// may get can do without meeting the weak criterion.
	maxUnacceptedSteps = 2
	// maxEntryReportAge is the number of decisions for which an entry's last report counts.
	maxEntryReportAge = 4
	// baselineShare is the smallest share of the old version at which its latency counts as the baseline for full
	// load.
	baselineShare = 0.9
)

var (
	// shareLevels are the shares that follow the trial. coarseShareLevels and shortShareLevels are used when little
	// time is left.
	shareLevels       = []float64{0.1, 0.2, 0.35, 0.5, 0.7, 0.9}
	coarseShareLevels = []float64{0.25, 0.6, 0.9}
	shortShareLevels  = []float64{0.3, 0.9}
)

// VersionCapacity describes the servers of one version.
type VersionCapacity struct {
	// Servers is the number of announced servers that may get requests, Warm how many of them are warm.
	Servers int
	Warm    int
	// Slots is the number of slots that are usable now, given the ramp limits of cold servers.
	Slots int
	// Running is the number of running requests.
	Running int
}

// Capacity describes the servers of a service under rollout.
type Capacity struct {
	Old VersionCapacity
	New VersionCapacity
}

// Input is the input of one decision of a Core.
type Input struct {
	// Now is the wall-clock time. Its absolute value is compared only with the times of the rollouts.
	Now time.Time
	// Rollouts are the committed rollouts by service.
	Rollouts map[string]sycamorevane.Rollout
	// Ceilings are the configured ceilings by service; 5% when absent.
	Ceilings map[string]float64
	// Capacity is by service. While an entry is missing, nothing is known about the servers and the share does not
	// change.
	Capacity map[string]Capacity
	// Exposure applies to each rollout; zero for no limit.
	Exposure ExposureLimit
}

// Step is one decision. It replaces phase, share, reason and deadline risk of the rollout.
type Step struct {
	// ID and FromPhase name the rollout and the phase in which the decision was made. A step must not be applied when
	// the rollout has changed its phase since then.
	ID        string
	FromPhase sycamorevane.RolloutPhase
	Phase     sycamorevane.RolloutPhase
	// FromShare is the share at which the decision was made. A step that raises the share must not be applied at
	// another share: it may come from a former leader and be committed after steps of the current leader.
	FromShare      float64
	Share          float64
	Reason         string
	DeadlineAtRisk bool
}

// Raises reports whether the step raises the share of the new version.
func (s Step) Raises() bool { return s.Share > s.FromShare }

// Apply returns the rollout after the step. It returns false when the step no longer fits the rollout, for example
// because an operator has rolled it back in the meantime.
func (s Step) Apply(r sycamorevane.Rollout, at time.Time) (sycamorevane.Rollout, bool) {
	if s.ID != r.ID || s.FromPhase != r.Phase || s.Raises() && s.FromShare != r.Share {
		return r, false
	}
	if r.Phase != s.Phase || r.Share != s.Share {
		r.ChangedAt = at.UnixMilli()
	}
	r.Phase = s.Phase
	r.Share = s.Share
	r.Reason = s.Reason
	r.DeadlineAtRisk = s.DeadlineAtRisk
	return r, true
}

// WatchPeriod is how long a version is watched after it has taken over: half of the allowed time, within bounds.
func WatchPeriod(r sycamorevane.Rollout) time.Duration {
	return min(max(allowedTime(r)/2, minWatchPeriod), maxWatchPeriod)
}

// MinEvidenceTime is the shortest time that a rollout can be allowed, given the service's calls per second and its
// ceiling. A request for a shorter time is to be refused.
func MinEvidenceTime(rate, ceiling float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	initial := max(reducedCalls/(rate*min(initialShare, ceiling)), reducedWindows)
	acceptance := criteria[weakCriterion].acceptanceCalls() / (rate * ceiling)
	steps := float64(len(shortShareLevels)+1) * (shortStepTime + commitDelay).Seconds()
	return time.Duration((initial + acceptance + steps + commitDelay.Seconds()) / 0.8 * float64(time.Second))
}

func allowedTime(r sycamorevane.Rollout) time.Duration {
	return time.Duration(r.Deadline-r.StartedAt) * time.Millisecond
}

// Core decides on all rollouts. It does no I/O: time and messages are passed in. Evidence is kept in memory only, so
// a new leader starts with no evidence at the committed share.
type Core struct {
	evaluations map[string]*evaluation
	// counted holds the last counted window of each entry.
	counted map[string]windowID
}

// windowID identifies the last counted window of an entry.
type windowID struct {
	incarnation uint64
	sequence    uint64
}

// evaluation is the evidence on one rollout.
type evaluation struct {
	id string
	// window collects, by route, the counts that arrived since the last decision.
	window map[string]*callCounts
	routes map[string]*comparison
	// all compares the service as a whole, rare all routes with few calls together.
	all  *comparison
	rare *comparison

	phase          sycamorevane.RolloutPhase
	share          float64
	unchangedSince time.Time
	// callsAtShare and windowsAtShare count the calls of the new version, and the windows with such calls, since
	// unchangedSince.
	callsAtShare   float64
	windowsAtShare int
	// okCalls counts the calls of the new version that were not shed, shedCalls the shed ones, both decayed.
	okCalls, shedCalls float64
	anyAnswered        bool
	// answers counts the answers since the start.
	answers answerCounts
	// score and routeScores are the failure scores of all calls and by route.
	score       float64
	routeScores map[string]float64
	exposure    exposure
	// coldTime is how long most servers of the new version have been cold.
	coldTime    time.Duration
	isColdStart bool
	// startedLate is set when the trial has lasted beyond lateStartFraction of the allowed time.
	startedLate    bool
	warmedUp       bool
	lastDecision   time.Time
	noServersSince time.Time
	serverLosses   int
	// unacceptedSteps is the number of decisions in a row without the weak criterion.
	unacceptedSteps     int
	windowsWithoutCalls int
	// entries holds the entries that have reported recently.
	entries map[string]entryReport
}

// entryReport is the last report of an entry; age counts the decisions since then.
type entryReport struct {
	blocked bool
	age     int
}

// NewCore returns a Core without evidence.
func NewCore() *Core {
	return &Core{evaluations: make(map[string]*evaluation), counted: make(map[string]windowID)}
}

// Add counts those windows of an entry that have not been counted yet.
func (c *Core) Add(from string, e *encoder.Evidence) *encoder.EvidenceAck {
	last := c.counted[from]
	if last.incarnation != e.GetBoot() {
		last = windowID{incarnation: e.GetBoot()}
	}
	for _, w := range e.GetWindows() {
		if w.GetSequence() <= last.sequence {
			continue
		}
		last.sequence = w.GetSequence()
		for _, m := range w.GetMoves() {
			c.addMove(from, m)
		}
	}
	c.counted[from] = last
	return &encoder.EvidenceAck{Boot: last.incarnation, Sequence: last.sequence}
}

func (c *Core) addMove(from string, m *encoder.EvidenceMove) {
	e := c.evaluations[m.GetService()]
	if e == nil || e.id != m.GetRollout() {
		return
	}
	e.entries[from] = entryReport{blocked: m.GetBlocked()}
	for _, cell := range m.GetCells() {
		e.countAnswers(cell)
		counts := e.window[cell.GetRoute()]
		if counts == nil {
			if len(e.window) >= maxRoutes+1 {
				continue
			}
			counts = newCallCounts()
			e.window[cell.GetRoute()] = counts
		}
		counts.count(cell)
	}
}

// sideOf is 1 for counts of the new version and 0 for counts of the old version.
func sideOf(cell *encoder.EvidenceCell) int {
	if cell.GetTo() {
		return 1
	}
	return 0
}

func (c *callCounts) count(cell *encoder.EvidenceCell) {
	side := sideOf(cell)
	for k, n := range cell.GetCounts() {
		kind := sycamorevane.OutcomeKind(k)
		switch {
		case kind == sycamorevane.OutcomeOK:
			c.ok[side] += float64(n)
		case kind == sycamorevane.OutcomeShed:
			c.shed[side] += float64(n)
		case isFailure(kind):
			c.bad[side] += float64(n)
		}
	}
	c.calls[side] = c.ok[side] + c.bad[side]
	unpackBins(cell.GetBins(), c.bins[side])
}

// Step decides on each rollout and returns the changes by service. It is called about once a second.
func (c *Core) Step(in Input) map[string]Step {
	steps := make(map[string]Step)
	for service, r := range in.Rollouts {
		e := c.evaluations[service]
		if e == nil || e.id != r.ID {
			e = newEvaluation(r.ID)
			c.evaluations[service] = e
		}
		capacity, known := in.Capacity[service]
		ceiling, ok := in.Ceilings[service]
		if !ok || ceiling <= 0 {
			ceiling = 0.05
		}
		e.exposure.limit = in.Exposure
		s := e.step(in.Now, r, capacity, known, ceiling)
		if s.Phase != r.Phase || s.Share != r.Share || s.Reason != r.Reason || s.DeadlineAtRisk != r.DeadlineAtRisk {
			steps[service] = s
		}
	}
	for service := range c.evaluations {
		if _, ok := in.Rollouts[service]; !ok {
			delete(c.evaluations, service)
		}
	}
	return steps
}

func newEvaluation(id string) *evaluation {
	return &evaluation{
		id: id, window: make(map[string]*callCounts), routes: make(map[string]*comparison),
		routeScores: make(map[string]float64),
		entries:     make(map[string]entryReport),
		all:         newComparison(), rare: newComparison(),
	}
}

// unchanged is the step that leaves the rollout as it is.
func unchanged(r sycamorevane.Rollout) Step {
	return Step{
		ID: r.ID, FromPhase: r.Phase, Phase: r.Phase, FromShare: r.Share, Share: r.Share, Reason: r.Reason,
		DeadlineAtRisk: r.DeadlineAtRisk,
	}
}

// step makes one decision on the rollout.
func (e *evaluation) step(now time.Time, r sycamorevane.Rollout, capacity Capacity, known bool, ceiling float64) Step {
	e.recordExposure(now, r, ceiling)
	e.recordChange(now, r)
	e.expireEntries()
	e.updateColdStart(now, r, capacity, known)
	e.compareWindow(r, capacity)
	s := unchanged(r)
	switch r.Phase {
	case sycamorevane.RolloutReverted:
		return s
	case sycamorevane.RolloutReverting:
		return e.finishRevert(now, r, s)
	case sycamorevane.RolloutDone:
		if r.Irreversible {
			return s // The old servers have stopped.
		}
		return e.watch(now, r, capacity, known, s)
	case sycamorevane.RolloutWaiting, sycamorevane.RolloutTrial, sycamorevane.RolloutMoving:
	}
	if reason, bad := e.revertReason(); bad {
		return revert(s, reason)
	}
	if reason, bad := e.obviousFailure(r); bad {
		return revert(s, reason)
	}
	if now.UnixMilli() >= r.Deadline {
		return revert(s, "deadline passed at share "+percent(r.Share))
	}
	if r.Phase == sycamorevane.RolloutTrial && now.Add(lastTrialTime).UnixMilli() > r.Deadline {
		return revert(s, "new version has not shown itself good in time")
	}
	s = e.advance(now, r, capacity, known, ceiling, s)
	if s.Phase != sycamorevane.RolloutDone && s.Phase != sycamorevane.RolloutReverting {
		s.DeadlineAtRisk = r.DeadlineAtRisk || e.deadlineAtRisk(now, r, ceiling)
	}
	return s
}

// recordChange records changes of the committed rollout.
func (e *evaluation) recordChange(now time.Time, r sycamorevane.Rollout) {
	if e.phase == r.Phase && e.share == r.Share && !e.unchangedSince.IsZero() {
		return
	}
	e.phase = r.Phase
	e.share = r.Share
	e.unchangedSince = now
	e.callsAtShare = 0
	e.windowsAtShare = 0
	e.windowsWithoutCalls = 0
}

func (e *evaluation) updateColdStart(now time.Time, r sycamorevane.Rollout, capacity Capacity, known bool) {
	e.isColdStart = known && e.inColdStart(r, capacity.New)
	if e.isColdStart && !e.lastDecision.IsZero() {
		e.coldTime += now.Sub(e.lastDecision)
	}
	e.lastDecision = now
}

// inColdStart reports whether the version is in its first cold start. Servers that become cold later do not count,
// since the cause may be that the version is slow.
func (e *evaluation) inColdStart(r sycamorevane.Rollout, c VersionCapacity) bool {
	if r.Share == 0 || c.Servers == 0 {
		return false
	}
	if r.Share > maxColdStartShare || float64(c.Warm) >= warmServerShare*float64(c.Servers) {
		e.warmedUp = true
	}
	limit := min(time.Duration(coldStartFraction*float64(allowedTime(r))), maxColdStart)
	return !e.warmedUp && (e.coldTime < limit || e.all.newCalls < float64(coldStartCallsPerServer*c.Servers))
}

// compareWindow compares the counts of the window and clears it.
func (e *evaluation) compareWindow(r sycamorevane.Rollout, capacity Capacity) {
	total := newCallCounts()
	cold := e.isColdStart
	cond := conditions{
		cold:          cold,
		fullLoad:      1-r.Share >= baselineShare && r.Phase != sycamorevane.RolloutDone,
		belowFullLoad: 1-r.Share < baselineShare || r.Phase == sycamorevane.RolloutDone,
		servers:       capacity.New.Servers,
		oldErrorRate:  e.all.errorRate(),
	}
	countShed := e.shedCountsAsFailure(cold)
	for _, route := range slices.Sorted(maps.Keys(e.window)) {
		counts := e.window[route]
		if countShed {
			counts.bad[1] += counts.shed[1]
			counts.calls[1] += counts.shed[1]
			counts.bad[0] += counts.shed[0]
			counts.calls[0] += counts.shed[0]
		}
		group := e.routes[route]
		if group == nil {
			group = newComparison()
			e.routes[route] = group
		}
		group.add(counts, cond)
		total.add(counts)
	}
	rare, expectedErrors := e.rareCounts(cond)
	rareCond := cond
	if rare.calls[1] > 0 {
		rareCond.minErrorRate = expectedErrors / rare.calls[1]
	}
	e.rare.add(rare, rareCond)
	e.all.add(total, cond)
	e.callsAtShare += total.calls[1]
	if total.calls[1] > 0 {
		e.windowsAtShare++
		e.windowsWithoutCalls = 0
	} else {
		e.windowsWithoutCalls++
	}
	clear(e.window)
}

// rareCounts adds up the window's counts of the rare routes that can be compared as a group, and the errors that are expected
// of a version that is not worse.
func (e *evaluation) rareCounts(cond conditions) (rare *callCounts, expectedErrors float64) {
	var recentCalls [2]float64
	for _, route := range slices.Sorted(maps.Keys(e.routes)) {
		if group := e.routes[route]; e.isRare(group) {
			recentCalls[0] += group.recentCalls[0]
			recentCalls[1] += group.recentCalls[1]
		}
	}
	rare = newCallCounts()
	for _, route := range slices.Sorted(maps.Keys(e.window)) {
		group, counts := e.routes[route], e.window[route]
		if !e.isRare(group) || group.recentCalls[0]*recentCalls[1] < minReferenceRatio*group.recentCalls[1]*recentCalls[0] {
			continue
		}
		rare.add(counts)
		expectedErrors += counts.calls[1] * group.expectedErrorRate(counts, cond)
	}
	return rare, expectedErrors
}

func (e *evaluation) isRare(group *comparison) bool {
	return group.allRecentCalls() < rareRouteShare*e.all.allRecentCalls()
}

// shedCountsAsFailure reports whether shed calls count as failures. A cold server sheds some calls, which then run on
// other servers. But a version that sheds a large share of its calls, or has answered none, cannot take over.
func (e *evaluation) shedCountsAsFailure(cold bool) bool {
	e.shedCalls *= shedDecay
	e.okCalls *= shedDecay
	for _, counts := range e.window {
		e.okCalls += counts.calls[1]
		e.shedCalls += counts.shed[1]
		e.anyAnswered = e.anyAnswered || counts.calls[1] > 0
	}
	if cold {
		return !e.anyAnswered && e.shedCalls >= onlyShedCalls
	}
	return e.shedCalls >= failureShedShare*(e.okCalls+e.shedCalls)
}

// revertReason returns the reason to revert the rollout, if there is one.
func (e *evaluation) revertReason() (string, bool) {
	evidence, reason := e.strongestEvidence()
	if evidence >= revertThreshold {
		return reason, true
	}
	blocked := 0
	for _, report := range e.entries {
		if report.blocked {
			blocked++
		}
	}
	if evidence >= blockedRevertThreshold && 2*blocked >= len(e.entries) && blocked > 0 {
		return fmt.Sprintf("%s, blocked by %d of %d entries", reason, blocked, len(e.entries)), true
	}
	return "", false
}

// expireEntries removes entries that have not reported for a while.
func (e *evaluation) expireEntries() {
	for name, report := range e.entries {
		report.age++
		e.entries[name] = report
		if report.age > maxEntryReportAge {
			delete(e.entries, name)
		}
	}
}

// strongestEvidence returns the strongest evidence against the new version over all groups of calls.
func (e *evaluation) strongestEvidence() (float64, string) {
	evidence, what := e.all.strongestEvidence()
	reason := what + " of all calls"
	if v, what := e.rare.strongestEvidence(); v > evidence {
		evidence, reason = v, what+" of rare routes"
	}
	for _, route := range slices.Sorted(maps.Keys(e.routes)) {
		group := e.routes[route]
		if v, what := group.strongestEvidence(); v > evidence {
			evidence, reason = v, fmt.Sprintf("%s of route %q", what, route)
		}
	}
	return evidence, "new version is worse: " + reason
}

// limitedEvidence returns the strongest of the evidence that reverts a rollout at limitedRevertThreshold: errors of any group of
// calls, and the latency of all calls.
func (e *evaluation) limitedEvidence() (float64, string) {
	evidence, what := e.all.strongestEvidence()
	for _, group := range e.routes {
		if group.errorEvidence > evidence {
			evidence, what = group.errorEvidence, "errors"
		}
	}
	if e.rare.errorEvidence > evidence {
		evidence, what = e.rare.errorEvidence, "errors"
	}
	return evidence, "new version is worse: " + what
}

// accepted reports whether the evidence accepts the version as good, as a whole and on each route. After
// pooledRoutesFraction of the allowed time the routes with few calls are accepted as a group; after
// weakCriterionFraction the service as a whole decides.
func (e *evaluation) accepted(now time.Time, r sycamorevane.Rollout) bool {
	if elapsed(now, r) >= weakCriterionFraction {
		return e.all.meets(weakCriterion)
	}
	if !e.all.meets(strongCriterion) {
		return false
	}
	for _, group := range e.routes {
		if group.meets(routeCriterion) {
			continue
		}
		if !e.isRare(group) || elapsed(now, r) < pooledRoutesFraction || !e.rare.meets(routeCriterion) {
			return false
		}
	}
	return true
}

// hasInitialEvidence reports whether the initial evidence is complete.
func (e *evaluation) hasInitialEvidence(now time.Time, r sycamorevane.Rollout) bool {
	if elapsed(now, r) >= reducedFraction {
		return e.callsAtShare >= reducedCalls && e.windowsAtShare >= reducedWindows
	}
	return e.callsAtShare >= initialCalls && e.windowsAtShare >= initialWindows
}

// routesCovered reports whether the evidence on single routes allows the last step. Rare routes must be shown to be good as a
// group. A version that has got the calls that a bad version may get is not made to wait for calls on each of them.
func (e *evaluation) routesCovered(now time.Time, r sycamorevane.Rollout) bool {
	if elapsed(now, r) >= skipRoutesFraction {
		return true
	}
	if e.rare.newCalls > 0 && !e.rare.meets(routeCriterion) {
		return false
	}
	isGroupCovered := e.exposure.spent(r) && e.rare.newCalls >= minRouteCalls
	for _, group := range e.routes {
		if group.newCalls < minRouteCalls && !(isGroupCovered && e.isRare(group)) {
			return false
		}
	}
	return true
}

// elapsed is the fraction of the allowed time that has passed.
func elapsed(now time.Time, r sycamorevane.Rollout) float64 {
	return float64(now.UnixMilli()-r.StartedAt) / float64(max(r.Deadline-r.StartedAt, 1))
}

// trialStartShare is the share until the initial evidence is complete. A rollout with little time starts at the
// ceiling: at 1% of a few dozen calls a second, the initial evidence alone would take a third of the time.
func trialStartShare(r sycamorevane.Rollout, ceiling float64) float64 {
	if allowedTime(r) < shortRollout {
		return ceiling
	}
	return min(initialShare, ceiling)
}

// advance decides the next step of a rollout that has no reason to be reverted.
func (e *evaluation) advance(now time.Time, r sycamorevane.Rollout, capacity Capacity, known bool, ceiling float64, s Step) Step {
	if !known {
		return s
	}
	if s, stop := e.handleMissingServers(now, capacity, ceiling, s); stop {
		return s
	}
	switch r.Phase {
	case sycamorevane.RolloutWaiting:
		s.Phase = sycamorevane.RolloutTrial
		s.Share = trialStartShare(r, ceiling)
		s.Reason = "first calls of the new version"
	case sycamorevane.RolloutTrial:
		s = e.decideTrial(now, r, ceiling, s)
	case sycamorevane.RolloutMoving:
		s = e.decideMoving(now, r, s)
	case sycamorevane.RolloutDone, sycamorevane.RolloutReverting, sycamorevane.RolloutReverted:
	}
	return e.limitByCapacity(r, capacity, ceiling, e.exposure.limitStep(r, s))
}

// handleMissingServers handles a version without servers: its share is zero until the servers are back, and a version
// that repeatedly loses all its servers is rejected. The phase does not change, since a rollout never returns to the
// waiting phase. It reports whether the decision is final.
func (e *evaluation) handleMissingServers(now time.Time, capacity Capacity, ceiling float64, s Step) (Step, bool) {
	if capacity.New.Servers > 0 {
		e.noServersSince = time.Time{}
		if s.Phase != sycamorevane.RolloutWaiting && s.Share == 0 {
			s.Share = min(initialShare, ceiling)
			s.Reason = "servers of the new version are back"
			return s, true
		}
		return s, false
	}
	if s.Phase == sycamorevane.RolloutWaiting {
		s.Reason = "no servers of the new version"
		return s, true
	}
	if s.Share == 0 {
		return s, true
	}
	if e.noServersSince.IsZero() {
		e.noServersSince = now
	}
	if now.Sub(e.noServersSince) < noServersGrace {
		return s, true
	}
	e.serverLosses++
	if e.serverLosses >= maxServerLosses {
		return revert(s, "servers of the new version keep stopping"), true
	}
	s.Share = 0
	s.Reason = "servers of the new version have stopped"
	return s, true
}

func (e *evaluation) decideTrial(now time.Time, r sycamorevane.Rollout, ceiling float64, s Step) Step {
	evidence, _ := e.strongestEvidence()
	if evidence >= holdThreshold {
		s.Reason = "held: evidence against the new version"
		return s
	}
	if r.Share < ceiling && e.hasInitialEvidence(now, r) && evidence < initialHoldThreshold {
		s.Share = ceiling
		s.Reason = "first evidence is good"
		return s
	}
	if e.accepted(now, r) && e.stepTimeElapsed(now, r) {
		s.Phase = sycamorevane.RolloutMoving
		s.Share = max(e.nextShare(now, r), r.Share)
		s.Reason = "new version has shown itself good"
	}
	return s
}

func (e *evaluation) decideMoving(now time.Time, r sycamorevane.Rollout, s Step) Step {
	if e.exposure.limit.IsSet() {
		if evidence, reason := e.limitedEvidence(); evidence >= limitedRevertThreshold {
			return revert(s, reason)
		}
	}
	if evidence, _ := e.strongestEvidence(); evidence >= holdThreshold {
		s.Reason = "held: evidence against the new version"
		return s
	}
	if !e.stepTimeElapsed(now, r) || e.callsAtShare < minStepCalls {
		return s
	}
	if !e.all.meets(weakCriterion) {
		return e.holdUnaccepted(r, s)
	}
	e.unacceptedSteps = 0
	if r.Share < shareLevels[len(shareLevels)-1] {
		s.Share = e.nextShare(now, r)
		s.Reason = "evidence is good"
		return s
	}
	if e.routesCovered(now, r) {
		s.Phase = sycamorevane.RolloutDone
		s.Share = 1
		s.DeadlineAtRisk = false
		s.Reason = "new version has taken over"
	}
	return s
}

// holdUnaccepted keeps the share while the version is not shown to be good at it, for as long as a bad version may get
// calls.
func (e *evaluation) holdUnaccepted(r sycamorevane.Rollout, s Step) Step {
	e.unacceptedSteps++
	if e.unacceptedSteps >= maxUnacceptedSteps && e.exposure.spent(r) {
		return revert(s, "new version is not shown to be good at this share, and it has got the calls that a bad version may get")
	}
	s.Reason = "held: not shown to be good at this share"
	return s
}

// stepTimeElapsed reports whether the current share has lasted for its part of the planned time. With a limit on the
// calls of a bad version the shares after the trial last no longer than they must.
func (e *evaluation) stepTimeElapsed(now time.Time, r sycamorevane.Rollout) bool {
	if e.exposure.limit.IsSet() && r.Phase == sycamorevane.RolloutMoving {
		least := minStepTime(r)
		if r.Share >= shareLevels[len(shareLevels)-1] {
			least += commitDelay
		}
		return e.timeAtShare(now, r) >= least-decisionJitter
	}
	remaining := e.timeToPlannedEnd(now, r)
	steps := 1
	for _, l := range shareLevels {
		if l > r.Share {
			steps++
		}
	}
	stepTime := max(minStepTime(r), (remaining+now.Sub(e.unchangedSince))/time.Duration(steps))
	return now.Sub(e.unchangedSince) >= stepTime
}

// timeAtShare is the time since the current share was committed, at most one interval before it was seen.
func (e *evaluation) timeAtShare(now time.Time, r sycamorevane.Rollout) time.Duration {
	beforeSeen := e.unchangedSince.Sub(time.UnixMilli(r.ChangedAt))
	return now.Sub(e.unchangedSince) + min(max(beforeSeen, 0), decisionInterval)
}

// timeToPlannedEnd is the time left to the planned end. A rollout whose share starts to grow late is planned to end
// later, since its steps would otherwise be too short to show regressions.
func (e *evaluation) timeToPlannedEnd(now time.Time, r sycamorevane.Rollout) time.Duration {
	if r.Phase == sycamorevane.RolloutTrial && elapsed(now, r) > lateStartFraction {
		e.startedLate = true
	}
	end := plannedEndFraction
	if e.startedLate {
		end = latePlannedEndFraction
	}
	return time.Duration((end - elapsed(now, r)) * float64(allowedTime(r)))
}

// minStepTime is the shortest time that a share must last.
func minStepTime(r sycamorevane.Rollout) time.Duration {
	return min(max(time.Duration(stepTimeFraction*float64(allowedTime(r))), shortStepTime), normalStepTime)
}

// nextShare returns the share of the next step.
func (e *evaluation) nextShare(now time.Time, r sycamorevane.Rollout) float64 {
	remaining := e.timeToPlannedEnd(now, r)
	stepTime := minStepTime(r) + commitDelay
	levels := shareLevels
	switch {
	case remaining < time.Duration(len(coarseShareLevels))*stepTime:
		levels = shortShareLevels
	case remaining < time.Duration(len(shareLevels))*stepTime:
		levels = coarseShareLevels
	}
	for _, l := range levels {
		if l > r.Share {
			return l
		}
	}
	return levels[len(levels)-1]
}

// limitByCapacity limits the share to what the new version's usable slots can serve.
func (e *evaluation) limitByCapacity(r sycamorevane.Rollout, capacity Capacity, ceiling float64, s Step) Step {
	running := float64(capacity.Old.Running + capacity.New.Running)
	if running == 0 || (s.Phase != sycamorevane.RolloutMoving && s.Phase != sycamorevane.RolloutDone) {
		return s
	}
	maxShare := maxSlotUse * float64(capacity.New.Slots) / running
	// A version with at least as many slots as the old one may take over at any load.
	if capacity.Old.Slots > 0 && capacity.New.Slots >= capacity.Old.Slots {
		maxShare = max(maxShare, 1)
	}
	if s.Phase == sycamorevane.RolloutDone && maxShare < 1 {
		s.Phase = r.Phase
		s.Share = r.Share
	}
	if s.Phase == sycamorevane.RolloutDone || s.Share <= maxShare {
		return s
	}
	// A falling limit lowers the share only when the slots themselves no longer suffice. Otherwise noise in the
	// number of running requests would move the share back and forth.
	minShare := min(r.Share, maxShare/maxSlotUse)
	s.Share = max(min(s.Share, maxShare), minShare, min(initialShare, ceiling))
	s.Reason = "held by the capacity of the new version"
	return s
}

// watch reverts the rollout when a regression shows after the new version has taken over.
func (e *evaluation) watch(now time.Time, r sycamorevane.Rollout, capacity Capacity, known bool, s Step) Step {
	if now.UnixMilli()-r.ChangedAt > WatchPeriod(r).Milliseconds() || !known || capacity.Old.Servers == 0 {
		return s
	}
	if reason, bad := e.revertReason(); bad {
		return revert(s, reason+", after it took over")
	}
	return s
}

func (e *evaluation) finishRevert(now time.Time, r sycamorevane.Rollout, s Step) Step {
	sinceChange := e.timeAtShare(now, r) + decisionJitter
	if sinceChange >= maxRevertTime || sinceChange >= minRevertTime && e.windowsWithoutCalls > 0 {
		s.Phase = sycamorevane.RolloutReverted
	}
	s.Share = 0
	return s
}

// deadlineAtRisk reports whether the rollout is not expected to meet its deadline.
func (e *evaluation) deadlineAtRisk(now time.Time, r sycamorevane.Rollout, ceiling float64) bool {
	remaining := time.Duration(r.Deadline-now.UnixMilli()) * time.Millisecond
	if r.Phase == sycamorevane.RolloutWaiting {
		return elapsed(now, r) >= waitingAtRiskFraction
	}
	return remaining < e.minRemainingTime(now, r, ceiling)
}

// minRemainingTime estimates the shortest time until the new version can take over, from the calls seen at the
// current share.
func (e *evaluation) minRemainingTime(now time.Time, r sycamorevane.Rollout, ceiling float64) time.Duration {
	steps := 1
	for _, l := range shortShareLevels {
		if l > r.Share {
			steps++
		}
	}
	remaining := time.Duration(steps) * (shortStepTime + commitDelay)
	sinceChange := now.Sub(e.unchangedSince)
	if r.Phase != sycamorevane.RolloutTrial || sinceChange < 5*time.Second || r.Share <= 0 {
		return remaining
	}
	rate := max(e.callsAtShare, 0.5) / sinceChange.Seconds() / r.Share
	calls := max(criteria[weakCriterion].acceptanceCalls()-e.all.newCalls, 0)
	return remaining + time.Duration(calls/(rate*ceiling)*float64(time.Second))
}

func revert(s Step, reason string) Step {
	s.Phase = sycamorevane.RolloutReverting
	s.Share = 0
	s.Reason = reason
	return s
}

func percent(share float64) string { return fmt.Sprintf("%.0f%%", share*100) }

// Evidence is the state of the comparison of one rollout, for the status view.
type Evidence struct {
	// Strongest is the strongest evidence that the new version is worse. The rollout is reverted when it reaches
	// Threshold.
	Strongest   float64
	Threshold   float64
	Description string
	// Acceptance is the log likelihood ratio of the weak criterion, which the new version meets at AcceptanceThreshold or
	// below.
	Acceptance          float64
	AcceptanceThreshold float64
	// Used and Left are the calls that the new version has got and may still get if it is bad; Left is 0 without a limit.
	Used     float64
	Left     float64
	NewCalls float64
	Routes   []string
}

// Evidence returns the state of the comparison for a service, and false when there is none.
func (c *Core) Evidence(service string) (Evidence, bool) {
	e := c.evaluations[service]
	if e == nil {
		return Evidence{}, false
	}
	evidence, what := e.strongestEvidence()
	view := Evidence{
		Strongest: min(evidence, math.MaxFloat64), Threshold: revertThreshold, Description: what, NewCalls: e.all.newCalls,
		Acceptance: e.all.acceptance(weakCriterion), AcceptanceThreshold: logBeta,
		Used: e.exposure.used(), Left: e.exposure.lastLeft,
	}
	for route := range e.routes {
		view.Routes = append(view.Routes, route)
	}
	slices.Sort(view.Routes)
	return view, true
}
