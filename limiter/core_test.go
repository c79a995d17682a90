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

// bench connects cores by queues of messages in virtual time, with losses decided by the test.
type bench struct {
	now       time.Time
	owner     *Owner
	borrowers map[string]*Borrower
	grants    map[string][]sycamorevane.Grant
	refused   []*sycamorevane.RefusedError
	toOwner   []parcel
	toBorrow  []parcel
}

type parcel struct {
	name    string
	message proto.Message
}

func newBench(names ...string) *bench {
	b := &bench{now: start, borrowers: make(map[string]*Borrower), grants: make(map[string][]sycamorevane.Grant)}
	b.own(1)
	for i, name := range names {
		r := rand.New(rand.NewPCG(uint64(i), 7))
		c := NewBorrower(testService, "dc-a", uint64(i)+1, picker.Leased{}, r)
		b.borrowers[name] = c
		b.apply(name, c.SetDCs(b.now, map[string]bool{"dc-a": true}))
	}
	return b
}

func (b *bench) own(term uint64) { b.owner = NewOwner(b.now, testService, "dc-a", term) }

func (b *bench) rules(r Rules) {
	for name, c := range b.borrowers {
		b.apply(name, c.SetRules(b.now, r, Settings{Queue: 64, Timeout: time.Second}))
	}
	b.loans(b.owner.SetRules(b.now, r, time.Time{}))
}

func (b *bench) servers(list []sycamorevane.Server) { b.loans(b.owner.SetServers(b.now, list)) }

func (b *bench) loans(list []Loan) {
	for _, l := range list {
		b.toBorrow = append(b.toBorrow, parcel{l.To, l.Message})
	}
}

func (b *bench) apply(name string, e Effects) {
	for _, g := range e.Granted {
		b.grants[name] = append(b.grants[name], g.Grant)
	}
	for _, r := range e.Refused {
		b.refused = append(b.refused, r.Err)
	}
	for _, r := range e.Reports {
		b.toOwner = append(b.toOwner, parcel{name, r.Message})
	}
}

func (b *bench) deliver() {
	for len(b.toOwner) > 0 || len(b.toBorrow) > 0 {
		b.deliverOwner(len(b.toOwner))
		b.deliverBorrow(len(b.toBorrow))
	}
}

func (b *bench) deliverOwner(n int) {
	batch := b.toOwner[:n]
	b.toOwner = slices.Clone(b.toOwner[n:])
	for _, p := range batch {
		if m, ok := p.message.(*encoder.SlotReport); ok && b.owner != nil {
			b.loans(b.owner.Report(b.now, p.name, m))
		}
	}
}

func (b *bench) deliverBorrow(n int) {
	batch := b.toBorrow[:n]
	b.toBorrow = slices.Clone(b.toBorrow[n:])
	for _, p := range batch {
		m, ok := p.message.(*encoder.SlotLoan)
		if c := b.borrowers[p.name]; ok && c != nil {
			b.apply(p.name, c.Loan(b.now, m))
		}
	}
}

// pass lets time pass in steps of 10 ms with all messages delivered at once.
func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(10 * time.Millisecond)
		b.tick()
		b.deliver()
	}
}

func (b *bench) tick() {
	if b.owner != nil {
		b.loans(b.owner.Tick(b.now))
	}
	for _, name := range b.names() {
		b.apply(name, b.borrowers[name].Tick(b.now))
	}
}

func (b *bench) names() []string {
	var names []string
	for name := range b.borrowers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (b *bench) arrive(name, workspace string) {
	_, e := b.borrowers[name].Arrive(b.now, sycamorevane.Request{Service: testService, Workspace: workspace, Method: "GET"})
	b.apply(name, e)
}

func (b *bench) release(name string, i int, kind sycamorevane.OutcomeKind) {
	g := b.grants[name][i]
	b.grants[name] = slices.Delete(b.grants[name], i, i+1)
	b.apply(name, b.borrowers[name].Release(b.now, g.ID, sycamorevane.Outcome{Kind: kind, Latency: 10 * time.Millisecond}))
}

// warm sends requests until all servers have their full limit.
func (b *bench) warm(t require.TestingT) {
	for range 400 {
		for _, name := range b.names() {
			for range 8 {
				b.arrive(name, "north")
			}
		}
		b.pass(10 * time.Millisecond)
		for _, name := range b.names() {
			for len(b.grants[name]) > 0 {
				b.release(name, 0, sycamorevane.OutcomeOK)
			}
		}
		if total, _ := b.owner.capacity(b.now); total == totalSlots(b.owner) {
			b.finish()
			return
		}
	}
	require.Fail(t, "servers do not warm up")
}

// finish ends all requests.
func (b *bench) finish() {
	for range 100 {
		for _, name := range b.names() {
			for len(b.grants[name]) > 0 {
				b.release(name, 0, sycamorevane.OutcomeOK)
			}
		}
		b.pass(20 * time.Millisecond)
	}
	b.refused = nil
}

func totalSlots(o *Owner) int {
	n := 0
	for _, s := range o.servers.list {
		n += s.Slots
	}
	return n
}

func (b *bench) running(match func(g sycamorevane.Grant) bool) int {
	n := 0
	for _, list := range b.grants {
		for _, g := range list {
			if match(g) {
				n++
			}
		}
	}
	return n
}

// Guards against slots that are used twice while messages are lost, late or repeated, borrowers fall silent and
// ownership moves: no server ever runs more requests than it has slots.
func TestSlotsAreNeverUsedTwice(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		b := newBench("a", "b", "c")
		b.full()
		b.rules(Rules{})
		b.pass(600 * time.Millisecond)
		term := uint64(1)
		for range rapid.IntRange(50, 300).Draw(t, "events") {
			name := rapid.SampledFrom(b.names()).Draw(t, "entry")
			switch rapid.IntRange(0, 10).Draw(t, "event") {
			case 0, 1, 2:
				b.arrive(name, rapid.SampledFrom([]string{"north", "south"}).Draw(t, "firm"))
			case 3, 4:
				if len(b.grants[name]) > 0 {
					b.release(name, 0, rapid.SampledFrom([]sycamorevane.OutcomeKind{
						sycamorevane.OutcomeOK, sycamorevane.OutcomeOK, sycamorevane.OutcomeOK, sycamorevane.OutcomeFailed,
						sycamorevane.OutcomeShed, sycamorevane.OutcomeConnectFailed,
					}).Draw(t, "outcome"))
				}
			case 5:
				b.deliverOwner(rapid.IntRange(0, len(b.toOwner)).Draw(t, "reports"))
			case 6:
				b.deliverBorrow(rapid.IntRange(0, len(b.toBorrow)).Draw(t, "loans"))
			case 7:
				b.now = b.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * time.Millisecond)
				b.tick()
			case 8:
				if rapid.IntRange(0, 3).Draw(t, "lose") == 0 {
					b.toOwner = nil
				} else {
					b.toBorrow = nil
				}
			case 9:
				if rapid.IntRange(0, 9).Draw(t, "move") == 0 {
					term++
					b.toBorrow = nil // The session with the former owner is gone.
					b.own(term)
					b.full()
				}
			case 10:
				drained := Rules{Servers: sycamorevane.NewSet("dc-a-v1-0")}
				if rapid.Bool().Draw(t, "back") {
					drained = Rules{}
				}
				b.loans(b.owner.SetRules(b.now, drained, time.Time{}))
			}
			b.expectWithinSlots(t, 3)
		}
	})
}

// full gives the owner two servers of three slots with their full limits.
func (b *bench) full() {
	list := servers("dc-a", "v1", 2, 3)
	m := &encoder.SlotHandover{}
	for _, s := range list {
		m.Ramps = append(m.Ramps, &encoder.SlotRamp{Id: s.ID, Limit: 3})
	}
	b.owner.Handover(m)
	b.servers(list)
}

func (b *bench) expectWithinSlots(t require.TestingT, slots int) {
	busy := make(map[string]int)
	for _, list := range b.grants {
		for _, g := range list {
			if busy[g.Server.ID]++; busy[g.Server.ID] > slots {
				require.Failf(t, "server is overloaded", "%s runs %d requests", g.Server.ID, busy[g.Server.ID])
			}
		}
	}
}

// Guards against a cold server that gets more than one request over all entries together.
func TestNewServerGetsOneRequest(t *testing.T) {
	b := newBench("a", "b", "c")
	b.servers(servers("dc-a", "v1", 1, 4))
	b.rules(Rules{})
	b.pass(600 * time.Millisecond)
	for _, name := range b.names() {
		for range 3 {
			b.arrive(name, "north")
		}
	}
	b.pass(100 * time.Millisecond)
	require.Equal(t, 1, b.running(func(sycamorevane.Grant) bool { return true }))
}

// Guards against an owner that lends slots which a borrower of the former owner still uses.
func TestNewOwnerRebuilds(t *testing.T) {
	b := newBench("a", "b")
	b.servers(servers("dc-a", "v1", 1, 4))
	b.rules(Rules{})
	b.warm(t)
	for range 4 {
		b.arrive("a", "north")
	}
	b.pass(50 * time.Millisecond)
	require.Len(t, b.grants["a"], 4)
	levels := b.owner.Levels()
	b.own(2)
	b.owner.Handover(levels)
	b.servers(servers("dc-a", "v1", 1, 4))
	b.borrowers["a"].OwnerChanged("dc-a")
	for range 4 {
		b.arrive("b", "north")
	}
	b.pass(700 * time.Millisecond)
	require.Empty(t, b.grants["b"])
	b.release("a", 0, sycamorevane.OutcomeOK)
	b.pass(20 * time.Millisecond)
	require.Len(t, b.grants["b"], 1)
}

// Guards against slots that stay lost with a dead borrower, and against lending them while its requests run.
func TestDeadBorrower(t *testing.T) {
	b := newBench("a", "b")
	b.servers(servers("dc-a", "v1", 1, 2))
	b.rules(Rules{})
	b.warm(t)
	_, e := b.borrowers["a"].Arrive(b.now, sycamorevane.Request{
		Service: testService, Workspace: "north", Deadline: b.now.Add(900 * time.Millisecond),
	})
	b.apply("a", e)
	b.pass(110 * time.Millisecond) // The request is reported as running.
	require.Len(t, b.grants["a"], 1)
	delete(b.borrowers, "a")
	began := b.now
	got := map[int]time.Duration{}
	for len(b.grants["b"]) < 2 && b.now.Sub(began) < 3*time.Second {
		if len(b.grants["b"])+b.borrowers["b"].waiting < 2 {
			b.arrive("b", "north")
		}
		b.pass(10 * time.Millisecond)
		if n := len(b.grants["b"]); got[n] == 0 {
			got[n] = b.now.Sub(began)
		}
	}
	require.LessOrEqual(t, got[1], SlotLease+50*time.Millisecond)
	require.GreaterOrEqual(t, got[2], 770*time.Millisecond)
	require.LessOrEqual(t, got[2], 850*time.Millisecond)
}

// Guards against new work on drained or draining servers and drained data centres, also from leased slots.
func TestDrainedGetsNoWork(t *testing.T) {
	list := servers("dc-a", "v1", 2, 4)
	leaving := slices.Clone(list)
	leaving[0].State = sycamorevane.ServerDraining
	cases := []struct {
		name  string
		drain func(b *bench)
		left  int
	}{
		{"server by an operator", func(b *bench) { b.rules(Rules{Servers: sycamorevane.NewSet(list[0].ID)}) }, 4},
		{"data centre", func(b *bench) { b.rules(Rules{DCs: sycamorevane.NewSet("dc-a")}) }, 0},
		{"announced by the server", func(b *bench) { b.servers(leaving) }, 4},
		{"server has left", func(b *bench) { b.servers(list[1:]) }, 4},
		{"version without a share", func(b *bench) { b.rules(Rules{Share: map[string]float64{"v2": 1}}) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench("a", "b")
			b.servers(list)
			b.rules(Rules{})
			b.warm(t)
			b.arrive("a", "north")
			b.pass(20 * time.Millisecond)
			running := len(b.grants["a"])
			c.drain(b)
			b.deliver()
			before := slices.Clone(b.grants["a"])
			for range 20 {
				b.arrive("a", "north")
			}
			b.pass(100 * time.Millisecond)
			require.GreaterOrEqual(t, len(b.grants["a"]), running, "running requests are not cut")
			fresh := b.grants["a"][len(before):]
			require.LessOrEqual(t, len(fresh), c.left)
			for _, g := range fresh {
				require.NotEqual(t, list[0].ID, g.Server.ID)
			}
		})
	}
}

// Guards against a data centre that gets its full share at once after its return.
func TestReturnedDataCentreRamps(t *testing.T) {
	b := newBench("a")
	b.servers(servers("dc-a", "v1", 4, 4))
	b.rules(Rules{})
	b.warm(t)
	b.loans(b.owner.SetRules(b.now, Rules{}, b.now))
	total, _ := b.owner.capacity(b.now)
	require.Equal(t, 4, total)
	b.pass(returnRamp / 2)
	for _, s := range b.owner.servers.list {
		s.ramp.limit = 4
	}
	total, _ = b.owner.capacity(b.now)
	require.LessOrEqual(t, total, 10)
	b.pass(returnRamp)
	total, _ = b.owner.capacity(b.now)
	require.Equal(t, 16, total)
}

// Guards against a trial version with more than its share, and against requests that wait for it.
func TestTrialShare(t *testing.T) {
	for _, share := range []float64{0.01, 0.05, 0.5, 1} {
		b := newBench("a", "b")
		b.servers(append(servers("dc-a", "v1", 4, 4), servers("dc-a", "v2", 2, 4)...))
		b.rules(Rules{})
		b.warm(t)
		b.rules(Rules{Trial: "v2", Old: "v1", Share: map[string]float64{"v1": 1 - share, "v2": share}})
		b.pass(100 * time.Millisecond)
		trial, total := 0, 0
		for range 3000 {
			for _, name := range b.names() {
				b.arrive(name, "north")
			}
			b.pass(10 * time.Millisecond)
			for _, name := range b.names() {
				for len(b.grants[name]) > 0 {
					if g := b.grants[name][0]; g.Server.Version == "v2" {
						require.True(t, g.Trial)
						trial++
					}
					total++
					b.release(name, 0, sycamorevane.OutcomeOK)
				}
			}
		}
		require.Empty(t, b.refused)
		got := float64(trial) / float64(total)
		deviation := math.Sqrt(share * (1 - share) / float64(total))
		require.LessOrEqual(t, got, share+3*deviation, "share %v", share)
		require.GreaterOrEqual(t, got, share*0.7, "share %v", share)
	}
}

// Guards against an entry that goes on sending calls to a trial version that its own evidence has shown to be bad.
func TestBlockedTrialGetsNoCalls(t *testing.T) {
	b := newBench("a", "b")
	b.servers(append(servers("dc-a", "v1", 4, 4), servers("dc-a", "v2", 2, 4)...))
	b.rules(Rules{})
	b.warm(t)
	b.rules(Rules{Trial: "v2", Old: "v1", Share: map[string]float64{"v1": 0.5, "v2": 0.5}})
	b.pass(100 * time.Millisecond)
	b.borrowers["a"].Block(true)
	trial := make(map[string]int)
	for range 200 {
		for _, name := range b.names() {
			b.arrive(name, "north")
		}
		b.pass(10 * time.Millisecond)
		for _, name := range b.names() {
			for len(b.grants[name]) > 0 {
				if b.grants[name][0].Server.Version == "v2" {
					trial[name]++
				}
				b.release(name, 0, sycamorevane.OutcomeOK)
			}
		}
	}
	require.Zero(t, trial["a"])
	require.Positive(t, trial["b"], "another entry decides for itself")
	require.Empty(t, b.refused)
}

// Guards against requests that wait for a trial version without a free slot.
func TestBusyTrialVersionFallsBack(t *testing.T) {
	b := newBench("a")
	b.servers(append(servers("dc-a", "v1", 2, 4), servers("dc-a", "v2", 1, 1)...))
	b.rules(Rules{})
	b.warm(t)
	b.rules(Rules{Trial: "v2", Old: "v1", Share: map[string]float64{"v1": 0.5, "v2": 0.5}})
	b.pass(100 * time.Millisecond)
	for range 8 {
		b.arrive("a", "north")
		b.deliver()
	}
	b.pass(20 * time.Millisecond)
	require.GreaterOrEqual(t, len(b.grants["a"]), 8)
	require.LessOrEqual(t, b.running(func(g sycamorevane.Grant) bool { return g.Server.Version == "v2" }), 1)
}

// Guards against late or untruthful refusals: each comes at once or while queued before the deadline, with a time.
func TestRefusals(t *testing.T) {
	b := newBench("a")
	b.servers(servers("dc-a", "v1", 1, 1))
	b.rules(Rules{})
	b.pass(600 * time.Millisecond)
	for range 70 {
		b.arrive("a", "north")
	}
	require.NotEmpty(t, b.refused, "a full queue refuses at once")
	for _, err := range b.refused {
		require.Positive(t, err.RetryAfter)
	}
	b.pass(1100 * time.Millisecond)
	require.Zero(t, b.borrowers["a"].waiting, "nothing waits past its deadline")
	require.Len(t, b.grants["a"], 1)
}

// Guards against requests that are kept waiting when no data centre has a server.
func TestNoServer(t *testing.T) {
	b := newBench("a")
	b.rules(Rules{})
	b.arrive("a", "north")
	b.pass(50 * time.Millisecond)
	require.Len(t, b.refused, 1)
	require.Equal(t, refusedServer, b.refused[0].Reason)
}

// Guards against a division that leaves capacity unused or gives a workspace more than it asked for.
func TestMaxMin(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		var parties []claimant
		want := 0.0
		for i := range rapid.IntRange(1, 6).Draw(t, "firms") {
			c := claimant{
				name: string(rune('a' + i)), weight: float64(rapid.IntRange(1, 5).Draw(t, "weight")),
				demand: float64(rapid.IntRange(0, 100).Draw(t, "demand")),
			}
			want += c.demand
			parties = append(parties, c)
		}
		capacity := float64(rapid.IntRange(0, 200).Draw(t, "capacity"))
		share := maxMin(capacity, parties)
		sum := 0.0
		for _, p := range parties {
			sum += share[p.name]
			require.LessOrEqual(t, share[p.name], p.demand+1e-9)
			for _, q := range parties {
				// Whoever lacks something has at least as much per weight as anybody else.
				if share[p.name] < p.demand-1e-9 {
					require.GreaterOrEqual(t, share[p.name]/p.weight, share[q.name]/q.weight-1e-9)
				}
			}
		}
		require.InDelta(t, min(capacity, want), sum, 1e-6)
	})
}

// Guards against requests that wait until their deadline for an owner that does not answer, and against never asking
// it again.
func TestSilentOwner(t *testing.T) {
	b := newBench("a")
	b.rules(Rules{})
	owner := b.owner
	b.owner = nil
	b.arrive("a", "north")
	b.pass(answerTime + 50*time.Millisecond)
	require.Len(t, b.refused, 1)
	b.arrive("a", "north")
	require.Len(t, b.refused, 2, "refused at once")
	b.owner = owner
	b.servers(servers("dc-a", "v1", 1, 1))
	b.pass(200 * time.Millisecond)
	b.arrive("a", "north")
	b.pass(50 * time.Millisecond)
	require.Len(t, b.grants["a"], 1)
}

// Guards against a pool that counts as empty for good because it once had no server.
func TestServersOfEmptyPoolAreFound(t *testing.T) {
	b := newBench("a")
	b.rules(Rules{})
	b.arrive("a", "north")
	b.pass(50 * time.Millisecond)
	require.Len(t, b.refused, 1)
	b.pass(time.Second)
	b.servers(servers("dc-a", "v1", 1, 1))
	b.arrive("a", "north")
	b.pass(50 * time.Millisecond)
	require.Len(t, b.grants["a"], 1)
}

// Guards against a retry that can never run because the only server has failed it.
func TestAvoidedServerIsTheLastChoice(t *testing.T) {
	b := newBench("a")
	b.servers(servers("dc-a", "v1", 2, 1))
	b.rules(Rules{})
	b.pass(600 * time.Millisecond)
	ask := sycamorevane.Request{Service: testService, Workspace: "north", ExcludedServers: []string{"dc-a-v1-0"}}
	for range 2 {
		_, e := b.borrowers["a"].Arrive(b.now, ask)
		b.apply("a", e)
		b.pass(10 * time.Millisecond)
	}
	require.Len(t, b.grants["a"], 1)
	require.Equal(t, "dc-a-v1-1", b.grants["a"][0].Server.ID)
	b.pass(avoidTime + 20*time.Millisecond)
	require.Len(t, b.grants["a"], 2)
}

// Guards against a slot of a failing server that is free again sooner than a good answer would have made it.
func TestFastFailureKeepsSlot(t *testing.T) {
	for _, kind := range []sycamorevane.OutcomeKind{
		sycamorevane.OutcomeFailed, sycamorevane.OutcomeShed, sycamorevane.OutcomeIncomplete,
	} {
		t.Run(kind.String(), func(t *testing.T) {
			b := newBench("a")
			b.servers(servers("dc-a", "v1", 1, 1))
			b.rules(Rules{})
			b.warm(t)
			b.arrive("a", "north")
			b.pass(10 * time.Millisecond)
			g := b.grants["a"][0]
			b.grants["a"] = nil
			b.apply("a", b.borrowers["a"].Release(b.now, g.ID, sycamorevane.Outcome{Kind: kind, Latency: time.Millisecond}))
			b.arrive("a", "north")
			require.Empty(t, b.grants["a"])
			b.pass(20 * time.Millisecond)
			require.Len(t, b.grants["a"], 1)
		})
	}
}

// Guards against a recalled slot that is lent again before the borrower has confirmed that it does not use it.
func TestRecalledSlotStaysCharged(t *testing.T) {
	b := newBench("a", "b")
	b.full()
	b.rules(Rules{})
	b.pass(600 * time.Millisecond)
	for range 6 {
		b.arrive("a", "north")
	}
	b.pass(10 * time.Millisecond)
	require.Len(t, b.grants["a"], 6)
	for range 6 {
		b.release("a", 0, sycamorevane.OutcomeOK)
	}
	b.arrive("b", "north")
	b.deliverOwner(len(b.toOwner))
	b.loans(b.owner.SetRules(b.now, Rules{Servers: sycamorevane.NewSet("dc-a-v1-0", "dc-a-v1-1")}, time.Time{}))
	for range 6 {
		b.arrive("a", "north") // Before the recall arrives.
	}
	b.loans(b.owner.SetRules(b.now, Rules{}, time.Time{}))
	b.deliverBorrow(len(b.toBorrow))
	b.pass(100 * time.Millisecond)
	b.expectWithinSlots(t, 3)
	require.GreaterOrEqual(t, len(b.grants["a"]), 6)
}

// Guards against a missed request of the trial version that is made up for more than once.
func TestTrialCreditIsSpentOnce(t *testing.T) {
	b := newBench("a")
	b.servers(append(servers("dc-a", "v1", 2, 4), servers("dc-a", "v2", 2, 4)...))
	b.rules(Rules{})
	b.warm(t)
	b.rules(Rules{Trial: "v2", Old: "v1", Share: map[string]float64{"v1": 1, "v2": 1e-12}})
	b.borrowers["a"].credit = 1
	for range 8 {
		b.arrive("a", "north")
		b.pass(20 * time.Millisecond)
	}
	require.Equal(t, 1, b.running(func(g sycamorevane.Grant) bool { return g.Server.Version == "v2" }))
}

// Guards against requests refused for want of time because earlier ones waited now and then, one at a time: the time
// between such starts says nothing about how fast a queue moves.
func TestSparseWaitsDoNotSlowTheQueue(t *testing.T) {
	q := &workspaceQueue{}
	now := start
	for range 50 {
		q.started(now, now.Add(-time.Millisecond))
		now = now.Add(80 * time.Millisecond)
	}
	require.Zero(t, q.gap)
	for range 50 {
		q.started(now, now.Add(-time.Second))
		now = now.Add(2 * time.Millisecond)
	}
	require.InDelta(t, float64(2*time.Millisecond), float64(q.gap), float64(time.Millisecond))
}
