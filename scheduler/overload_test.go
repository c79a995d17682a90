package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// callers are callers that ask for requests of the same work.
type callers struct {
	// perSecond is their rate, left the time that they have when they ask.
	perSecond float64
	left      time.Duration
	priority  int
	workspace string

	asked, served, credit float64
	// lastRefused is how long the request had waited that was rejected last after a wait.
	lastRefused time.Duration
}

func (g *callers) share() float64 { return g.served / g.asked }

// load is the load of the groups on a pool whose servers take the expected time.
type testLoad struct {
	work   time.Duration
	groups []*callers
	pool   *Core
	askers map[uint64]*callers
	askAt  map[uint64]time.Time
	ends   map[uint64]time.Time
	grants map[uint64]Decision
	lastID uint64
}

func newTestLoad(work time.Duration, servers int, groups ...*callers) *testLoad {
	return &testLoad{
		work: work, groups: groups, pool: newPool(servers), askers: make(map[uint64]*callers), askAt: make(map[uint64]time.Time),
		ends: make(map[uint64]time.Time), grants: make(map[uint64]Decision),
	}
}

// note records decisions. A request is served if it ends before its deadline.
func (l *testLoad) note(now time.Time, decisions []Decision) {
	for _, d := range decisions {
		g, waited := l.askers[d.ID], now.Sub(l.askAt[d.ID])
		if d.Server == "" {
			if waited > 0 {
				g.lastRefused = max(g.lastRefused, waited)
			}
			continue
		}
		l.grants[d.ID], l.ends[d.ID] = d, now.Add(l.work)
		if waited+l.work <= g.left {
			g.served++
		}
	}
}

func (l *testLoad) ask(now time.Time, g *callers) {
	l.lastID++
	a := ask(l.lastID, now, l.work, g.left)
	a.Priority, a.Workspace = g.priority, g.workspace
	l.askers[a.ID], l.askAt[a.ID] = g, now
	g.asked++
	l.note(now, l.pool.Ask(now, a))
}

// step ends the requests that are due and sends those of one millisecond.
func (l *testLoad) step(now time.Time) {
	for id, end := range l.ends {
		if now.Before(end) {
			continue
		}
		d := l.grants[id]
		delete(l.ends, id)
		delete(l.grants, id)
		l.note(now, l.pool.Finish(now, Finish{Key: d.Key, Server: d.Server, Route: l.work.String(), Latency: l.work, Load: load(1, 1)}))
	}
	for _, g := range l.groups {
		for g.credit += g.perSecond / 1000; g.credit >= 1; g.credit-- {
			l.ask(now, g)
		}
	}
	l.note(now, l.pool.Tick(now))
}

// play runs the load and counts only what comes after a warm-up.
func (l *testLoad) play(warmUp, measured time.Duration) {
	for ms := range int((warmUp + measured).Milliseconds()) {
		if ms == int(warmUp.Milliseconds()) {
			for _, g := range l.groups {
				g.asked, g.served, g.lastRefused = 0, 0, 0
			}
		}
		l.step(at(ms))
	}
}

// requireEqualShares checks that none of the groups is served by more than a tenth less often than the expected share.
func requireEqualShares(t *testing.T, want float64, groups ...*callers) {
	t.Helper()
	for _, g := range groups {
		require.InDelta(t, want, g.share(), 0.1*want, "callers with %v", g.left)
	}
}

// Guards against callers that are served less often than others because they have less time, or more: during overload all
// callers of a priority get equal shares of what the servers can run.
func TestEqualSharesDuringOverload(t *testing.T) {
	const work, servers = 150 * time.Millisecond, 12
	capacity := float64(2*servers) / work.Seconds()
	for _, demand := range []float64{1.5, 3} {
		for _, part := range []float64{0.1, 0.5, 0.9} {
			t.Run(fmt.Sprintf("%v/%v", demand, part), func(t *testing.T) {
				short := &callers{perSecond: part * demand * capacity, left: 1500 * time.Millisecond}
				long := &callers{perSecond: (1 - part) * demand * capacity, left: 3500 * time.Millisecond}
				newTestLoad(work, servers, short, long).play(5*time.Second, 30*time.Second)
				requireEqualShares(t, 1/demand, short, long)
			})
		}
	}
}

// Guards against waits that end in a rejection: what exceeds the capacity is rejected on arrival.
func TestOverloadIsRejectedOnArrival(t *testing.T) {
	const work, servers = 150 * time.Millisecond, 12
	for _, demand := range []float64{1.1, 1.5, 3} {
		g := &callers{perSecond: demand * float64(2*servers) / work.Seconds(), left: 1500 * time.Millisecond}
		newTestLoad(work, servers, g).play(3*time.Second, 10*time.Second)
		require.Zero(t, g.lastRefused, "at %v times the capacity", demand)
		require.InDelta(t, 1/demand, g.share(), 0.05/demand)
	}
}

// Guards against less urgent requests that take the room of more urgent ones, and against a small workspace that is served
// less often than it would be without a large one beside it.
func TestWhomOverloadConcerns(t *testing.T) {
	const work, servers = 150 * time.Millisecond, 12
	capacity := float64(2*servers) / work.Seconds()
	t.Run("priorities", func(t *testing.T) {
		urgent := &callers{perSecond: 0.7 * capacity, left: 1500 * time.Millisecond}
		other := &callers{perSecond: 0.8 * capacity, left: 3500 * time.Millisecond, priority: 1}
		newTestLoad(work, servers, urgent, other).play(5*time.Second, 20*time.Second)
		require.Greater(t, urgent.share(), 0.99)
		require.InDelta(t, 0.3/0.8, other.share(), 0.05)
	})
	t.Run("workspaces", func(t *testing.T) {
		small := &callers{perSecond: 0.2 * capacity, left: 1500 * time.Millisecond, workspace: "small"}
		large := &callers{perSecond: 2 * capacity, left: 1500 * time.Millisecond, workspace: "large"}
		newTestLoad(work, servers, small, large).play(5*time.Second, 20*time.Second)
		require.Greater(t, small.share(), 0.99)
		require.InDelta(t, 0.4, large.share(), 0.04)
	})
}

// Guards against the rejection of requests that can be served: a burst that the servers finish in the time that its callers
// have is served, whatever part of that time it has to wait.
func TestBurstThatFitsIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 10).Draw(t, "servers")
		work := time.Duration(rapid.IntRange(20, 500).Draw(t, "work")) * time.Millisecond
		rounds := rapid.IntRange(1, 12).Draw(t, "rounds")
		spare := time.Duration(rapid.IntRange(1, 5).Draw(t, "spare")) * work
		within := rapid.IntRange(0, 20).Draw(t, "within")
		g := &callers{left: time.Duration(rounds)*work + spare + 50*time.Millisecond}
		l := newTestLoad(work, servers, g)
		for i := range 2 * servers * rounds {
			l.ask(at(i*within/(2*servers*rounds)), g)
		}
		for ms := range g.left.Milliseconds() {
			l.step(at(int(ms) + within))
		}
		require.Equal(t, g.asked, g.served)
	})
}

// Guards against requests that wait although it is known that they cannot be served: the servers run others until it is too
// late, or too much work goes before them.
func TestUnservableIsRejectedAtOnce(t *testing.T) {
	t.Run("long requests run", func(t *testing.T) {
		c := newPool(1)
		for id := range uint64(2) {
			c.Ask(start, ask(1000+id, start, 10*time.Second, time.Minute))
		}
		require.Empty(t, c.Ask(start, ask(1, start, 10*time.Second, time.Minute)))
		c.Tick(at(5))
		decisions := c.Ask(at(6), ask(2, at(6), 100*time.Millisecond, 2*time.Second))
		require.Len(t, decisions, 1)
		require.Empty(t, decisions[0].Server)
		require.Empty(t, c.Ask(at(6), ask(3, at(6), 100*time.Millisecond, 20*time.Second)))
	})
	t.Run("long requests have run", func(t *testing.T) {
		c := newPool(1)
		for id := range uint64(2) {
			c.Ask(start, ask(1000+id, start, 10*time.Second, time.Minute))
		}
		c.Ask(start, lookup(1, start))
		c.Tick(at(5))
		c.Cancel(at(10), key(1))
		for id := range uint64(2) {
			finish(c, at(20), 1000+id, 1)
			c.Ask(at(20), lookup(10+id, at(20)))
		}
		require.Empty(t, c.Ask(at(40), ask(2, at(40), 100*time.Millisecond, 2*time.Second)), "room is expected soon")
	})
	t.Run("too many before it", func(t *testing.T) {
		c := filledPool(t)
		for id := range uint64(10) {
			a := lookup(id, start)
			a.Deadline = at(2000)
			require.Empty(t, c.Ask(start, a))
		}
		a := lookup(50, start)
		a.Deadline, a.Priority = at(500), 1
		decisions := c.Ask(start, a)
		require.Len(t, decisions, 1)
		require.Empty(t, decisions[0].Server)
		require.LessOrEqual(t, decisions[0].RetryAfter, 500*time.Millisecond/3)
	})
	t.Run("servers are lost", func(t *testing.T) {
		c := filledPool(t)
		require.Empty(t, c.Ask(start, lookup(1, start)))
		c.Update(at(10), nil)
		require.Equal(t, ReasonNoServer, c.Tick(at(15))[0].Reason)
	})
}
