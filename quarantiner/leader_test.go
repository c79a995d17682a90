package quarantiner

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/faker"
)

// controlGroup has two control hosts that share committed quarantines, and entries that report to the leader.
type controlGroup struct {
	*simulation
	collectors []*Collector

	mu          sync.Mutex
	term        uint64
	leader      int
	quarantined map[string]int64
	leaving     sycamorevane.Set[string]
}

func newControlGroup(t *testing.T, entries int, retention time.Duration) *controlGroup {
	g := &controlGroup{
		simulation:  &simulation{t: t, mesh: faker.NewMesh(), dead: make(map[string]bool), serversCrashed: make(map[uint64]int)},
		quarantined: make(map[string]int64), leaving: sycamorevane.NewSet[string](), term: 1,
	}
	for i := range 2 {
		c := NewCollector(CollectorConfig{
			Transport: g.mesh.AddPeer(fmt.Sprint("c", i)), IsLeader: func() bool { return g.isLeader(i) }, Quarantined: g.committed,
			Submit: g.commit, Retention: retention, Log: logr.Discard(),
		})
		c.Start()
		t.Cleanup(c.Close)
		g.collectors = append(g.collectors, c)
	}
	for i := range entries {
		name := fmt.Sprint("e", i)
		g.names = append(g.names, name)
		q := New(Config{
			Self: name, Transport: g.mesh.AddPeer(name), Leader: g.leaderName, Retention: retention, Log: logr.Discard(),
			IsLeaving: func(s sycamorevane.Server) bool { return g.leaving.Has(s.ID) },
		})
		q.lockWait = 0
		q.isDead = func(addr string) bool { return g.dead[addr] }
		q.SetTerm(1)
		q.Start()
		g.entries = append(g.entries, q)
	}
	t.Cleanup(g.close)
	return g
}

func (g *controlGroup) isLeader(i int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader == i
}

func (g *controlGroup) leaderName() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprint("c", g.leader)
}

// changeLeader ends the leader with what it knows. The entries learn of the next one.
func (g *controlGroup) changeLeader() {
	g.mu.Lock()
	g.mesh.Kill(fmt.Sprint("c", g.leader))
	g.leader++
	g.term++
	term := g.term
	g.mu.Unlock()
	for _, q := range g.entries {
		q.SetTerm(term)
	}
}

func (g *controlGroup) committed() map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	copied := make(map[string]int64)
	for fingerprint, at := range g.quarantined {
		copied[fingerprint] = at
	}
	return copied
}

func (g *controlGroup) commit(quarantined, released []string) error {
	g.mu.Lock()
	for _, fingerprint := range quarantined {
		g.quarantined[fingerprint] = 1
	}
	for _, fingerprint := range released {
		delete(g.quarantined, fingerprint)
	}
	g.mu.Unlock()
	for _, q := range g.entries {
		q.SetQuarantined(g.committed())
	}
	return nil
}

// crash runs the request on a new server, which crashes, through the entry. It returns false if the entry refuses the request.
func (g *controlGroup) crash(entry int, fingerprint uint64) bool {
	g.firstServer++
	s := testServer(g.firstServer)
	if !g.send(entry, fingerprint, s) {
		return false
	}
	g.dead[s.ID] = true
	g.serversCrashed[fingerprint]++
	g.endRequest(len(g.inFlight) - 1)
	return true
}

func (g *controlGroup) expectRefused(fingerprint uint64) {
	for _, q := range g.entries {
		expectStatus(g.t, q, fingerprint, quarantined)
	}
}

func expectStatus(t require.TestingT, q *Quarantiner, fingerprint uint64, want status) {
	require.Eventually(t, func() bool { return q.status(fingerprint) == want }, 5*time.Second, time.Millisecond, "%s: status %d", q.cfg.Self, want)
}

// Guards against a request that crashes a server through each entry before one of them refuses it.
func TestTwoDeathsAtDifferentEntriesQuarantine(t *testing.T) {
	for _, entries := range []int{2, 16, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			g := newControlGroup(t, entries, time.Minute)
			require.True(t, g.crash(0, poisonRequest))
			require.True(t, g.crash(1, poisonRequest))
			for i := range g.entries {
				g.expectRefusedNow(i)
			}
			require.Equal(t, quarantineThreshold, g.serversCrashed[poisonRequest])
		})
	}
}

func (g *controlGroup) expectRefusedNow(entry int) {
	g.t.Helper()
	expectStatus(g.t, g.entries[entry], poisonRequest, quarantined)
	require.False(g.t, g.crash(entry, poisonRequest))
}

// Guards against evidence that is lost with the leader: the second death is reported to a new one.
func TestNextLeaderLearnsOfEarlierDeaths(t *testing.T) {
	g := newControlGroup(t, 3, time.Minute)
	require.True(t, g.crash(0, poisonRequest))
	g.changeLeader()
	require.True(t, g.crash(1, poisonRequest))
	g.expectRefused(poisonRequest)
}

// Guards against an entry without a control leader that goes on by itself and loses more servers than with one, and against
// deaths that are forgotten until there is a leader again.
func TestEntryWithoutLeader(t *testing.T) {
	g := newControlGroup(t, 2, time.Minute)
	g.mesh.Partition(1, "e0")
	require.True(t, g.crash(0, poisonRequest))
	require.True(t, g.crash(0, poisonRequest))
	require.False(t, g.crash(0, poisonRequest))
	require.Equal(t, unsuspected, g.entries[1].status(poisonRequest))
	g.mesh.Partition(0, "e0")
	g.expectRefused(poisonRequest)
}

// Guards against copies of a suspect that run at the same time on one entry.
func TestSuspectRunsOnceOnAnEntry(t *testing.T) {
	g := newControlGroup(t, 1, time.Minute)
	require.True(t, g.crash(0, poisonRequest))
	require.True(t, g.send(0, poisonRequest, testServer(100)))
	require.False(t, g.send(0, poisonRequest, testServer(101)))
	g.endRequest(0)
	require.True(t, g.send(0, poisonRequest, testServer(102)), "a response has cleared it")
	g.endRequest(0)
}

// Guards against a popular request that stays quarantined because servers died under it at several entries for another reason.
func TestResponseElsewhereEndsAQuarantine(t *testing.T) {
	t.Run("before the deaths", func(t *testing.T) {
		g := newControlGroup(t, 3, time.Minute)
		require.True(t, g.send(2, popularRequest, testServer(100)))
		g.endRequest(0)
		expectEndOfQuarantine(t, g)
	})
	t.Run("after the deaths", func(t *testing.T) {
		g := newControlGroup(t, 3, time.Minute)
		require.True(t, g.send(2, popularRequest, testServer(100)))
		require.True(t, g.crash(0, popularRequest))
		require.True(t, g.crash(1, popularRequest))
		g.expectRefused(popularRequest)
		g.endRequest(0)
		for _, q := range g.entries {
			expectStatus(t, q, popularRequest, unsuspected)
		}
	})
}

func expectEndOfQuarantine(t *testing.T, g *controlGroup) {
	t.Helper()
	require.True(t, g.crash(0, popularRequest))
	require.True(t, g.crash(1, popularRequest))
	require.Eventually(t, func() bool { return len(g.committed()) == 0 }, 5*time.Second, time.Millisecond)
	for _, q := range g.entries {
		expectStatus(t, q, popularRequest, unsuspected)
	}
}

// Guards against the quarantine of requests that ran beside the one that crashes servers.
func TestNeighboursOfACulpritAreServed(t *testing.T) {
	g := newControlGroup(t, 4, time.Minute)
	for i := range quarantineThreshold {
		g.firstServer++
		s := testServer(g.firstServer)
		require.True(t, g.send(0, poisonRequest, s))
		require.True(t, g.send(i+1, uint64(i+1), s))
		g.dead[s.ID] = true
		g.endRequest(0)
		g.endRequest(0)
	}
	g.expectRefused(poisonRequest)
	g.expectNotQuarantined(1, 2)
	for i := range quarantineThreshold {
		require.True(t, g.send(i+1, uint64(i+1), testServer(100+i)))
	}
}

// Guards against a quarantine that lasts longer than its retention.
func TestQuarantineEnds(t *testing.T) {
	g := newControlGroup(t, 2, 300*time.Millisecond)
	require.True(t, g.crash(0, poisonRequest))
	require.True(t, g.crash(1, poisonRequest))
	g.expectRefused(poisonRequest)
	for _, q := range g.entries {
		expectStatus(t, q, poisonRequest, unsuspected)
	}
	require.Empty(t, g.committed())
}

// Guards against a death that is not noticed because the server is back at its address at once, and against a planned stop that
// counts as one.
func TestReplacedServer(t *testing.T) {
	for _, isLeaving := range []bool{false, true} {
		t.Run(fmt.Sprint("leaving=", isLeaving), func(t *testing.T) {
			g := newControlGroup(t, 1, time.Minute)
			q := g.entries[0]
			first := testServer(1)
			if isLeaving {
				first.State = sycamorevane.ServerDraining
			}
			q.ServersChanged([]sycamorevane.Server{first})
			p, err := q.Admit(t.Context(), poisonRequest)
			require.NoError(t, err)
			require.True(t, p.Start(first))
			died := p.End(first, sycamorevane.OutcomeIncomplete)
			p.Done()
			require.False(t, died, "connections are accepted again")
			second := testServer(2)
			second.Addr = first.Addr
			q.ServersChanged([]sycamorevane.Server{second})
			if !isLeaving {
				expectStatus(t, q, poisonRequest, suspect)
				return
			}
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, unsuspected, q.status(poisonRequest))
		})
	}
}

// Guards against a server that counts as dead although it accepts connections, for example after it has reset one.
func TestOnlyRefusedConnectionsShowADeath(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.False(t, refusesConnections(l.Addr().String()))
	require.NoError(t, l.Close())
	require.True(t, refusesConnections(l.Addr().String()))
	require.False(t, refusesConnections("127.0.0.1:99999"), "the attempt fails for another reason")
}

// Guards against requests that are blamed for a server to which a connection could not be opened although it runs, as in a network
// partition, and against a server that has died and is noticed by a failed connection only.
func TestFailedConnection(t *testing.T) {
	for _, isDead := range []bool{false, true} {
		t.Run(fmt.Sprint("dead=", isDead), func(t *testing.T) {
			g := newControlGroup(t, 1, time.Minute)
			s := testServer(1)
			require.True(t, g.send(0, 1, s))
			g.dead[s.ID] = isDead
			p, err := g.entries[0].Admit(t.Context(), 2)
			require.NoError(t, err)
			require.True(t, p.Start(s))
			require.False(t, p.End(s, sycamorevane.OutcomeConnectFailed))
			p.Done()
			if isDead {
				expectStatus(t, g.entries[0], 1, suspect)
			}
			time.Sleep(20 * time.Millisecond)
			require.Equal(t, unsuspected, g.entries[0].status(2), "was not sent")
			if !isDead {
				require.Equal(t, unsuspected, g.entries[0].status(1))
			}
		})
	}
}

// Guards against a planned stop that cuts requests and counts as a death under them.
func TestAnnouncedStopIsNoDeath(t *testing.T) {
	g := newControlGroup(t, 1, time.Minute)
	s := testServer(1)
	g.leaving.Add(s.ID)
	require.True(t, g.send(0, 1, s))
	g.dead[s.ID] = true
	g.endRequest(0)
	require.Equal(t, unsuspected, g.entries[0].status(1))
}
