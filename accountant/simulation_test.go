package accountant

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
)

const (
	simStep  = 100 * time.Millisecond
	simBase  = 1_767_225_602 * time.Second // Not a multiple of the window.
	simHosts = 3
)

var simConfig = Config{
	Window: 5 * time.Second, Late: 10 * time.Second, Lease: 3 * time.Second, ThawSlack: 300 * time.Millisecond, Tolerance: 0.05, CallRate: 2,
}

// simHost is a control host. Its clocks start at different times than true time.
type simHost struct {
	core        *Core
	started     time.Duration
	wallError   time.Duration
	frozenUntil time.Duration
	// leader and term are what the host believes; forgetAt is when it learns that it was deposed.
	leader   bool
	term     uint64
	forgetAt time.Duration
	// confirmed holds a call that is made in the next step of the host.
	confirmed   *Report
	confirmedAt time.Duration
}

type simEntry struct {
	name    string
	counter *Counter
	started time.Duration
	sentAt  time.Duration
	cutTill time.Duration
	// reachedAt holds the times at which a report reached a leader, whether it was taken or not. counted are the requests by
	// window.
	reachedAt []time.Duration
	counted   map[int64]float64
}

type simCall struct {
	at     time.Duration
	host   int
	window int64
	counts map[string]uint64
}

// sim runs control hosts, entries and a platform in virtual time. Times are true time since simBase.
type sim struct {
	t       require.TestingT
	r       *rand.Rand
	now     time.Duration
	hosts   []*simHost
	entries []*simEntry
	leader  int
	term    uint64
	machine *applier.Machine
	index   uint64
	// The platform is down until downTill, and loses responses until muteTill.
	downTill, muteTill time.Duration
	highestToken       uint64
	calls              []simCall
	acceptedAt         map[int64]time.Duration
	truth              map[int64]map[string]uint64
	events             map[time.Duration]func()
	// lost is the number of requests that died with their entry, by window.
	lost map[int64]float64
	// Requests that an entry had reported and that were not committed when it died are known only to the leader of that
	// time. They are lost when another host is elected after the last report and before the commit.
	kills       []simKill
	elections   []time.Duration
	committedAt map[int64]time.Duration
}

type simKill struct {
	lastReport time.Duration
	reported   map[int64]float64
}

// isLost reports whether the requests of the window that the entry had reported are lost.
func (s *sim) isLost(kill simKill, window int64) bool {
	return slices.ContainsFunc(s.elections, func(at time.Duration) bool { return at > kill.lastReport && at <= s.committedAt[window] })
}

func newSim(t require.TestingT, seed uint64) *sim {
	s := &sim{
		t: t, r: rand.New(rand.NewPCG(seed, 1)), machine: applier.New(), acceptedAt: make(map[int64]time.Duration),
		truth: make(map[int64]map[string]uint64), lost: make(map[int64]float64), events: make(map[time.Duration]func()),
		committedAt: make(map[int64]time.Duration),
	}
	for i := range simHosts {
		s.hosts = append(s.hosts, &simHost{core: NewCore(simConfig), started: -time.Duration(i) * 7 * time.Second})
	}
	for i := range 8 {
		s.entries = append(s.entries, s.newEntry(fmt.Sprint("e", i)))
	}
	s.elect(0)
	return s
}

func (s *sim) newEntry(name string) *simEntry {
	return &simEntry{name: name, counter: NewCounter(time.Unix(0, int64(s.now))), started: s.now, counted: make(map[int64]float64)}
}

func (s *sim) elect(host int) {
	if s.term > 0 {
		s.elections = append(s.elections, s.now)
		s.hosts[s.leader].forgetAt = s.now + time.Duration(s.r.IntN(1000))*time.Millisecond
	}
	s.term++
	s.leader = host
	h := s.hosts[host]
	h.leader, h.term, h.forgetAt = true, s.term, math.MaxInt64
}

func (s *sim) window(at time.Duration) int64 { return int64((simBase + at) / simConfig.Window) }

func (s *sim) run(until time.Duration) {
	for ; s.now < until; s.now += simStep {
		if f := s.events[s.now]; f != nil {
			f()
		}
		for i := range s.hosts {
			s.stepHost(i)
		}
		for _, e := range s.entries {
			s.stepEntry(e)
		}
	}
}

func (s *sim) input(h *simHost) Input {
	return Input{Now: s.now - h.started, Leader: h.leader, Term: h.term, Members: []string{"c0", "c1", "c2"}, Committed: s.machine.Usage()}
}

func (s *sim) stepHost(i int) {
	h := s.hosts[i]
	if s.now < h.frozenUntil {
		return
	}
	if h.leader && s.now >= h.forgetAt {
		h.leader = false
	}
	for j, other := range s.hosts {
		if h.leader && s.now >= other.frozenUntil {
			now := s.now - h.started
			h.core.AddClock(fmt.Sprint("c", j), simBase+s.now+other.wallError, now-time.Millisecond, now+time.Millisecond)
		}
	}
	s.makeCall(i)
	out := h.core.Step(s.input(h))
	if out.Commit != nil {
		if i == s.leader { // The proposals of a deposed leader are lost.
			s.commit(out.Commit)
		}
		h.core.CommitEnded()
	}
	if out.Send == nil {
		return
	}
	if i == s.leader {
		h.confirmed, h.confirmedAt = out.Send, s.now-h.started
	} else {
		h.core.CallEnded(s.now-h.started, *out.Send, false, ResultUnknown)
	}
}

func (s *sim) commit(change *applier.UsageChange) {
	for _, w := range change.Windows {
		s.committedAt[w.Number] = s.now
	}
	data, err := applier.Encode(applier.Command{Op: applier.OpUsage, Args: applier.Args{Usage: change}})
	require.NoError(s.t, err)
	s.index++
	o, err := applier.DecodeOutcome(s.machine.Apply(sycamorevane.LogEntry{Index: s.index, Data: data}))
	require.NoError(s.t, err)
	require.Equal(s.t, applier.ResultApplied, o.Result, o.Reason)
}

// makeCall makes the call that was confirmed in the step before. The host may have been frozen in between.
func (s *sim) makeCall(i int) {
	h := s.hosts[i]
	if h.confirmed == nil {
		return
	}
	r, now := *h.confirmed, s.now-h.started
	h.confirmed = nil
	if !h.core.MaySend(now, h.confirmedAt, r.Token) {
		h.core.CallEnded(now, r, false, ResultUnknown)
		return
	}
	result := ResultUnknown
	if s.now >= s.downTill {
		result = ResultSuperseded
		if r.Token >= s.highestToken {
			s.highestToken, result = r.Token, ResultAccepted
			s.calls = append(s.calls, simCall{s.now, i, r.Window, r.Counts})
			if _, known := s.acceptedAt[r.Window]; !known {
				s.acceptedAt[r.Window] = s.now
			}
		}
		if s.now < s.muteTill {
			result = ResultUnknown
		}
	}
	h.core.CallEnded(now, r, true, result)
}

func (s *sim) stepEntry(e *simEntry) {
	for _, workspace := range []string{"a", "b"} {
		for range s.r.IntN(3) {
			at := s.now + time.Duration(s.r.Int64N(int64(simStep)))
			e.counter.Started(workspace, time.Unix(0, int64(at)))
			if s.r.IntN(4) == 0 {
				e.counter.Rejected(workspace, time.Unix(0, int64(at)))
				continue
			}
			w := s.window(at)
			if s.truth[w] == nil {
				s.truth[w] = make(map[string]uint64)
			}
			s.truth[w][workspace]++
			e.counted[w]++
		}
	}
	if s.now < e.cutTill || s.now-e.sentAt < time.Second {
		return
	}
	h := s.hosts[s.leader]
	m := e.counter.Report(time.Unix(0, int64(s.now)), false)
	if s.now < h.frozenUntil || s.now < e.started+time.Second {
		return
	}
	e.reachedAt = append(e.reachedAt, s.now)
	if a := h.core.AddReport(s.input(h), e.name, m); a != nil {
		e.sentAt = s.now
		e.counter.Acknowledge(a)
	}
}

// kill replaces an entry by a new process with the same name. What it has counted since its last report is lost.
func (s *sim) kill(i int) {
	old := s.entries[i]
	kill := simKill{old.sentAt, make(map[int64]float64)}
	for _, c := range old.counter.Report(time.Unix(0, int64(s.now)), true).Cells {
		at := old.started + time.Duration(c.Index)*CellWidth
		lost := kill.reported
		if at+CellWidth > old.sentAt {
			lost = s.lost
		}
		for j := 1; j < len(c.Counts); j += 2 {
			lost[s.window(at)] += float64(c.Counts[j])
		}
	}
	s.kills = append(s.kills, kill)
	s.entries[i] = s.newEntry(old.name)
}

// isOutOfReach reports whether no report of the entry could reach the leader that has to close the window, from the end of the window
// until it has to be closed for its report to be in time. Then the window cannot contain the entry's requests.
func (s *sim) isOutOfReach(e *simEntry, window int64) bool {
	from := time.Duration(window+1)*simConfig.Window - simBase
	closed := from + simConfig.Late - sendTime
	for _, at := range s.elections {
		if at < closed {
			from = max(from, at)
		}
	}
	return !slices.ContainsFunc(e.reachedAt, func(at time.Duration) bool { return at >= from && at < closed })
}

// check verifies what holds in any run: one set of counts per window, close to the truth, and no alternating holders.
func (s *sim) check(end time.Duration) {
	for _, kill := range s.kills {
		for w, n := range kill.reported {
			if s.isLost(kill, w) {
				s.lost[w] += n
			}
		}
	}
	for w := s.window(0); w <= s.window(end); w++ {
		for _, e := range s.entries {
			if s.isOutOfReach(e, w) {
				s.lost[w] += e.counted[w]
			}
		}
	}
	first := make(map[int64]map[string]uint64)
	for i, c := range s.calls {
		if first[c.window] == nil {
			first[c.window] = c.counts
		}
		require.True(s.t, maps.Equal(first[c.window], c.counts), "window %d was sent with different counts", c.window)
		for j := range i {
			for k := j + 1; k < i; k++ {
				alternates := s.calls[j].host == c.host && s.calls[k].host != c.host && c.at-s.calls[j].at < simConfig.Lease
				require.False(s.t, alternates, "holders alternate at %v", c.at)
			}
		}
	}
	for w := s.window(0); w <= s.window(end); w++ {
		require.Contains(s.t, first, w, "window that ends at %v", time.Duration(w+1)*simConfig.Window-simBase)
		for workspace, n := range s.truth[w] {
			require.InDelta(s.t, n, first[w][workspace], 0.05*float64(n)+s.lost[w], "window %d, workspace %s", w, workspace)
		}
	}
}

func (s *sim) latest() time.Duration {
	latest := time.Duration(0)
	for w, at := range s.acceptedAt {
		latest = max(latest, at-(time.Duration(w+1)*simConfig.Window-simBase))
	}
	return latest
}

// Guards against reports that are late or wrong after one fault of each kind.
func TestReportsAreInTime(t *testing.T) {
	for name, fault := range map[string]func(s *sim){
		"none": func(*sim) {},
		"leader is frozen for 6 s": func(s *sim) {
			s.hosts[0].frozenUntil = s.now + 6*time.Second
			s.events[s.now+1500*time.Millisecond] = func() { s.elect(1) }
		},
		"leader changes":            func(s *sim) { s.elect(1) },
		"leader's wall clock jumps": func(s *sim) { s.hosts[0].wallError = -time.Hour },
		"responses are lost":        func(s *sim) { s.muteTill = s.now + 6*time.Second },
		"platform is down for 3 s":  func(s *sim) { s.downTill = s.now + 3*time.Second },
		"an entry dies":             func(s *sim) { s.kill(0) },
		"an entry is cut off":       func(s *sim) { s.entries[1].cutTill = s.now + 4*time.Second },
		"most entries are cut off": func(s *sim) {
			for _, e := range s.entries[2:] {
				e.cutTill = s.now + 4*time.Second
			}
		},
	} {
		// The fault hits each phase of a window.
		for phase := range 10 {
			t.Run(fmt.Sprint(name, "/", phase), func(t *testing.T) {
				s := newSim(t, 1)
				s.run(20*time.Second + time.Duration(phase)*500*time.Millisecond)
				fault(s)
				s.run(50 * time.Second)
				s.check(35 * time.Second)
				require.LessOrEqual(t, s.latest(), simConfig.Late)
			})
		}
	}
}

// Guards against windows without counts from a new leader that did not know the true time, and thus took no reports, until the windows
// had to be closed.
func TestReportsAfterATimeWithoutTrueTime(t *testing.T) {
	for phase := range 10 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			s := newSim(t, 1)
			s.run(20*time.Second + time.Duration(phase)*500*time.Millisecond)
			s.elect(2)
			s.hosts[0].frozenUntil = s.now + 6*time.Second
			s.hosts[1].frozenUntil = s.now + 5*time.Second
			s.run(60 * time.Second)
			s.check(45 * time.Second)
		})
	}
}

// Guards against a window that is closed too early because an entry could not be heard for the window before it.
func TestEntryMissingInOneWindowIsExpectedInTheNext(t *testing.T) {
	for phase := range 10 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			s := newSim(t, 1)
			s.run(20*time.Second + time.Duration(phase)*500*time.Millisecond)
			s.hosts[0].frozenUntil = s.now + 4*time.Second
			s.events[s.now+3500*time.Millisecond] = func() {
				s.elect(2)
				s.entries[1].cutTill = s.now + 3500*time.Millisecond
			}
			s.run(60 * time.Second)
			s.check(45 * time.Second)
		})
	}
}

// Guards against a check that takes the requests of a dead entry for lost, or not, by the time between its end and an election.
func TestRequestsOfADeadEntryWithAFrozenLeader(t *testing.T) {
	for name, newLeaderAt := range map[string]time.Duration{"before the commit": 19100 * time.Millisecond, "after the commit": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 0)
			s.events[8*time.Second] = func() { s.kill(0) }
			s.events[10700*time.Millisecond] = func() { s.hosts[0].frozenUntil = s.now + 6*time.Second }
			s.events[newLeaderAt] = func() { s.elect(1) }
			s.run(60 * time.Second)
			require.Equal(t, newLeaderAt < 20*time.Second, s.isLost(s.kills[0], s.window(8*time.Second-simStep)))
			s.check(45 * time.Second)
		})
	}
}

// Guards against a window that is closed without an entry because another one's process was replaced.
func TestReplacedEntryDoesNotStandForAMissingOne(t *testing.T) {
	s := newSim(t, 0)
	s.events[8800*time.Millisecond] = func() { s.entries[0].cutTill = s.now + 4*time.Second }
	s.events[9200*time.Millisecond] = func() { s.elect(2) }
	s.events[10100*time.Millisecond] = func() { s.kill(2) }
	s.run(60 * time.Second)
	s.check(45 * time.Second)
}

// Guards against two different counts for one window, alternating holders and windows that are never reported, under any
// sequence of faults.
func TestReportsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.Uint64().Draw(t, "seed"))
		s.hosts[rapid.IntRange(0, simHosts-1).Draw(t, "wrong clock")].wallError = 90 * time.Second
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			// Faults begin after the first commit: before it, a new leader does not know how many entries to expect.
			at := time.Duration(rapid.IntRange(80, 400).Draw(t, "at")) * simStep
			length := time.Duration(rapid.IntRange(1, 60).Draw(t, "length")) * simStep
			i := rapid.IntRange(0, simHosts-1).Draw(t, "host")
			s.events[at] = []func(){
				func() { s.elect(i) },
				func() { s.hosts[s.leader].frozenUntil = s.now + length; s.elect(i) },
				func() { s.hosts[i].frozenUntil = s.now + length },
				func() { s.downTill = s.now + length },
				func() { s.muteTill = s.now + length },
				func() { s.kill(i) },
				func() { s.entries[i].cutTill = s.now + min(length, 4*time.Second) },
			}[rapid.IntRange(0, 6).Draw(t, "kind")]
		}
		s.run(75 * time.Second)
		s.check(60 * time.Second)
	})
}
