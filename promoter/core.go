package promoter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// firstShare is the largest share until the first evidence.
	firstShare = 0.01
	// shortTime is the allowed time below which a rollout begins at its ceiling.
	shortTime = 20 * time.Second
	// firstCalls and firstWindows are the first evidence: calls of the new version, and windows with such calls.
	// After firstPart of the allowed time hastyCalls and hastyWindows suffice.
	firstCalls   = 8
	firstWindows = 3
	hastyCalls   = 3
	hastyWindows = 2
	firstPart    = 0.1
	// stepCalls and stepMin are the evidence and the time that each share must stand. When the allowed time is
	// short it must stand stepPart of it, but at least hastyStep.
	stepCalls = 30
	stepMin   = 2 * time.Second
	stepPart  = 0.05
	hastyStep = time.Second
	// commitTime is how long a step takes until its first evidence arrives.
	commitTime = time.Second
	// planned is the part of the allowed time in which the move is planned to be done. The target is 0.8; the
	// rest is for disturbances.
	planned = 0.6
	// plannedLate applies to a move that begins after lateBegin.
	plannedLate = 0.72
	lateBegin   = 0.4
	// rarePart is the part of the service's calls below which a route is rare.
	rarePart = 0.05
	// trialPart is the part of the allowed time after which rare routes are accepted as a pool.
	trialPart = 0.25
	// weakPart is the part of the allowed time after which the weak proof of the service as a whole suffices. What
	// it does not rule out, the comparison finds at larger shares.
	weakPart = 0.35
	// pooledPart is the part of the allowed time after which the last step no longer waits for single routes.
	pooledPart = 0.7
	// routeCalls is the evidence on a single route that the last step waits for.
	routeCalls = 10
	// warmPart is the part of a version's servers that must be warm to end its cold start, in which slow and shed
	// calls do not count. A cold start ends anyway at shares above coldShare, and after coldCalls calls per server
	// and the shorter of coldPart of the allowed time and coldMax, so that a version that stays slow is found.
	warmPart  = 0.8
	coldShare = 0.2
	coldCalls = 40
	coldPart  = 0.4
	coldMax   = 30 * time.Second
	// onlyShed is how many shed calls without a single answer count as failure even in a cold start.
	onlyShed = 6
	// shedPart is the part of the calls whose shedding counts as failure, over about ten windows.
	shedPart  = 0.25
	shedDecay = 0.9
	// warmUse is the part of the new version's usable slots that a share may fill.
	warmUse = 0.8
	// emptyHold is how long a version may be without servers before the share goes to zero; emptyMax is how
	// often that may happen before the version is rejected.
	emptyHold = 2 * time.Second
	emptyMax  = 3
	// revertHold and revertMax bound the time between the share of zero and the end of a revert.
	revertHold = 2 * time.Second
	revertMax  = 30 * time.Second
	// watchMin and watchMax bound the watch period after the move.
	watchMin = 30 * time.Second
	watchMax = 10 * time.Minute
	// lateWaiting is the part of the allowed time after which a rollout that still waits for servers is late.
	lateWaiting = 0.25
	// plainErrors failures that are plainRate of the new version's answers, and plainRatio times the old version's rate,
	// end a rollout without a test. By chance a good version with the same rate of 1% has 12 failures in 120 answers less
	// than once in 10^8 rollouts.
	plainErrors = 12
	plainRate   = 0.1
	plainRatio  = 3
	// entryAge is how many decisions an entry's last report counts.
	entryAge = 4
	// fullLoad is the smallest share of the old version at which it is the baseline for full load.
	fullLoad = 0.9
)

// levels are the shares of a move; coarseLevels and hastyLevels are used when time is short.
var (
	levels       = []float64{0.1, 0.2, 0.35, 0.5, 0.7, 0.9}
	coarseLevels = []float64{0.25, 0.6, 0.9}
	hastyLevels  = []float64{0.3, 0.9}
)

// VersionCapacity is what is known about the servers of one version.
type VersionCapacity struct {
	// Servers is the number of announced servers that may get work, Warm how many of them are warm.
	Servers int
	Warm    int
	// Slots is the number of slots usable now, with the ramp limits of cold servers.
	Slots int
	// Busy is the number of running requests.
	Busy int
}

// Capacity is what is known about the servers of a service under rollout.
type Capacity struct {
	Old VersionCapacity
	New VersionCapacity
}

// Input is what a Core decides from.
type Input struct {
	// Now is wall-clock time, which is compared with the deadline only.
	Now time.Time
	// Rollouts are the committed rollouts by service.
	Rollouts map[string]sycamorevane.Rollout
	// Ceilings are the configured ceilings by service; 5% when absent.
	Ceilings map[string]float64
	// Capacity is by service; a missing entry means that nothing is known yet and holds the share.
	Capacity map[string]Capacity
}

// Step is one decision. It replaces phase, share, reason and lateness of the rollout.
type Step struct {
	// ID and Was name the rollout and the phase that the decision was made in. A step whose rollout has moved
	// to another phase since then must not be applied.
	ID    string
	Was   sycamorevane.RolloutPhase
	Phase sycamorevane.RolloutPhase
	// Held is the share that the decision was made at. A step that raises the share must not be applied at another one: it
	// may come from a former leader and be committed after steps of the present one.
	Held   float64
	Share  float64
	Reason string
	Late   bool
}

// Raises reports whether the step gives the new version a larger share than it had.
func (s Step) Raises() bool { return s.Share > s.Held }

// Apply returns the rollout after the step, and false when the step does not fit the rollout any more, for
// example because an operator has rolled it back in the meantime.
func (s Step) Apply(r sycamorevane.Rollout, at time.Time) (sycamorevane.Rollout, bool) {
	if s.ID != r.ID || s.Was != r.Phase || s.Raises() && s.Held != r.Share {
		return r, false
	}
	if r.Phase != s.Phase || r.Share != s.Share {
		r.ChangedAt = at.UnixMilli()
	}
	r.Phase = s.Phase
	r.Share = s.Share
	r.Reason = s.Reason
	r.DeadlineAtRisk = s.Late
	return r, true
}

// WatchPeriod is how long a version is watched after it took over: half of the allowed time within bounds.
func WatchPeriod(r sycamorevane.Rollout) time.Duration {
	return min(max(allowed(r)/2, watchMin), watchMax)
}

// Shortest is the shortest time that a rollout can be allowed, from the service's calls per second and
// ceiling. A request with a shorter time is to be refused.
func Shortest(rate, ceiling float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	first := max(hastyCalls/(rate*min(firstShare, ceiling)), hastyWindows)
	good := (-logBeta / proofs[weakProof].errors) / (rate * ceiling)
	steps := float64(len(hastyLevels)+1) * (hastyStep + commitTime).Seconds()
	return time.Duration((first + good + steps + commitTime.Seconds()) / 0.8 * float64(time.Second))
}

func allowed(r sycamorevane.Rollout) time.Duration {
	return time.Duration(r.Deadline-r.StartedAt) * time.Millisecond
}

// Core decides on all rollouts. It is pure: time and messages are arguments. It keeps evidence in memory only,
// so a new leader begins with fresh evidence at the committed share.
type Core struct {
	tracks map[string]*track
	// counted is the last counted window per entry.
	counted map[string]source
}

type source struct {
	boot     uint64
	sequence uint64
}

// track is the evidence on one rollout.
type track struct {
	id string
	// window collects by route what arrived since the last decision.
	window map[string]*tally
	routes map[string]*comparison
	// all compares the service as a whole, rare the routes with few calls together.
	all  *comparison
	rare *comparison

	phase   sycamorevane.RolloutPhase
	share   float64
	since   time.Time
	calls   float64
	windows int
	// ok counts the new version's calls that were not shed, shed the others, both decayed.
	ok, shed float64
	answered bool
	// answers and errors count complete answers and those that are failures, since the start, by side.
	answers, errors [2]float64
	// warming is how long the version had servers that were mostly cold.
	warming time.Duration
	isCold  bool
	// begunLate is set when the trial has lasted longer than lateBegin.
	begunLate bool
	warmed    bool
	last      time.Time
	empty     time.Time
	empties   int
	quiet     int
	// entries are those that reported lately.
	entries map[string]entry
}

// entry is what one entry reported last; age counts the decisions since then.
type entry struct {
	blocked bool
	age     int
}

// NewCore returns a core without evidence.
func NewCore() *Core {
	return &Core{tracks: make(map[string]*track), counted: make(map[string]source)}
}

// Add counts the windows of an entry that were not counted before.
func (c *Core) Add(from string, e *encoder.Evidence) *encoder.EvidenceAck {
	s := c.counted[from]
	if s.boot != e.GetBoot() {
		s = source{boot: e.GetBoot()}
	}
	for _, w := range e.GetWindows() {
		if w.GetSequence() <= s.sequence {
			continue
		}
		s.sequence = w.GetSequence()
		for _, m := range w.GetMoves() {
			c.addMove(from, m)
		}
	}
	c.counted[from] = s
	return &encoder.EvidenceAck{Boot: s.boot, Sequence: s.sequence}
}

func (c *Core) addMove(from string, m *encoder.EvidenceMove) {
	t := c.tracks[m.GetService()]
	if t == nil || t.id != m.GetRollout() {
		return
	}
	t.entries[from] = entry{blocked: m.GetBlocked()}
	for _, l := range m.GetCells() {
		t.countErrors(l)
		g := t.window[l.GetRoute()]
		if g == nil {
			if len(t.window) >= maxRoutes+1 {
				continue
			}
			g = newTally()
			t.window[l.GetRoute()] = g
		}
		g.count(l)
	}
}

// countErrors counts what the servers themselves answered: not what a full or lost server left undone.
func (t *track) countErrors(l *encoder.EvidenceCell) {
	side := sideOf(l)
	for k, n := range l.GetCounts() {
		switch sycamorevane.OutcomeKind(k) {
		case sycamorevane.OutcomeFailed:
			t.errors[side] += float64(n)
			t.answers[side] += float64(n)
		case sycamorevane.OutcomeOK:
			t.answers[side] += float64(n)
		}
	}
}

// plainlyBad reports whether the new version answers so many calls with failures that no test is needed. While servers
// are full, timeouts on both sides blur the comparison of all outcomes.
func (t *track) plainlyBad() bool {
	if t.errors[1] < plainErrors || t.answers[1] == 0 {
		return false
	}
	rate := t.errors[1] / t.answers[1]
	return rate >= plainRate && rate*t.answers[0] >= plainRatio*t.errors[0]
}

// sideOf is 1 for what the new version has shown, else 0.
func sideOf(l *encoder.EvidenceCell) int {
	if l.GetTo() {
		return 1
	}
	return 0
}

func (t *tally) count(l *encoder.EvidenceCell) {
	side := sideOf(l)
	for k, n := range l.GetCounts() {
		kind := sycamorevane.OutcomeKind(k)
		switch {
		case kind == sycamorevane.OutcomeOK:
			t.ok[side] += float64(n)
		case kind == sycamorevane.OutcomeShed:
			t.shed[side] += float64(n)
		case failed(kind):
			t.bad[side] += float64(n)
		}
	}
	t.calls[side] = t.ok[side] + t.bad[side]
	unpackBins(l.GetBins(), t.bins[side])
}

// Step decides on each rollout and returns the changes by service. It is called about once a second.
func (c *Core) Step(in Input) map[string]Step {
	steps := make(map[string]Step)
	for service, r := range in.Rollouts {
		t := c.tracks[service]
		if t == nil || t.id != r.ID {
			t = newTrack(r.ID)
			c.tracks[service] = t
		}
		capacity, known := in.Capacity[service]
		ceiling, ok := in.Ceilings[service]
		if !ok || ceiling <= 0 {
			ceiling = 0.05
		}
		s := t.step(in.Now, r, capacity, known, ceiling)
		if s.Phase != r.Phase || s.Share != r.Share || s.Reason != r.Reason || s.Late != r.DeadlineAtRisk {
			steps[service] = s
		}
	}
	for service := range c.tracks {
		if _, ok := in.Rollouts[service]; !ok {
			delete(c.tracks, service)
		}
	}
	return steps
}

func newTrack(id string) *track {
	return &track{
		id: id, window: make(map[string]*tally), routes: make(map[string]*comparison),
		entries: make(map[string]entry),
		all:     newComparison(), rare: newComparison(),
	}
}

// step is one decision on one rollout.
func (t *track) step(now time.Time, r sycamorevane.Rollout, capacity Capacity, known bool, ceiling float64) Step {
	t.observe(now, r)
	t.age()
	t.warm(now, r, capacity, known)
	t.compare(r, capacity)
	s := Step{ID: r.ID, Was: r.Phase, Phase: r.Phase, Held: r.Share, Share: r.Share, Reason: r.Reason, Late: r.DeadlineAtRisk}
	switch r.Phase {
	case sycamorevane.RolloutReverted:
		return s
	case sycamorevane.RolloutReverting:
		return t.finishRevert(now, s)
	case sycamorevane.RolloutDone:
		if r.Irreversible {
			return s // The old servers have ended.
		}
		return t.watch(now, r, capacity, known, s)
	case sycamorevane.RolloutWaiting, sycamorevane.RolloutTrial, sycamorevane.RolloutMoving:
	}
	if reason, bad := t.verdict(); bad {
		return revert(s, reason)
	}
	if t.plainlyBad() {
		return revert(s, "new version answers "+percent(t.errors[1]/t.answers[1])+" of its calls with failures")
	}
	if now.UnixMilli() >= r.Deadline {
		return revert(s, "deadline passed at share "+percent(r.Share))
	}
	s = t.proceed(now, r, capacity, known, ceiling, s)
	if s.Phase != sycamorevane.RolloutDone && s.Phase != sycamorevane.RolloutReverting {
		s.Late = r.DeadlineAtRisk || t.late(now, r, ceiling)
	}
	return s
}

// observe notes changes of the committed rollout.
func (t *track) observe(now time.Time, r sycamorevane.Rollout) {
	if t.phase == r.Phase && t.share == r.Share && !t.since.IsZero() {
		return
	}
	t.phase = r.Phase
	t.share = r.Share
	t.since = now
	t.calls = 0
	t.windows = 0
	t.quiet = 0
}

func (t *track) warm(now time.Time, r sycamorevane.Rollout, capacity Capacity, known bool) {
	t.isCold = known && t.cold(r, capacity.New)
	if t.isCold && !t.last.IsZero() {
		t.warming += now.Sub(t.last)
	}
	t.last = now
}

// cold reports whether the version is in its first cold start. Servers that turn cold later may do so because the
// version is slow.
func (t *track) cold(r sycamorevane.Rollout, c VersionCapacity) bool {
	if r.Share == 0 || c.Servers == 0 {
		return false
	}
	if r.Share > coldShare || float64(c.Warm) >= warmPart*float64(c.Servers) {
		t.warmed = true
	}
	limit := min(time.Duration(coldPart*float64(allowed(r))), coldMax)
	return !t.warmed && (t.warming < limit || t.all.seen < float64(coldCalls*c.Servers))
}

// compare takes the window's evidence into account.
func (t *track) compare(r sycamorevane.Rollout, capacity Capacity) {
	total := newTally()
	rare := newTally()
	cold := t.isCold
	is := circumstances{
		cold:    cold,
		full:    1-r.Share >= fullLoad && r.Phase != sycamorevane.RolloutDone,
		moved:   1-r.Share < fullLoad || r.Phase == sycamorevane.RolloutDone,
		servers: capacity.New.Servers,
	}
	countShed := t.shedding(cold)
	for _, route := range slices.Sorted(maps.Keys(t.window)) {
		w := t.window[route]
		if countShed {
			w.bad[1] += w.shed[1]
			w.calls[1] += w.shed[1]
			w.bad[0] += w.shed[0]
			w.calls[0] += w.shed[0]
		}
		g := t.routes[route]
		if g == nil {
			g = newComparison()
			t.routes[route] = g
		}
		g.add(w, is)
		total.add(w)
		if g.traffic < rarePart*t.all.traffic {
			rare.add(w)
		}
	}
	t.rare.add(rare, is)
	t.all.add(total, is)
	t.calls += total.calls[1]
	if total.calls[1] > 0 {
		t.windows++
		t.quiet = 0
	} else {
		t.quiet++
	}
	clear(t.window)
}

// shedding reports whether shed calls count as failures. A cold server sheds some calls, which then run elsewhere;
// a version that sheds a large part of its calls, or has answered none, cannot take over.
func (t *track) shedding(cold bool) bool {
	t.shed *= shedDecay
	t.ok *= shedDecay
	for _, w := range t.window {
		t.ok += w.calls[1]
		t.shed += w.shed[1]
		t.answered = t.answered || w.calls[1] > 0
	}
	if cold {
		return !t.answered && t.shed >= onlyShed
	}
	return t.shed >= shedPart*(t.ok+t.shed)
}

// verdict returns the reason to revert, if there is one.
func (t *track) verdict() (string, bool) {
	e, reason := t.worst()
	if e >= badThreshold {
		return reason, true
	}
	blocked := 0
	for _, v := range t.entries {
		if v.blocked {
			blocked++
		}
	}
	if e >= blockedThreshold && 2*blocked >= len(t.entries) && blocked > 0 {
		return fmt.Sprintf("%s, blocked by %d of %d entries", reason, blocked, len(t.entries)), true
	}
	return "", false
}

// age forgets entries that have not reported for a while.
func (t *track) age() {
	for name, v := range t.entries {
		v.age++
		t.entries[name] = v
		if v.age > entryAge {
			delete(t.entries, name)
		}
	}
}

// worst returns the strongest evidence against the version over all groups.
func (t *track) worst() (float64, string) {
	e, what := t.all.worst()
	reason := what + " of all calls"
	if v, what := t.rare.worst(); v > e {
		e, reason = v, what+" of rare routes"
	}
	for _, route := range slices.Sorted(maps.Keys(t.routes)) {
		g := t.routes[route]
		if v, what := g.worst(); v > e {
			e, reason = v, fmt.Sprintf("%s of route %q", what, route)
		}
	}
	return e, "new version is worse: " + reason
}

// good reports whether the version has shown itself good: as a whole and on each route. After trialPart of the
// allowed time the routes with few calls are accepted as a pool, after weakPart the service as a whole decides.
func (t *track) good(now time.Time, r sycamorevane.Rollout) bool {
	if elapsed(now, r) >= weakPart {
		return t.all.good(weakProof)
	}
	if !t.all.good(strongProof) {
		return false
	}
	for _, g := range t.routes {
		if g.good(routeProof) {
			continue
		}
		if g.traffic >= rarePart*t.all.traffic || elapsed(now, r) < trialPart || !t.rare.good(routeProof) {
			return false
		}
	}
	return true
}

// first reports whether the first evidence is there.
func (t *track) first(now time.Time, r sycamorevane.Rollout) bool {
	if elapsed(now, r) >= firstPart {
		return t.calls >= hastyCalls && t.windows >= hastyWindows
	}
	return t.calls >= firstCalls && t.windows >= firstWindows
}

// covered reports whether the last step may be taken with the evidence on single routes.
func (t *track) covered(now time.Time, r sycamorevane.Rollout) bool {
	if elapsed(now, r) >= pooledPart {
		return true
	}
	for _, g := range t.routes {
		if g.seen < routeCalls {
			return false
		}
	}
	return true
}

// elapsed is the part of the allowed time that has passed.
func elapsed(now time.Time, r sycamorevane.Rollout) float64 {
	return float64(now.UnixMilli()-r.StartedAt) / float64(max(r.Deadline-r.StartedAt, 1))
}

// first is the share until the first evidence. A rollout with little time begins at the ceiling: at a hundredth of a few
// dozen calls a second the first evidence alone would take a third of it.
func first(r sycamorevane.Rollout, ceiling float64) float64 {
	if allowed(r) < shortTime {
		return ceiling
	}
	return min(firstShare, ceiling)
}

func (t *track) proceed(now time.Time, r sycamorevane.Rollout, capacity Capacity, known bool, ceiling float64, s Step) Step {
	if !known {
		return s
	}
	if s, stop := t.staffed(now, capacity, ceiling, s); stop {
		return s
	}
	switch r.Phase {
	case sycamorevane.RolloutWaiting:
		s.Phase = sycamorevane.RolloutTrial
		s.Share = first(r, ceiling)
		s.Reason = "first calls of the new version"
	case sycamorevane.RolloutTrial:
		s = t.trial(now, r, ceiling, s)
	case sycamorevane.RolloutMoving:
		s = t.move(now, r, s)
	case sycamorevane.RolloutDone, sycamorevane.RolloutReverting, sycamorevane.RolloutReverted:
	}
	return t.bounded(r, capacity, ceiling, s)
}

// staffed handles a version without servers: the share goes to zero until they are back, and a version that
// loses all its servers again and again is rejected. The phase stays, since a rollout never waits again.
func (t *track) staffed(now time.Time, capacity Capacity, ceiling float64, s Step) (Step, bool) {
	if capacity.New.Servers > 0 {
		t.empty = time.Time{}
		if s.Phase != sycamorevane.RolloutWaiting && s.Share == 0 {
			s.Share = min(firstShare, ceiling)
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
	if t.empty.IsZero() {
		t.empty = now
	}
	if now.Sub(t.empty) < emptyHold {
		return s, true
	}
	t.empties++
	if t.empties >= emptyMax {
		return revert(s, "servers of the new version keep stopping"), true
	}
	s.Share = 0
	s.Reason = "servers of the new version have stopped"
	return s, true
}

func (t *track) trial(now time.Time, r sycamorevane.Rollout, ceiling float64, s Step) Step {
	e, _ := t.worst()
	if e >= suspicion {
		s.Reason = "held: evidence against the new version"
		return s
	}
	if r.Share < ceiling && t.first(now, r) && e < firstSuspicion {
		s.Share = ceiling
		s.Reason = "first evidence is good"
		return s
	}
	if t.good(now, r) && t.stood(now, r) {
		s.Phase = sycamorevane.RolloutMoving
		s.Share = max(t.next(now, r), r.Share)
		s.Reason = "new version has shown itself good"
	}
	return s
}

func (t *track) move(now time.Time, r sycamorevane.Rollout, s Step) Step {
	if e, _ := t.worst(); e >= suspicion {
		s.Reason = "held: evidence against the new version"
		return s
	}
	if !t.stood(now, r) || t.calls < stepCalls {
		return s
	}
	if r.Share < levels[len(levels)-1] {
		s.Share = t.next(now, r)
		s.Reason = "evidence is good"
		return s
	}
	if t.covered(now, r) {
		s.Phase = sycamorevane.RolloutDone
		s.Share = 1
		s.Late = false
		s.Reason = "new version has taken over"
	}
	return s
}

// stood reports whether the current share has stood for its part of the planned time.
func (t *track) stood(now time.Time, r sycamorevane.Rollout) bool {
	left := t.planLeft(now, r)
	steps := 1
	for _, l := range levels {
		if l > r.Share {
			steps++
		}
	}
	stand := max(shortest(r), (left+now.Sub(t.since))/time.Duration(steps))
	return now.Sub(t.since) >= stand
}

// planLeft is the time left to the planned end of the move. A move that begins late is planned to end later, so
// that its steps do not get too short to show anything.
func (t *track) planLeft(now time.Time, r sycamorevane.Rollout) time.Duration {
	if r.Phase == sycamorevane.RolloutTrial && elapsed(now, r) > lateBegin {
		t.begunLate = true
	}
	end := planned
	if t.begunLate {
		end = plannedLate
	}
	return time.Duration((end - elapsed(now, r)) * float64(allowed(r)))
}

// shortest is the shortest time that a share must stand.
func shortest(r sycamorevane.Rollout) time.Duration {
	return min(max(time.Duration(stepPart*float64(allowed(r))), hastyStep), stepMin)
}

// next returns the share of the next step.
func (t *track) next(now time.Time, r sycamorevane.Rollout) float64 {
	left := t.planLeft(now, r)
	each := shortest(r) + commitTime
	use := levels
	switch {
	case left < time.Duration(len(coarseLevels))*each:
		use = hastyLevels
	case left < time.Duration(len(levels))*each:
		use = coarseLevels
	}
	for _, l := range use {
		if l > r.Share {
			return l
		}
	}
	return use[len(use)-1]
}

// bounded keeps the share within what the new version's usable slots can carry.
func (t *track) bounded(r sycamorevane.Rollout, capacity Capacity, ceiling float64, s Step) Step {
	load := float64(capacity.Old.Busy + capacity.New.Busy)
	if load == 0 || (s.Phase != sycamorevane.RolloutMoving && s.Phase != sycamorevane.RolloutDone) {
		return s
	}
	most := warmUse * float64(capacity.New.Slots) / load
	// A version with as many slots as the old one may take over at any load.
	if capacity.Old.Slots > 0 && capacity.New.Slots >= capacity.Old.Slots {
		most = max(most, 1)
	}
	if s.Phase == sycamorevane.RolloutDone && most < 1 {
		s.Phase = r.Phase
		s.Share = r.Share
	}
	if s.Phase == sycamorevane.RolloutDone || s.Share <= most {
		return s
	}
	// A shrinking bound lowers the share only when the slots themselves no longer suffice, so that noise in
	// the count of running requests does not move it back and forth.
	floor := min(r.Share, most/warmUse)
	s.Share = max(min(s.Share, most), floor, min(firstShare, ceiling))
	s.Reason = "held by the capacity of the new version"
	return s
}

// watch looks for a regression after the new version took over.
func (t *track) watch(now time.Time, r sycamorevane.Rollout, capacity Capacity, known bool, s Step) Step {
	if now.UnixMilli()-r.ChangedAt > WatchPeriod(r).Milliseconds() || !known || capacity.Old.Servers == 0 {
		return s
	}
	if reason, bad := t.verdict(); bad {
		return revert(s, reason+", after it took over")
	}
	return s
}

func (t *track) finishRevert(now time.Time, s Step) Step {
	stood := now.Sub(t.since)
	if stood >= revertMax || (stood >= revertHold && t.quiet >= int(revertHold/time.Second)) {
		s.Phase = sycamorevane.RolloutReverted
	}
	s.Share = 0
	return s
}

// late reports whether the deadline is not expected to be met.
func (t *track) late(now time.Time, r sycamorevane.Rollout, ceiling float64) bool {
	left := time.Duration(r.Deadline-now.UnixMilli()) * time.Millisecond
	if r.Phase == sycamorevane.RolloutWaiting {
		return elapsed(now, r) >= lateWaiting
	}
	return left < t.need(now, r, ceiling)
}

// need estimates the shortest time to the end of the move from the calls seen at the current share.
func (t *track) need(now time.Time, r sycamorevane.Rollout, ceiling float64) time.Duration {
	steps := 1
	for _, l := range hastyLevels {
		if l > r.Share {
			steps++
		}
	}
	need := time.Duration(steps) * (hastyStep + commitTime)
	stood := now.Sub(t.since)
	if r.Phase != sycamorevane.RolloutTrial || stood < 5*time.Second || r.Share <= 0 {
		return need
	}
	rate := max(t.calls, 0.5) / stood.Seconds() / r.Share
	calls := max(-logBeta/proofs[weakProof].errors-t.all.seen, 0)
	return need + time.Duration(calls/(rate*ceiling)*float64(time.Second))
}

func revert(s Step, reason string) Step {
	s.Phase = sycamorevane.RolloutReverting
	s.Share = 0
	s.Reason = reason
	return s
}

func percent(share float64) string { return fmt.Sprintf("%.0f%%", share*100) }

// Evidence is the state of the comparison of one rollout for the status view.
type Evidence struct {
	// Against is the strongest evidence that the new version is worse; Threshold reverts it.
	Against   float64
	Threshold float64
	What      string
	Calls     float64
	Routes    []string
}

// Evidence returns the state of the comparison for a service, and false when there is none.
func (c *Core) Evidence(service string) (Evidence, bool) {
	t := c.tracks[service]
	if t == nil {
		return Evidence{}, false
	}
	e, what := t.worst()
	v := Evidence{Against: e, Threshold: badThreshold, What: what, Calls: t.all.seen}
	for route := range t.routes {
		v.Routes = append(v.Routes, route)
	}
	slices.Sort(v.Routes)
	return v, true
}
