package replicator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// Guards against a group that cannot elect, commit or read, and against loss of commands at a restart.
func TestElectCommitRestart(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	leader := g.leader()
	want := ids("first", 20)
	for i, id := range want {
		g.put(append(g.others(leader), leader)[i%3], id)
	}
	for _, n := range g.nodes {
		g.expectAll(n, want)
	}
	for _, name := range []string{"a", "b", "c"} {
		g.restart(name)
		g.expectAll(g.nodes[name], want)
	}
}

func short(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// expectDeposed waits until a cut off host knows that it does not lead, and checks that it answers nothing.
func expectDeposed(t *testing.T, n *node) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, self, _ := n.Leader()
		return !self
	}, 5*time.Second, 5*time.Millisecond)
	var other *sycamorevane.NotLeaderError
	_, err := n.ReadIndex(short(t))
	require.True(t, errors.As(err, &other), "read: %v", err)
	_, err = n.Propose(short(t), []byte("never"))
	require.True(t, errors.As(err, &other), "command: %v", err)
}

// Each case breaks a group of three that holds the commands in done, and returns those that it committed itself.
func TestFaults(t *testing.T) {
	cases := []struct {
		name string
		do   func(t *testing.T, g *group, done []string) []string
	}{
		{"leader dies", func(_ *testing.T, g *group, _ []string) []string {
			old := g.kill(g.leader().name)
			g.put(g.leader(), "x")
			g.open(old.name, old.dir, nil)
			g.connect()
			return []string{"x"}
		}},
		{"leader stops on purpose", func(_ *testing.T, g *group, _ []string) []string {
			old := g.leader()
			old.Close()
			g.succeeded(old)
			g.restart(old.name)
			return nil
		}},
		{"leader cut off for long returns", func(t *testing.T, g *group, _ []string) []string {
			old := g.leader()
			old.cut.Store(true)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			// Proposed while the host still takes itself for the leader: the outcome is unknown.
			_, err := old.Propose(ctx, []byte("x"))
			var lost *UncertainError
			require.True(t, errors.As(err, &lost), "error %v", err)
			expectDeposed(t, old)
			g.put(g.leader(), "x")
			time.Sleep(2 * time.Second)
			old.cut.Store(false)
			g.put(old, "x")
			return []string{"x"}
		}},
		{"follower cut off for long returns", func(t *testing.T, g *group, _ []string) []string {
			n := g.others(g.leader())[0]
			n.cut.Store(true)
			time.Sleep(3 * time.Second)
			expectDeposed(t, n)
			g.put(g.leader(), "x")
			n.cut.Store(false)
			return []string{"x"}
		}},
		{"second host lost right after a repair", func(t *testing.T, g *group, done []string) []string {
			g.kill(g.others(g.leader())[0].name)
			g.open("d", t.TempDir(), nil)
			g.connect()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			lost := missing(g)
			require.NoError(t, g.others(g.leader())[0].Replace(ctx, lost, "d"))
			g.kill(g.leader().name)
			g.put(g.leader(), "x")
			g.expectAll(g.nodes["d"], append(slices.Clone(done), "x"))
			require.NoError(t, g.nodes["d"].Replace(ctx, lost, "d"), "sent again after it was done")
			require.Error(t, g.nodes["d"].Replace(ctx, "nobody", "e"))
			return []string{"x"}
		}},
		{"leader is replaced", func(t *testing.T, g *group, _ []string) []string {
			old := g.leader()
			follower := g.others(old)[0]
			g.open("d", t.TempDir(), nil)
			g.connect()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			require.NoError(t, follower.Replace(ctx, old.name, "d"))
			g.kill(old.name)
			names := make([]string, 0, 3)
			for _, m := range g.leader().Members() {
				require.True(t, m.Voter)
				names = append(names, m.Name)
			}
			require.NotContains(t, names, old.name)
			require.Contains(t, names, "d")
			return nil
		}},
		{"disk of a follower is full", func(t *testing.T, g *group, _ []string) []string {
			n := g.others(g.leader())[0]
			n.fs.full.Store(true)
			g.put(g.leader(), "x")
			require.Eventually(t, func() bool { return n.read().failed }, 5*time.Second, 5*time.Millisecond)
			require.Contains(t, n.logs.text(), "no longer votes")
			require.Contains(t, n.logs.text(), errFull.Error())
			g.put(n, "y") // Commands are still forwarded.
			_, err := n.ReadIndex(t.Context())
			require.ErrorContains(t, err, "store of host")
			g.restart(n.name)
			return []string{"x", "y"}
		}},
		{"disk of the leader is full", func(_ *testing.T, g *group, _ []string) []string {
			old := g.leader()
			old.fs.full.Store(true)
			g.put(g.others(old)[0], "x")
			g.succeeded(old)
			require.Contains(g.t, old.logs.text(), "no longer votes")
			g.restart(old.name)
			return []string{"x"}
		}},
		{"all hosts killed at once after 500 commands", func(_ *testing.T, g *group, _ []string) []string {
			want := ids("burst", 500)
			var wg sync.WaitGroup
			for i := range 10 {
				wg.Go(func() {
					for _, id := range want[i*50 : i*50+50] {
						g.put(g.nodes["a"], id)
					}
				})
			}
			wg.Wait()
			var dead []*node
			for _, name := range []string{"a", "b", "c"} {
				g.nodes[name].cut.Store(true)
			}
			for _, name := range []string{"a", "b", "c"} {
				dead = append(dead, g.kill(name))
			}
			for _, n := range dead {
				g.open(n.name, n.dir, nil)
			}
			g.connect()
			return want
		}},
		{"voter returns without its disk", func(t *testing.T, g *group, done []string) []string {
			leader := g.leader()
			n := g.kill(g.others(leader)[0].name)
			other := g.others(leader)[0]
			g.put(leader, "x")
			g.open(n.name, t.TempDir(), []string{"a", "b", "c"})
			g.connect()
			n = g.nodes[n.name]
			g.expectAll(n, append(slices.Clone(done), "x"))
			require.Contains(t, leader.logs.text(), "without its log")
			require.Eventually(t, func() bool { return !n.read().recovering }, 5*time.Second, 5*time.Millisecond)
			g.kill(leader.name)
			g.put(g.leader(), "y") // Needs the vote of the host that has caught up.
			g.expectAll(other, append(slices.Clone(done), "x", "y"))
			return []string{"x", "y"}
		}},
		{"reads while leaders change", func(t *testing.T, g *group, done []string) []string {
			var mu sync.Mutex
			acked := slices.Clone(done)
			var extra []string
			stop := make(chan struct{})
			var wg sync.WaitGroup
			for _, n := range []*node{g.nodes["a"], g.nodes["b"], g.nodes["c"]} {
				wg.Go(func() {
					for i := 0; ; i++ {
						select {
						case <-stop:
							return
						default:
						}
						id := n.name + ids("", i+1)[i]
						g.put(n, id)
						mu.Lock()
						acked, extra = append(acked, id), append(extra, id)
						mu.Unlock()
					}
				})
				wg.Go(func() {
					for reads := 0; ; reads++ {
						mu.Lock()
						want := slices.Clone(acked)
						mu.Unlock()
						ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
						_, err := n.ReadIndex(ctx)
						cancel()
						if err == nil {
							assert.Subset(t, n.machine.list(), want, "read on %s", n.name)
						}
						select {
						case <-stop:
							return
						default:
						}
					}
				})
			}
			for range 2 {
				old := g.leader()
				old.cut.Store(true)
				g.succeeded(old)
				old.cut.Store(false)
				g.leader()
			}
			close(stop)
			wg.Wait()
			return extra
		}},
		{"empty host joins by a snapshot in chunks", func(t *testing.T, g *group, _ []string) []string {
			// More than the leader keeps in memory for replicas that are behind.
			want := ids("more"+strings.Repeat("p", keepBytes/100), 200)
			for _, id := range want {
				g.put(g.leader(), id)
			}
			old := g.kill(g.others(g.leader())[0].name)
			n := g.open("d", t.TempDir(), nil)
			g.connect()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			require.NoError(t, g.leader().Replace(ctx, old.name, "d"))
			require.Contains(t, n.logs.text(), "snapshot received")
			return want
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, "a", "b", "c")
			done := ids("before", 5)
			for _, id := range done {
				g.put(g.leader(), id)
			}
			done = append(done, c.do(t, g, done)...)
			for _, n := range g.nodes {
				g.expectAll(n, done)
				require.Zero(t, n.machine.doubles(), "commands in the ledger twice")
			}
		})
	}
}

// missing returns the member that is not running.
func missing(g *group) string {
	for _, m := range g.leader().Members() {
		if g.nodes[m.Name] == nil {
			return m.Name
		}
	}
	return ""
}

// Guards against a call that never returns on a host without a group.
// Guards against hosts that stay without a vote after their disks were full for a while, until two of three are lost.
func TestFullDisksHaveRoomAgain(t *testing.T) {
	g := newGroupWith(t, true, "a", "b", "c")
	done := []string{"x"}
	g.put(g.leader(), "x")
	for range 3 {
		n := g.leader()
		n.fs.full.Store(true)
		id := fmt.Sprint("full-", n.name, len(done))
		g.put(g.others(n)[0], id)
		done = append(done, id)
		require.Eventually(t, func() bool { return n.read().failed }, 5*time.Second, time.Millisecond)
		n.fs.full.Store(false)
		require.Eventually(t, func() bool { return !n.read().failed }, 5*time.Second, 5*time.Millisecond)
		g.leader()
	}
	for _, n := range g.nodes {
		g.expectAll(n, done)
		require.Zero(t, n.machine.doubles())
		require.LessOrEqual(t, n.machine.repeats, 3, "only commands that were sent again come twice")
	}
}

func TestNoQuorum(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	g.leader()
	g.kill("b")
	g.kill("c")
	expectDeposed(t, g.nodes["a"])
	require.Error(t, g.nodes["a"].Replace(short(t), "b", "d"))
}

// Guards against a single voter that waits for others.
func TestSingleHost(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a")
	g.put(g.leader(), "x")
	g.expectAll(g.restart("a"), []string{"x"})
}

// Guards against a read that returns before this host has applied what the leader had committed.
func TestReadWaitsForApply(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	leader := g.leader()
	slow := g.others(leader)[0]
	slow.machine.delay.Store(int64(30 * time.Millisecond))
	for _, id := range ids("x", 10) {
		g.put(leader, id)
		_, err := slow.ReadIndex(t.Context())
		require.NoError(t, err)
		require.Contains(t, slow.machine.list(), id)
	}
}
