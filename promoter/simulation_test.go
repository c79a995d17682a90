package promoter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/reporter"
)

// TestTable runs simulated rollouts on a Core with seeded traffic: 300 calls/s over 9 entries in 3 data centres, 6
// servers of 4 slots per version at 62% load, 0.1% errors, log-normal latencies, and servers with noisy neighbours.
const (
	tickInterval = 100 * time.Millisecond
	simEntries   = 9
	simSlots     = 4
	simAllowed   = 300 * time.Second
	simCeiling   = 0.05
	simLossRate  = 0.1 // share of lost messages, in each direction
	warmCalls    = 1000
	pushDelay    = 2 * tickInterval // from a decision until it is in force on the entries
)

type simServer struct {
	dc             int
	upAt           time.Duration
	served         int
	disturbedUntil time.Duration
	util           float64
	running        int
}

func (s *simServer) usableSlots() int { return min(1+s.served/8, simSlots) }
func (s *simServer) warm() bool       { return s.usableSlots() == simSlots }

type sim struct {
	now             time.Duration
	rand            *rand.Rand
	row             row
	epoch           time.Time
	core            *Core
	entries         []*Collector
	servers         [2][]*simServer
	rollout         sycamorevane.Rollout // committed
	pushed          sycamorevane.Rollout // in force on the entries
	drained         int
	crashed         bool
	entryLost       bool
	doneAt          time.Duration
	firstAffectedAt time.Duration
	affectedCalls   int // calls affected by the fault
	warmed          bool
	// visibleCalls counts, per second, affected calls that a cold start does not explain: failed ones, and slow ones
	// once the new version has been warm.
	visibleCalls map[time.Duration]int
	newCalls     map[time.Duration]int // all calls of the new version, per second
	// newCallsInTime counts the calls of the new version until the deadline.
	newCallsInTime int
	// running holds the calls whose outcome is not known yet.
	running   []runningCall
	decidedAt time.Duration
	res       result
}

// runningCall is a call that ends later.
type runningCall struct {
	endsAt         time.Duration
	entry          *Collector
	server         *simServer
	version, route string
	outcome        sycamorevane.Outcome
}

func (r runningCall) end() { r.entry.Observe("flagboard", r.version, r.route, r.outcome) }

type result struct {
	phase         sycamorevane.RolloutPhase
	reason        string
	doneAfter     time.Duration
	toVisible     time.Duration // from the first affected call until the fault is visible, see row.minVisibleCalls
	toRevert      time.Duration // from toVisible until the share is zero on the entries
	trialShare    float64       // largest share during the trial
	affectedShare float64       // largest share after the first affected call
	affectedCalls int
	blocked       int
	late          bool
}

// fault decides how a call of the new version ends and the factor on its latency.
type fault func(s *sim, route string, srv *simServer) (kind sycamorevane.OutcomeKind, factor float64)

type row struct {
	name            string
	fault           fault
	event           func(s *sim)
	minVisibleCalls int     // affected calls within 10 s at which a fault counts as visible, see sim.visibleCalls
	minVisibleShare float64 // least share of the new version's calls within 10 s that must be affected, too
	startupTime     time.Duration
	allowed         time.Duration // simAllowed when zero
	ceiling         float64       // simCeiling when zero
	exposure        ExposureLimit
	delayed         bool          // outcomes are observed when the calls end
	coldTime        time.Duration // servers are warm so long after their start, or after some calls when zero
	traffic         traffic       // defaultTraffic when zero
}

// traffic describes the load during a rollout.
type traffic struct {
	callsPerTick       int
	latencySigma       float64 // of the log-normal latencies
	errorRate          float64 // share of failed calls of both versions
	disturbanceSeconds float64 // mean length of a disturbance of one server
	servers            int     // per version
	slotUse            float64 // relative slot time of one call
}

var defaultTraffic = traffic{callsPerTick: 30, latencySigma: 0.5, errorRate: 0.001, disturbanceSeconds: 0.7, servers: 6, slotUse: 1}

func (s *sim) Now() time.Time { return s.epoch.Add(s.now) }

func kindIf(b bool, k sycamorevane.OutcomeKind) sycamorevane.OutcomeKind {
	if b {
		return k
	}
	return sycamorevane.OutcomeOK
}

func rows() []row {
	ok := sycamorevane.OutcomeOK
	always := func(k sycamorevane.OutcomeKind, f float64) fault {
		return func(*sim, string, *simServer) (sycamorevane.OutcomeKind, float64) { return k, f }
	}
	rare, failing := defaultTraffic, defaultTraffic
	rare.callsPerTick, rare.slotUse = 3, 10
	failing.errorRate = 0.01
	return []row{
		{name: "bad: fails at once", minVisibleCalls: 8, fault: always(sycamorevane.OutcomeFailed, 0.2)},
		{name: "bad: a fifth fails", minVisibleCalls: 60, fault: func(s *sim, _ string, _ *simServer) (sycamorevane.OutcomeKind, float64) {
			return kindIf(s.rand.Float64() < 0.2, sycamorevane.OutcomeFailed), 1
		}},
		{name: "bad: twice the latency", minVisibleCalls: 150, fault: always(ok, 2)},
		{name: "bad: one route fails", minVisibleCalls: 8, fault: func(_ *sim, route string, _ *simServer) (sycamorevane.OutcomeKind, float64) {
			return kindIf(route == "rare", sycamorevane.OutcomeFailed), 1
		}},
		{name: "bad: one route four times slower", minVisibleCalls: 30, fault: func(_ *sim, route string, _ *simServer) (sycamorevane.OutcomeKind, float64) {
			if route == "rare" {
				return ok, 4
			}
			return ok, 1
		}},
		{name: "bad: slow above half load", minVisibleCalls: 200, minVisibleShare: 0.5, fault: func(_ *sim, _ string, srv *simServer) (sycamorevane.OutcomeKind, float64) {
			if srv.util > 0.5 {
				return ok, 2.5
			}
			return ok, 1
		}},
		{name: "bad: fails after 60 percent of the move", minVisibleCalls: 8, fault: func(s *sim, _ string, _ *simServer) (sycamorevane.OutcomeKind, float64) {
			return kindIf(s.now > time.Duration(0.36*float64(simAllowed)), sycamorevane.OutcomeFailed), 1
		}},
		{name: "bad: slow after 60 percent of the move", minVisibleCalls: 100, fault: func(s *sim, _ string, _ *simServer) (sycamorevane.OutcomeKind, float64) {
			if s.now > time.Duration(0.36*float64(simAllowed)) {
				return ok, 2
			}
			return ok, 1
		}},
		{name: "bad: fails shortly after done", minVisibleCalls: 8, fault: func(s *sim, _ string, _ *simServer) (sycamorevane.OutcomeKind, float64) {
			return kindIf(s.doneAt > 0 && s.now > s.doneAt+5*time.Second && s.rand.Float64() < 0.3, sycamorevane.OutcomeFailed), 1
		}},
		{name: "bad: slow shortly after done", minVisibleCalls: 100, fault: func(s *sim, _ string, _ *simServer) (sycamorevane.OutcomeKind, float64) {
			if s.doneAt > 0 && s.now > s.doneAt+10*time.Second {
				return ok, 2.5
			}
			return ok, 1
		}},
		{name: "bad: crash on start", minVisibleCalls: 8, fault: always(sycamorevane.OutcomeIncomplete, 0.1), event: func(s *sim) {
			if s.now%(10*time.Second) == 0 {
				for _, v := range s.servers[1] {
					v.upAt, v.served = s.now+2*time.Second, 0
				}
			}
		}},
		{name: "bad: one route fails, leader changes", minVisibleCalls: 8, fault: func(_ *sim, route string, _ *simServer) (sycamorevane.OutcomeKind, float64) {
			return kindIf(route == "rare", sycamorevane.OutcomeFailed), 1
		}, event: func(s *sim) {
			if s.now%(7*time.Second) == 0 {
				s.core = NewCore()
			}
		}},
		{name: "bad: sheds all", minVisibleCalls: 12, fault: always(sycamorevane.OutcomeShed, 0.05)},
		{name: "bad: one route fails, 40 s allowed", minVisibleCalls: 8, allowed: 40 * time.Second, fault: func(_ *sim, route string, _ *simServer) (sycamorevane.OutcomeKind, float64) {
			return kindIf(route == "rare", sycamorevane.OutcomeFailed), 1
		}},
		{name: "bad: twice the latency, 40 s allowed", minVisibleCalls: 150, allowed: 40 * time.Second, fault: always(ok, 2)},
		{name: "good: 40 s allowed", allowed: 40 * time.Second},
		{name: "bad: one route fails, 30 calls/s", minVisibleCalls: 8, traffic: rare, fault: func(_ *sim, route string, _ *simServer) (sycamorevane.OutcomeKind, float64) {
			return kindIf(route == "rare", sycamorevane.OutcomeFailed), 1
		}},
		{name: "bad: twice the latency, 30 calls/s", minVisibleCalls: 150, traffic: rare, fault: always(ok, 2)},
		{name: "good: 30 calls/s", traffic: rare},
		{name: "good: one of 100 calls fails", traffic: failing},
		{name: "good: noise"},
		{name: "good: cold start", startupTime: 20 * time.Second},
		{name: "good: data centre leaves and returns", event: func(s *sim) {
			s.drained = -1
			if s.now > 70*time.Second && s.now < 130*time.Second {
				s.drained = 1
			}
			s.crashed = s.now > 70*time.Second && s.now < 71*time.Second
			if s.now == 130*time.Second {
				s.coldDC(1)
			}
		}},
		{name: "good: leader change", event: func(s *sim) {
			if s.now == 20*time.Second || s.now == 90*time.Second || s.now == 150*time.Second || s.now == 195*time.Second {
				s.core = NewCore()
			}
		}},
		{name: "good: entry lost", event: func(s *sim) { s.entryLost = s.now > 60*time.Second }},
	}
}

func (s *sim) coldDC(dc int) {
	for _, side := range s.servers {
		for _, v := range side {
			if v.dc == dc {
				v.served = 0
			}
		}
	}
}

func newSim(w row, seed uint64) *sim {
	if w.allowed == 0 {
		w.allowed = simAllowed
	}
	if w.ceiling == 0 {
		w.ceiling = simCeiling
	}
	if w.traffic.callsPerTick == 0 {
		w.traffic = defaultTraffic
	}
	s := &sim{rand: rand.New(rand.NewPCG(seed, 1)), row: w, epoch: time.Unix(1e9, 0), core: NewCore(), drained: -1, visibleCalls: map[time.Duration]int{}, newCalls: map[time.Duration]int{}}
	for side := range s.servers {
		for i := range w.traffic.servers {
			v := &simServer{dc: i % 3, served: warmCalls}
			if side == 1 {
				v.served = 0
				v.upAt = w.startupTime + time.Duration(i)*w.startupTime/4
			}
			s.servers[side] = append(s.servers[side], v)
		}
	}
	s.rollout = sycamorevane.Rollout{
		ID: "r1", Service: "flagboard", FromVersion: "1", ToVersion: "2", Phase: sycamorevane.RolloutWaiting,
		StartedAt: s.epoch.UnixMilli(), Deadline: s.epoch.Add(w.allowed).UnixMilli(),
	}
	for range simEntries {
		s.entries = append(s.entries, NewCollector(s))
	}
	s.push()
	return s
}

func (s *sim) push() {
	s.pushed = s.rollout
	for _, c := range s.entries {
		c.Update(map[string]sycamorevane.Rollout{"flagboard": s.pushed})
	}
}

// run simulates the rollout until its end, including the watch period.
func (s *sim) run() result {
	for ; s.now < s.row.allowed+s.row.allowed/2; s.now += tickInterval {
		if s.row.event != nil {
			s.row.event(s)
		}
		s.sendCalls()
		s.endCalls()
		failing := s.exchange()
		if s.now%time.Second == 0 {
			s.decide((*Core).Step)
		} else if failing {
			s.decide((*Core).Alarms)
		}
		if s.rollout != s.pushed && s.now >= s.decidedAt+pushDelay {
			s.push()
		}
		s.recordResult()
		if s.rollout.Phase == sycamorevane.RolloutReverted {
			break
		}
	}
	s.res.phase = s.rollout.Phase
	s.res.reason = s.rollout.Reason
	s.res.late = s.rollout.DeadlineAtRisk
	s.res.affectedCalls = s.affectedCalls
	return s.res
}

func (s *sim) recordResult() {
	share := s.pushed.Share
	if s.pushed.Phase.Terminal() || s.pushed.Phase == sycamorevane.RolloutReverting {
		if s.pushed.Phase == sycamorevane.RolloutDone {
			share = 1
		} else {
			share = 0
		}
	}
	if s.rollout.Phase == sycamorevane.RolloutDone && s.doneAt == 0 {
		s.doneAt = s.now
		s.res.doneAfter = s.now
	}
	if s.rollout.Phase == sycamorevane.RolloutTrial {
		s.res.trialShare = max(s.res.trialShare, share)
	}
	if s.affectedCalls > 0 && s.firstAffectedAt == 0 {
		s.firstAffectedAt = s.now
	}
	if s.affectedCalls > 0 && share > 0 {
		s.res.affectedShare = max(s.res.affectedShare, share)
		visible, all := 0, 0
		for i := range time.Duration(10) {
			visible += s.visibleCalls[s.now/time.Second-i]
			all += s.newCalls[s.now/time.Second-i]
		}
		if visible >= s.row.minVisibleCalls && float64(visible) >= s.row.minVisibleShare*float64(all) && s.res.toVisible == 0 {
			s.res.toVisible = s.now - s.firstAffectedAt + tickInterval
		}
		if s.res.toVisible > 0 {
			s.res.toRevert = s.now - s.firstAffectedAt - s.res.toVisible + 2*tickInterval
		}
	}
}

func (s *sim) usable(side int) []*simServer {
	var servers []*simServer
	for _, v := range s.servers[side] {
		if v.upAt <= s.now && v.dc != s.drained {
			servers = append(servers, v)
		}
	}
	return servers
}

func (s *sim) sendCalls() {
	latencyFactor := 1.0
	if s.rand.Float64() < 0.1 {
		latencyFactor = 1.5
	}
	usable := [2][]*simServer{s.usable(0), s.usable(1)}
	if c := s.capacity(1); float64(c.Warm) >= warmServerShare*float64(c.Servers) {
		s.warmed = true
	}
	if s.crashed {
		usable = [2][]*simServer{s.servers[0], s.servers[1]}
	}
	for _, side := range usable {
		for _, v := range side {
			v.util *= 0.8
			if s.row.coldTime > 0 && s.now >= v.upAt+s.row.coldTime {
				v.served = max(v.served, warmCalls)
			}
			if s.rand.Float64() < tickInterval.Seconds()/120 {
				v.disturbedUntil = s.now + time.Duration(s.rand.ExpFloat64()*s.row.traffic.disturbanceSeconds*float64(time.Second))
			}
		}
	}
	for range s.row.traffic.callsPerTick {
		entry := s.rand.IntN(simEntries)
		if s.entryLost && entry == 0 {
			entry = 1
		}
		side := 0
		if s.rand.Float64() < s.pushed.Share && s.pushed.Phase != sycamorevane.RolloutReverting {
			side = 1
		}
		if side == 1 && s.entries[entry].Blocked("flagboard", "2") {
			s.res.blocked++
			side = 0
		}
		if len(usable[side]) == 0 {
			side = 1 - side
		}
		s.call(s.entries[entry], side, usable[side], latencyFactor)
	}
}

func (s *sim) call(c *Collector, side int, usable []*simServer, latencyFactor float64) {
	srv := usable[s.rand.IntN(len(usable))]
	for range 3 { // cold servers get few calls
		if srv.warm() || s.rand.IntN(simSlots) < srv.usableSlots() {
			break
		}
		srv = usable[s.rand.IntN(len(usable))]
	}
	route, base := "read", 45.0
	if x := s.rand.Float64(); x < 0.02 {
		route, base = "rare", 60
	} else if x < 0.3 {
		route, base = "write", 60
	}
	ms := base * math.Exp(s.row.traffic.latencySigma*s.rand.NormFloat64()) * latencyFactor * (1 + 0.15*srv.util)
	kind := kindIf(s.rand.Float64() < s.row.traffic.errorRate, sycamorevane.OutcomeFailed)
	if srv.disturbedUntil > s.now {
		ms *= 4
		kind = kindIf(s.rand.Float64() < 0.01, sycamorevane.OutcomeFailed)
	}
	if !srv.warm() {
		ms *= 4 - 3*float64(srv.served)/(8*simSlots)
		kind = kindIf(s.rand.Float64() < 0.05, sycamorevane.OutcomeShed)
	}
	if s.crashed && srv.dc == 1 {
		kind = sycamorevane.OutcomeIncomplete
	}
	if side == 1 {
		s.newCalls[s.now/time.Second]++
		if s.row.fault != nil {
			k, f := s.row.fault(s, route, srv)
			if k != sycamorevane.OutcomeOK {
				kind = k
			}
			ms *= f
			if k != sycamorevane.OutcomeOK || f > 1 {
				s.affectedCalls++
				if s.warmed || k != sycamorevane.OutcomeOK {
					s.visibleCalls[s.now/time.Second]++
				}
			}
		}
	}
	if kind == sycamorevane.OutcomeOK {
		srv.served++
	}
	srv.util += 0.2 * ms / 1000 / tickInterval.Seconds() / simSlots * s.row.traffic.slotUse
	if side == 1 && s.now < s.row.allowed {
		s.newCallsInTime++
	}
	latency := time.Duration(ms * float64(time.Millisecond))
	r := runningCall{s.now, c, srv, strconv.Itoa(side + 1), route, sycamorevane.Outcome{
		Kind: kind, Latency: latency, Route: route, Cold: s.row.coldTime > 0 && !srv.warm(),
	}}
	if !s.row.delayed {
		r.end()
		return
	}
	r.endsAt += latency
	srv.running++
	s.running = append(s.running, r)
}

// endCalls observes the outcomes of the calls that have ended.
func (s *sim) endCalls() {
	s.running = slices.DeleteFunc(s.running, func(r runningCall) bool {
		if r.endsAt > s.now {
			return false
		}
		r.end()
		r.server.running--
		return true
	})
}

// exchange sends evidence over a network that loses messages. Each entry has its own offset within the second, and
// reports failures of the new version at once. It reports whether the core has been told of such failures.
func (s *sim) exchange() (failing bool) {
	for i, c := range s.entries {
		isDue := s.now%time.Second == time.Duration(i)*tickInterval
		select {
		case <-c.Alarm():
			isDue = true
		default:
		}
		if !isDue || (s.entryLost && i == 0) {
			continue
		}
		e := c.Summary()
		if e == nil || s.rand.Float64() < simLossRate {
			continue
		}
		ack := s.core.Add(fmt.Sprint("entry", i), e)
		failing = failing || reportsFailures(e)
		if s.rand.Float64() >= simLossRate {
			c.Acknowledge(ack)
		}
	}
	return failing
}

func (s *sim) capacity(side int) VersionCapacity {
	var c VersionCapacity
	for _, v := range s.usable(side) {
		c.Servers++
		c.Slots += v.usableSlots()
		if v.warm() {
			c.Warm++
		}
		c.Running += int(v.util * simSlots)
	}
	return c
}

func (s *sim) decide(steps func(*Core, Input) map[string]Step) {
	before := s.rollout
	step, ok := steps(s.core, Input{
		Now: s.Now(), Rollouts: map[string]sycamorevane.Rollout{"flagboard": s.rollout},
		Ceilings: map[string]float64{"flagboard": s.row.ceiling},
		Capacity: map[string]Capacity{"flagboard": {Old: s.capacity(0), New: s.capacity(1)}},
		Exposure: s.row.exposure,
	})["flagboard"]
	if ok {
		s.rollout, _ = step.Apply(s.rollout, s.Now())
	}
	if s.rollout != before {
		s.decidedAt = s.now
	}
	if os.Getenv("PROMOTER_TRACE") != "" && s.rollout != before {
		e, _ := s.core.Evidence("flagboard")
		fmt.Printf("%6.1f %-9s %.2f late=%v %s [%.3g %s]\n", s.now.Seconds(), s.rollout.Phase, s.rollout.Share, s.rollout.DeadlineAtRisk, s.rollout.Reason, e.Strongest, e.Description)
	}
}

// TestTable guards against a bad version that is missed or detected too late, and against a good version that is
// reverted or not done in time.
func TestTable(t *testing.T) {
	seeds := 2
	if n, err := strconv.Atoi(os.Getenv("PROMOTER_SEEDS")); err == nil {
		seeds = n
	}
	for _, w := range rows() {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			results := make([]result, seeds)
			for i := range results {
				results[i] = newSim(w, uint64(i)+1).run()
			}
			expectRow(t, w, results)
		})
	}
}

func expectRow(t *testing.T, w row, results []result) {
	t.Helper()
	wrong := 0
	var done, visible, toRevert, calls []float64
	share, trialShare := 0.0, 0.0
	reasons := map[string]int{}
	blocked := 0
	for _, r := range results {
		if (w.fault == nil) != (r.phase == sycamorevane.RolloutDone) {
			wrong++
		}
		reasons[string(r.phase)+": "+r.reason]++
		done = append(done, r.doneAfter.Seconds()/newSim(w, 0).row.allowed.Seconds())
		visible = append(visible, r.toVisible.Seconds())
		toRevert = append(toRevert, r.toRevert.Seconds())
		calls = append(calls, float64(r.affectedCalls))
		share = max(share, r.affectedShare)
		trialShare = max(trialShare, r.trialShare)
		blocked += r.blocked
	}
	if len(results) >= 100 {
		recordMeasurements(t, w, wrong, done, toRevert, calls)
	}
	require.LessOrEqual(t, trialShare, simCeiling, "share before the version was shown to be good")
	if w.fault == nil {
		t.Logf(w.name+": false reverts %d of %d; done after mean %.2f, worst %.2f of the time; blocked calls %d; %v", wrong, len(results), mean(done), slices.Max(done), blocked, reasons)
		require.LessOrEqual(t, wrong, len(results)/100, "false reverts: %v", reasons)
		require.LessOrEqual(t, slices.Max(done), 0.8, "time to done")
		return
	}
	t.Logf(w.name+": missed %d of %d; share %.2f; bad calls mean %.0f, most %.0f; visible after mean %.1f s; zero share after mean %.1f s, worst %.1f s; %v",
		wrong, len(results), share, mean(calls), slices.Max(calls), mean(visible), mean(toRevert), slices.Max(toRevert), reasons)
	require.Zero(t, wrong, "missed: %v", reasons)
	require.LessOrEqual(t, slices.Max(toRevert), 3.0, "time from visible to zero share")
}

// recordMeasurements adds the measurements of a row to the results page. It needs at least 100 seeds, since fewer
// cannot show a rate of 1 in 100.
func recordMeasurements(t *testing.T, w row, wrong int, done, toRevert, calls []float64) {
	t.Helper()
	f := reporter.Measurement{
		Area: "version moves", Description: w.name + ": wrong verdicts of " + strconv.Itoa(len(done)), Unit: "moves",
		Value: float64(wrong), Bound: reporter.AtMost, Target: float64(len(done) / 100),
	}
	if w.fault != nil {
		f.Target = 0
	}
	reporter.Record(t, f)
	if w.fault == nil {
		f.Description, f.Unit, f.Value, f.Target = w.name+": slowest move, share of the allowed time", "%", 100*slices.Max(done), 80
		reporter.Record(t, f)
		return
	}
	f.Description, f.Unit, f.Value, f.Target = w.name+": slowest stop after the badness showed", "s", slices.Max(toRevert), 3
	reporter.Record(t, f)
	reporter.Record(t, reporter.Measurement{Area: f.Area, Description: w.name + ": calls with a bad answer, mean", Value: mean(calls), Unit: "calls"})
}

func mean(x []float64) float64 {
	total := 0.0
	for _, v := range x {
		total += v
	}
	return total / float64(len(x))
}
