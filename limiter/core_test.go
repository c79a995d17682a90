package limiter

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/picker"
	"sycamorevane.example/sycamorevane/seeder"
)

// harness connects an Owner with Borrowers through message queues in virtual time. The test decides which messages
// are delivered or lost.
type harness struct {
	now         time.Time
	owner       *Owner
	borrowers   map[string]*Borrower
	grants      map[string][]sycamorevane.Grant
	refused     []*sycamorevane.RefusedError
	toOwner     []queuedMessage
	toBorrowers []queuedMessage
}

type queuedMessage struct {
	name    string
	message proto.Message
}

func newHarness(names ...string) *harness {
	h := &harness{now: startTime, borrowers: make(map[string]*Borrower), grants: make(map[string][]sycamorevane.Grant)}
	h.startOwner(1)
	for i, name := range names {
		rng := rand.New(rand.NewPCG(uint64(i), 7))
		borrower := NewBorrower(testService, "dc-a", uint64(i)+1, picker.Leased{}, rng)
		h.borrowers[name] = borrower
		h.apply(name, borrower.SetReachableDCs(h.now, map[string]bool{"dc-a": true}))
	}
	return h
}

func (h *harness) startOwner(term uint64) { h.owner = NewOwner(h.now, testService, "dc-a", term) }

func (h *harness) setRules(r Rules) {
	for name, borrower := range h.borrowers {
		h.apply(name, borrower.SetRules(h.now, r, Settings{MaxQueued: 64, Timeout: time.Second}))
	}
	h.enqueueLoans(h.owner.SetRules(h.now, r, time.Time{}))
}

func (h *harness) setServers(list []sycamorevane.Server) {
	h.enqueueLoans(h.owner.SetServers(h.now, list))
}

func (h *harness) enqueueLoans(list []Loan) {
	for _, l := range list {
		h.toBorrowers = append(h.toBorrowers, queuedMessage{l.To, l.Message})
	}
}

func (h *harness) apply(name string, e Effects) {
	for _, g := range e.Granted {
		h.grants[name] = append(h.grants[name], g.Grant)
	}
	for _, r := range e.Refused {
		h.refused = append(h.refused, r.Err)
	}
	for _, r := range e.Reports {
		h.toOwner = append(h.toOwner, queuedMessage{name, r.Message})
	}
}

func (h *harness) deliver() {
	for len(h.toOwner) > 0 || len(h.toBorrowers) > 0 {
		h.deliverToOwner(len(h.toOwner))
		h.deliverToBorrowers(len(h.toBorrowers))
	}
}

func (h *harness) deliverToOwner(n int) {
	batch := h.toOwner[:n]
	h.toOwner = slices.Clone(h.toOwner[n:])
	for _, queued := range batch {
		if m, ok := queued.message.(*encoder.SlotReport); ok && h.owner != nil {
			h.enqueueLoans(h.owner.HandleReport(h.now, queued.name, m))
		}
	}
}

func (h *harness) deliverToBorrowers(n int) {
	batch := h.toBorrowers[:n]
	h.toBorrowers = slices.Clone(h.toBorrowers[n:])
	for _, queued := range batch {
		m, ok := queued.message.(*encoder.SlotLoan)
		if borrower := h.borrowers[queued.name]; ok && borrower != nil {
			h.apply(queued.name, borrower.HandleLoan(h.now, m))
		}
	}
}

// advance moves the time forward in steps of 10 ms and delivers all messages at once.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(10 * time.Millisecond)
		h.tick()
		h.deliver()
	}
}

func (h *harness) tick() {
	if h.owner != nil {
		h.enqueueLoans(h.owner.Tick(h.now))
	}
	for _, name := range h.names() {
		h.apply(name, h.borrowers[name].Tick(h.now))
	}
}

func (h *harness) names() []string {
	var names []string
	for name := range h.borrowers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (h *harness) submit(name, workspace string) {
	_, e := h.borrowers[name].Submit(h.now, sycamorevane.Request{Service: testService, Workspace: workspace, Method: "GET"})
	h.apply(name, e)
}

func (h *harness) release(name string, i int, kind sycamorevane.OutcomeKind) {
	g := h.grants[name][i]
	h.grants[name] = slices.Delete(h.grants[name], i, i+1)
	h.apply(name, h.borrowers[name].Release(h.now, g.ID, sycamorevane.Outcome{Kind: kind, Latency: 10 * time.Millisecond}))
}

// warmUp sends requests until all servers have reached their full limit.
func (h *harness) warmUp(t require.TestingT) {
	for range 400 {
		for _, name := range h.names() {
			for range 8 {
				h.submit(name, "north")
			}
		}
		h.advance(10 * time.Millisecond)
		for _, name := range h.names() {
			for len(h.grants[name]) > 0 {
				h.release(name, 0, sycamorevane.OutcomeOK)
			}
		}
		if total, _ := h.owner.capacity(h.now); total == totalSlots(h.owner) {
			h.finishAll()
			return
		}
	}
	require.Fail(t, "servers do not warm up")
}

// finishAll completes all running requests with success.
func (h *harness) finishAll() {
	for range 100 {
		for _, name := range h.names() {
			for len(h.grants[name]) > 0 {
				h.release(name, 0, sycamorevane.OutcomeOK)
			}
		}
		h.advance(20 * time.Millisecond)
	}
	h.refused = nil
}

func totalSlots(o *Owner) int {
	n := 0
	for _, s := range o.servers.list {
		n += s.Slots
	}
	return n
}

func (h *harness) countGrants(match func(g sycamorevane.Grant) bool) int {
	n := 0
	for _, list := range h.grants {
		for _, g := range list {
			if match(g) {
				n++
			}
		}
	}
	return n
}

// Guards against slots that are used twice while messages are lost, late or repeated, borrowers become silent and
// ownership moves. No server may ever run more requests than it has slots.
func TestSlotsAreNeverUsedTwice(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness("a", "b", "c")
		h.addWarmServers()
		h.setRules(Rules{})
		h.advance(600 * time.Millisecond)
		term := uint64(1)
		for range rapid.IntRange(50, 300).Draw(t, "events") {
			name := rapid.SampledFrom(h.names()).Draw(t, "entry")
			switch rapid.IntRange(0, 10).Draw(t, "event") {
			case 0, 1, 2:
				h.submit(name, rapid.SampledFrom([]string{"north", "south"}).Draw(t, "workspace"))
			case 3, 4:
				if len(h.grants[name]) > 0 {
					h.release(name, 0, rapid.SampledFrom([]sycamorevane.OutcomeKind{
						sycamorevane.OutcomeOK, sycamorevane.OutcomeOK, sycamorevane.OutcomeOK, sycamorevane.OutcomeFailed,
						sycamorevane.OutcomeShed, sycamorevane.OutcomeConnectFailed,
					}).Draw(t, "outcome"))
				}
			case 5:
				h.deliverToOwner(rapid.IntRange(0, len(h.toOwner)).Draw(t, "reports"))
			case 6:
				h.deliverToBorrowers(rapid.IntRange(0, len(h.toBorrowers)).Draw(t, "loans"))
			case 7:
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * time.Millisecond)
				h.tick()
			case 8:
				if rapid.IntRange(0, 3).Draw(t, "lose") == 0 {
					h.toOwner = nil
				} else {
					h.toBorrowers = nil
				}
			case 9:
				if rapid.IntRange(0, 9).Draw(t, "move") == 0 {
					term++
					h.toBorrowers = nil // The session with the former owner is gone.
					h.startOwner(term)
					h.addWarmServers()
				}
			case 10:
				drained := Rules{DrainedServers: sycamorevane.NewSet("dc-a-v1-0")}
				if rapid.Bool().Draw(t, "back") {
					drained = Rules{}
				}
				h.enqueueLoans(h.owner.SetRules(h.now, drained, time.Time{}))
			}
			h.expectWithinSlots(t, 3)
		}
	})
}

// addWarmServers gives the owner two servers with three slots each, at their full limits.
func (h *harness) addWarmServers() {
	list := servers("dc-a", "v1", 2, 3)
	m := &encoder.SlotHandover{}
	for _, s := range list {
		m.Ramps = append(m.Ramps, &encoder.SlotRamp{Id: s.ID, Limit: 3})
	}
	h.owner.HandleHandover(m)
	h.setServers(list)
}

func (h *harness) expectWithinSlots(t require.TestingT, slots int) {
	running := make(map[string]int)
	for _, list := range h.grants {
		for _, g := range list {
			if running[g.Server.ID]++; running[g.Server.ID] > slots {
				require.Failf(t, "server is overloaded", "%s runs %d requests", g.Server.ID, running[g.Server.ID])
			}
		}
	}
}

// Guards against a cold server that gets more than one request from all entries together.
func TestNewServerGetsOneRequest(t *testing.T) {
	h := newHarness("a", "b", "c")
	h.setServers(servers("dc-a", "v1", 1, 4))
	h.setRules(Rules{})
	h.advance(600 * time.Millisecond)
	for _, name := range h.names() {
		for range 3 {
			h.submit(name, "north")
		}
	}
	h.advance(100 * time.Millisecond)
	require.Equal(t, 1, h.countGrants(func(sycamorevane.Grant) bool { return true }))
}

// Guards against a new owner that lends slots which a borrower of the former owner is still using.
func TestNewOwnerRebuilds(t *testing.T) {
	h := newHarness("a", "b")
	h.setServers(servers("dc-a", "v1", 1, 4))
	h.setRules(Rules{})
	h.warmUp(t)
	for range 4 {
		h.submit("a", "north")
	}
	h.advance(50 * time.Millisecond)
	require.Len(t, h.grants["a"], 4)
	handover := h.owner.RampLimits()
	h.startOwner(2)
	h.owner.HandleHandover(handover)
	h.setServers(servers("dc-a", "v1", 1, 4))
	h.borrowers["a"].OwnerChanged("dc-a")
	for range 4 {
		h.submit("b", "north")
	}
	h.advance(700 * time.Millisecond)
	require.Empty(t, h.grants["b"])
	h.release("a", 0, sycamorevane.OutcomeOK)
	h.advance(20 * time.Millisecond)
	require.Len(t, h.grants["b"], 1)
}

// Guards against slots that are never recovered from a dead borrower, and against lending them again while its
// requests may still run.
func TestDeadBorrower(t *testing.T) {
	h := newHarness("a", "b")
	h.setServers(servers("dc-a", "v1", 1, 2))
	h.setRules(Rules{})
	h.warmUp(t)
	_, e := h.borrowers["a"].Submit(h.now, sycamorevane.Request{
		Service: testService, Workspace: "north", Deadline: h.now.Add(900 * time.Millisecond),
	})
	h.apply("a", e)
	h.advance(110 * time.Millisecond) // The request is reported as running.
	require.Len(t, h.grants["a"], 1)
	delete(h.borrowers, "a")
	diedAt := h.now
	grantedAfter := map[int]time.Duration{}
	for len(h.grants["b"]) < 2 && h.now.Sub(diedAt) < 3*time.Second {
		if len(h.grants["b"])+h.borrowers["b"].waitingCount < 2 {
			h.submit("b", "north")
		}
		h.advance(10 * time.Millisecond)
		if n := len(h.grants["b"]); grantedAfter[n] == 0 {
			grantedAfter[n] = h.now.Sub(diedAt)
		}
	}
	require.LessOrEqual(t, grantedAfter[1], SlotLease+50*time.Millisecond)
	require.GreaterOrEqual(t, grantedAfter[2], 770*time.Millisecond)
	require.LessOrEqual(t, grantedAfter[2], 850*time.Millisecond)
}

// Guards against new requests to drained or draining servers and to drained data centres, including from slots lent
// before the drain.
func TestDrainedGetsNoWork(t *testing.T) {
	list := servers("dc-a", "v1", 2, 4)
	leaving := slices.Clone(list)
	leaving[0].State = sycamorevane.ServerDraining
	cases := []struct {
		name       string
		drain      func(h *harness)
		maxGranted int
	}{
		{"server by an operator", func(h *harness) { h.setRules(Rules{DrainedServers: sycamorevane.NewSet(list[0].ID)}) }, 4},
		{"data centre", func(h *harness) { h.setRules(Rules{DrainedDCs: sycamorevane.NewSet("dc-a")}) }, 0},
		{"announced by the server", func(h *harness) { h.setServers(leaving) }, 4},
		{"server has left", func(h *harness) { h.setServers(list[1:]) }, 4},
		{"version without a share", func(h *harness) { h.setRules(Rules{VersionShares: map[string]float64{"v2": 1}}) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness("a", "b")
			h.setServers(list)
			h.setRules(Rules{})
			h.warmUp(t)
			h.submit("a", "north")
			h.advance(20 * time.Millisecond)
			running := len(h.grants["a"])
			c.drain(h)
			h.deliver()
			before := slices.Clone(h.grants["a"])
			for range 20 {
				h.submit("a", "north")
			}
			h.advance(100 * time.Millisecond)
			require.GreaterOrEqual(t, len(h.grants["a"]), running, "running requests are not cut")
			fresh := h.grants["a"][len(before):]
			require.LessOrEqual(t, len(fresh), c.maxGranted)
			for _, g := range fresh {
				require.NotEqual(t, list[0].ID, g.Server.ID)
			}
		})
	}
}

// Guards against a data centre that gets its full share at once after the end of a drain.
func TestReturnedDataCentreRamps(t *testing.T) {
	h := newHarness("a")
	h.setServers(servers("dc-a", "v1", 4, 4))
	h.setRules(Rules{})
	h.warmUp(t)
	h.enqueueLoans(h.owner.SetRules(h.now, Rules{}, h.now))
	total, _ := h.owner.capacity(h.now)
	require.Equal(t, 4, total)
	h.advance(undrainRampTime / 2)
	for _, s := range h.owner.servers.list {
		s.ramp.limit = 4
	}
	total, _ = h.owner.capacity(h.now)
	require.LessOrEqual(t, total, 10)
	h.advance(undrainRampTime)
	total, _ = h.owner.capacity(h.now)
	require.Equal(t, 16, total)
}

// Guards against a trial version that gets more or far less than its share, and against requests refused because of
// it.
func TestTrialShare(t *testing.T) {
	for _, share := range []float64{0.01, 0.05, 0.5, 1} {
		h := newHarness("a", "b")
		h.setServers(append(servers("dc-a", "v1", 4, 4), servers("dc-a", "v2", 2, 4)...))
		h.setRules(Rules{})
		h.warmUp(t)
		h.setRules(Rules{TrialVersion: "v2", OldVersion: "v1", VersionShares: map[string]float64{"v1": 1 - share, "v2": share}})
		h.advance(100 * time.Millisecond)
		trial, total := 0, 0
		for range 3000 {
			for _, name := range h.names() {
				h.submit(name, "north")
			}
			h.advance(10 * time.Millisecond)
			for _, name := range h.names() {
				for len(h.grants[name]) > 0 {
					if g := h.grants[name][0]; g.Server.Version == "v2" {
						require.True(t, g.Trial)
						trial++
					}
					total++
					h.release(name, 0, sycamorevane.OutcomeOK)
				}
			}
		}
		require.Empty(t, h.refused)
		measured := float64(trial) / float64(total)
		deviation := math.Sqrt(share * (1 - share) / float64(total))
		require.LessOrEqual(t, measured, share+3*deviation, "share %v", share)
		require.GreaterOrEqual(t, measured, share*0.7, "share %v", share)
	}
}

// Guards against an entry that keeps sending requests to a trial version although its own evidence shows the version
// to be bad.
func TestBlockedTrialGetsNoCalls(t *testing.T) {
	h := newHarness("a", "b")
	h.setServers(append(servers("dc-a", "v1", 4, 4), servers("dc-a", "v2", 2, 4)...))
	h.setRules(Rules{})
	h.warmUp(t)
	h.setRules(Rules{TrialVersion: "v2", OldVersion: "v1", VersionShares: map[string]float64{"v1": 0.5, "v2": 0.5}})
	h.advance(100 * time.Millisecond)
	h.borrowers["a"].BlockTrial(true)
	trial := make(map[string]int)
	for range 200 {
		for _, name := range h.names() {
			h.submit(name, "north")
		}
		h.advance(10 * time.Millisecond)
		for _, name := range h.names() {
			for len(h.grants[name]) > 0 {
				if h.grants[name][0].Server.Version == "v2" {
					trial[name]++
				}
				h.release(name, 0, sycamorevane.OutcomeOK)
			}
		}
	}
	require.Zero(t, trial["a"])
	require.Positive(t, trial["b"], "another entry decides for itself")
	require.Empty(t, h.refused)
}

// Guards against requests that wait for the trial version when it has no free slot.
func TestBusyTrialVersionFallsBack(t *testing.T) {
	h := newHarness("a")
	h.setServers(append(servers("dc-a", "v1", 2, 4), servers("dc-a", "v2", 1, 1)...))
	h.setRules(Rules{})
	h.warmUp(t)
	h.setRules(Rules{TrialVersion: "v2", OldVersion: "v1", VersionShares: map[string]float64{"v1": 0.5, "v2": 0.5}})
	h.advance(100 * time.Millisecond)
	for range 8 {
		h.submit("a", "north")
		h.deliver()
	}
	h.advance(20 * time.Millisecond)
	require.GreaterOrEqual(t, len(h.grants["a"]), 8)
	require.LessOrEqual(t, h.countGrants(func(g sycamorevane.Grant) bool { return g.Server.Version == "v2" }), 1)
}

// Guards against late refusals and against refusals without a retry time. A refusal comes at once or, for queued
// requests, before the deadline.
func TestRefusals(t *testing.T) {
	h := newHarness("a")
	h.setServers(servers("dc-a", "v1", 1, 1))
	h.setRules(Rules{})
	h.advance(600 * time.Millisecond)
	for range 70 {
		h.submit("a", "north")
	}
	require.NotEmpty(t, h.refused, "a full queue refuses at once")
	for _, err := range h.refused {
		require.Positive(t, err.RetryAfter)
	}
	h.advance(1100 * time.Millisecond)
	require.Zero(t, h.borrowers["a"].waitingCount, "nothing waits past its deadline")
	require.Len(t, h.grants["a"], 1)
}

// Guards against requests that wait although no data centre has a server.
func TestNoServer(t *testing.T) {
	h := newHarness("a")
	h.setRules(Rules{})
	h.submit("a", "north")
	h.advance(50 * time.Millisecond)
	require.Len(t, h.refused, 1)
	require.Equal(t, refusedNoServer, h.refused[0].Reason)
}

// Guards against a division that leaves capacity unused or gives a workspace more than its demand.
func TestMaxMin(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		var claims []shareClaim
		totalDemand := 0.0
		for i := range rapid.IntRange(1, 6).Draw(t, "workspaces") {
			c := shareClaim{
				name: string(rune('a' + i)), weight: float64(rapid.IntRange(1, 5).Draw(t, "weight")),
				demand: float64(rapid.IntRange(0, 100).Draw(t, "demand")),
			}
			totalDemand += c.demand
			claims = append(claims, c)
		}
		capacity := float64(rapid.IntRange(0, 200).Draw(t, "capacity"))
		shares := weightedMaxMin(capacity, claims)
		sum := 0.0
		for _, p := range claims {
			sum += shares[p.name]
			require.LessOrEqual(t, shares[p.name], p.demand+1e-9)
			for _, q := range claims {
				// A workspace that gets less than its demand gets at least as much per weight as any other.
				if shares[p.name] < p.demand-1e-9 {
					require.GreaterOrEqual(t, shares[p.name]/p.weight, shares[q.name]/q.weight-1e-9)
				}
			}
		}
		require.InDelta(t, min(capacity, totalDemand), sum, 1e-6)
	})
}

// Guards against requests that wait until their deadline for an owner that does not answer, and against a borrower
// that never tries this owner again.
func TestSilentOwner(t *testing.T) {
	h := newHarness("a")
	h.setRules(Rules{})
	owner := h.owner
	h.owner = nil
	h.submit("a", "north")
	h.advance(ownerTimeout + 50*time.Millisecond)
	require.Len(t, h.refused, 1)
	h.submit("a", "north")
	require.Len(t, h.refused, 2, "refused at once")
	h.owner = owner
	h.setServers(servers("dc-a", "v1", 1, 1))
	h.advance(200 * time.Millisecond)
	h.submit("a", "north")
	h.advance(50 * time.Millisecond)
	require.Len(t, h.grants["a"], 1)
}

// Guards against a pool that counts as empty forever because it once had no server.
func TestServersOfEmptyPoolAreFound(t *testing.T) {
	h := newHarness("a")
	h.setRules(Rules{})
	h.submit("a", "north")
	h.advance(50 * time.Millisecond)
	require.Len(t, h.refused, 1)
	h.advance(time.Second)
	h.setServers(servers("dc-a", "v1", 1, 1))
	h.submit("a", "north")
	h.advance(50 * time.Millisecond)
	require.Len(t, h.grants["a"], 1)
}

// Guards against a retry that can never run because it has already failed on the only server.
func TestAvoidedServerIsTheLastChoice(t *testing.T) {
	h := newHarness("a")
	h.setServers(servers("dc-a", "v1", 2, 1))
	h.setRules(Rules{})
	h.advance(600 * time.Millisecond)
	req := sycamorevane.Request{Service: testService, Workspace: "north", ExcludedServers: []string{"dc-a-v1-0"}}
	for range 2 {
		_, e := h.borrowers["a"].Submit(h.now, req)
		h.apply("a", e)
		h.advance(10 * time.Millisecond)
	}
	require.Len(t, h.grants["a"], 1)
	require.Equal(t, "dc-a-v1-1", h.grants["a"][0].Server.ID)
	h.advance(exclusionPeriod + 20*time.Millisecond)
	require.Len(t, h.grants["a"], 2)
}

// Guards against a failing server that attracts requests because its slot is free again sooner than after a
// successful response.
func TestFastFailureKeepsSlot(t *testing.T) {
	for _, kind := range []sycamorevane.OutcomeKind{
		sycamorevane.OutcomeFailed, sycamorevane.OutcomeShed, sycamorevane.OutcomeIncomplete,
	} {
		t.Run(kind.String(), func(t *testing.T) {
			h := newHarness("a")
			h.setServers(servers("dc-a", "v1", 1, 1))
			h.setRules(Rules{})
			h.warmUp(t)
			h.submit("a", "north")
			h.advance(10 * time.Millisecond)
			grant := h.grants["a"][0]
			h.grants["a"] = nil
			h.apply("a", h.borrowers["a"].Release(h.now, grant.ID, sycamorevane.Outcome{Kind: kind, Latency: time.Millisecond}))
			h.submit("a", "north")
			require.Empty(t, h.grants["a"])
			h.advance(20 * time.Millisecond)
			require.Len(t, h.grants["a"], 1)
		})
	}
}

// Guards against a recalled slot that is lent again before the borrower has confirmed that it no longer uses it.
func TestRecalledSlotStaysCharged(t *testing.T) {
	h := newHarness("a", "b")
	h.addWarmServers()
	h.setRules(Rules{})
	h.advance(600 * time.Millisecond)
	for range 6 {
		h.submit("a", "north")
	}
	h.advance(10 * time.Millisecond)
	require.Len(t, h.grants["a"], 6)
	for range 6 {
		h.release("a", 0, sycamorevane.OutcomeOK)
	}
	h.submit("b", "north")
	h.deliverToOwner(len(h.toOwner))
	h.enqueueLoans(h.owner.SetRules(h.now,
		Rules{DrainedServers: sycamorevane.NewSet("dc-a-v1-0", "dc-a-v1-1")}, time.Time{}))
	for range 6 {
		h.submit("a", "north") // The recall has not arrived yet.
	}
	h.enqueueLoans(h.owner.SetRules(h.now, Rules{}, time.Time{}))
	h.deliverToBorrowers(len(h.toBorrowers))
	h.advance(100 * time.Millisecond)
	h.expectWithinSlots(t, 3)
	require.GreaterOrEqual(t, len(h.grants["a"]), 6)
}

// Guards against a missed request of the trial version that is made up for more than once.
func TestTrialCreditIsSpentOnce(t *testing.T) {
	h := newHarness("a")
	h.setServers(append(servers("dc-a", "v1", 2, 4), servers("dc-a", "v2", 2, 4)...))
	h.setRules(Rules{})
	h.warmUp(t)
	h.setRules(Rules{TrialVersion: "v2", OldVersion: "v1", VersionShares: map[string]float64{"v1": 1, "v2": 1e-12}})
	h.borrowers["a"].trialCredit = 1
	for range 8 {
		h.submit("a", "north")
		h.advance(20 * time.Millisecond)
	}
	require.Equal(t, 1, h.countGrants(func(g sycamorevane.Grant) bool { return g.Server.Version == "v2" }))
}

// Guards against requests that are refused although they could be served in time. This happened when earlier requests
// had waited occasionally, one at a time: the interval between such starts does not show how fast a queue moves.
func TestSparseWaitsDoNotSlowTheQueue(t *testing.T) {
	q := &workspaceQueue{}
	now := startTime
	for range 50 {
		q.recordStart(now, now.Add(-time.Millisecond))
		now = now.Add(80 * time.Millisecond)
	}
	require.Zero(t, q.startInterval)
	for range 50 {
		q.recordStart(now, now.Add(-time.Second))
		now = now.Add(2 * time.Millisecond)
	}
	require.InDelta(t, float64(2*time.Millisecond), float64(q.startInterval), float64(time.Millisecond))
}
