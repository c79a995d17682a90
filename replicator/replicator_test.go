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
	"sycamorevane.example/sycamorevane/reporter"
)

// Guards against a cluster that cannot elect a leader, commit or read, and against the loss of commands in a restart.
func TestElectCommitRestart(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, "a", "b", "c")
	leader := cl.awaitLeader()
	want := commandIDs("first", 20)
	for i, id := range want {
		cl.mustPropose(append(cl.others(leader), leader)[i%3], id)
	}
	for _, n := range cl.nodes {
		cl.requireCommands(n, want)
	}
	for _, name := range []string{"a", "b", "c"} {
		cl.restart(name)
		cl.requireCommands(cl.nodes[name], want)
	}
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// requireSteppedDown waits until a host without a majority no longer considers itself leader, and checks that it serves
// neither reads nor commands.
func requireSteppedDown(t *testing.T, n *node) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, self, _ := n.Leader()
		return !self
	}, 5*time.Second, 5*time.Millisecond)
	var notLeader *sycamorevane.NotLeaderError
	_, err := n.ReadIndex(shortContext(t))
	require.True(t, errors.As(err, &notLeader), "read: %v", err)
	_, err = n.Propose(shortContext(t), []byte("never"))
	require.True(t, errors.As(err, &notLeader), "command: %v", err)
}

// Guards against commands that are lost or applied twice under faults. Each case causes a fault in a cluster of three
// hosts that has committed the commands in done, and returns the commands that it committed itself.
func TestFaults(t *testing.T) {
	cases := []struct {
		name string
		do   func(t *testing.T, cl *cluster, done []string) []string
	}{
		{"leader dies", func(_ *testing.T, cl *cluster, _ []string) []string {
			old := cl.kill(cl.awaitLeader().name)
			cl.mustPropose(cl.awaitLeader(), "x")
			cl.startHost(old.name, old.dir, nil)
			cl.connectAll()
			return []string{"x"}
		}},
		{"leader stops on purpose", func(_ *testing.T, cl *cluster, _ []string) []string {
			old := cl.awaitLeader()
			old.Close()
			cl.awaitSuccessor(old)
			cl.restart(old.name)
			return nil
		}},
		{"leader cut off for long returns", func(t *testing.T, cl *cluster, _ []string) []string {
			old := cl.awaitLeader()
			old.disconnected.Store(true)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			// The host still considers itself leader, so the outcome of the command is unknown.
			_, err := old.Propose(ctx, []byte("x"))
			var uncertain *UncertainCommitError
			require.True(t, errors.As(err, &uncertain), "error %v", err)
			requireSteppedDown(t, old)
			cl.mustPropose(cl.awaitLeader(), "x")
			time.Sleep(2 * time.Second)
			old.disconnected.Store(false)
			cl.mustPropose(old, "x")
			return []string{"x"}
		}},
		{"follower cut off for long returns", func(t *testing.T, cl *cluster, _ []string) []string {
			n := cl.others(cl.awaitLeader())[0]
			n.disconnected.Store(true)
			time.Sleep(3 * time.Second)
			requireSteppedDown(t, n)
			cl.mustPropose(cl.awaitLeader(), "x")
			n.disconnected.Store(false)
			return []string{"x"}
		}},
		{"second host lost right after a repair", func(t *testing.T, cl *cluster, done []string) []string {
			cl.kill(cl.others(cl.awaitLeader())[0].name)
			cl.startHost("d", t.TempDir(), nil)
			cl.connectAll()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			stopped := stoppedMember(cl)
			require.NoError(t, cl.others(cl.awaitLeader())[0].Replace(ctx, stopped, "d"))
			cl.kill(cl.awaitLeader().name)
			cl.mustPropose(cl.awaitLeader(), "x")
			cl.requireCommands(cl.nodes["d"], append(slices.Clone(done), "x"))
			require.NoError(t, cl.nodes["d"].Replace(ctx, stopped, "d"), "repeated after it was complete")
			require.Error(t, cl.nodes["d"].Replace(ctx, "nobody", "e"))
			return []string{"x"}
		}},
		{"leader is replaced", func(t *testing.T, cl *cluster, _ []string) []string {
			old := cl.awaitLeader()
			follower := cl.others(old)[0]
			cl.startHost("d", t.TempDir(), nil)
			cl.connectAll()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			require.NoError(t, follower.Replace(ctx, old.name, "d"))
			cl.kill(old.name)
			names := make([]string, 0, 3)
			for _, m := range cl.awaitLeader().Members() {
				require.True(t, m.Voter)
				names = append(names, m.Name)
			}
			require.NotContains(t, names, old.name)
			require.Contains(t, names, "d")
			return nil
		}},
		{"disk of a follower is full", func(t *testing.T, cl *cluster, _ []string) []string {
			n := cl.others(cl.awaitLeader())[0]
			n.fs.diskFull.Store(true)
			cl.mustPropose(cl.awaitLeader(), "x")
			require.Eventually(t, func() bool { return n.currentStatus().failed }, 5*time.Second, 5*time.Millisecond)
			require.Contains(t, n.logs.text(), "no longer votes")
			require.Contains(t, n.logs.text(), errFull.Error())
			cl.mustPropose(n, "y") // The host still forwards commands.
			_, err := n.ReadIndex(t.Context())
			require.ErrorContains(t, err, "store of host")
			cl.restart(n.name)
			return []string{"x", "y"}
		}},
		{"disk of the leader is full", func(_ *testing.T, cl *cluster, _ []string) []string {
			old := cl.awaitLeader()
			old.fs.diskFull.Store(true)
			cl.mustPropose(cl.others(old)[0], "x")
			cl.awaitSuccessor(old)
			require.Contains(cl.t, old.logs.text(), "no longer votes")
			cl.restart(old.name)
			return []string{"x"}
		}},
		{"all hosts killed at once after 500 commands", func(_ *testing.T, cl *cluster, _ []string) []string {
			want := commandIDs("burst", 500)
			var wg sync.WaitGroup
			for i := range 10 {
				wg.Go(func() {
					for _, id := range want[i*50 : i*50+50] {
						cl.mustPropose(cl.nodes["a"], id)
					}
				})
			}
			wg.Wait()
			var dead []*node
			for _, name := range []string{"a", "b", "c"} {
				cl.nodes[name].disconnected.Store(true)
			}
			for _, name := range []string{"a", "b", "c"} {
				dead = append(dead, cl.kill(name))
			}
			for _, n := range dead {
				cl.startHost(n.name, n.dir, nil)
			}
			cl.connectAll()
			return want
		}},
		{"voter returns without its disk", func(t *testing.T, cl *cluster, done []string) []string {
			leader := cl.awaitLeader()
			n := cl.kill(cl.others(leader)[0].name)
			other := cl.others(leader)[0]
			cl.mustPropose(leader, "x")
			cl.startHost(n.name, t.TempDir(), []string{"a", "b", "c"})
			cl.connectAll()
			n = cl.nodes[n.name]
			cl.requireCommands(n, append(slices.Clone(done), "x"))
			require.Contains(t, leader.logs.text(), "without its log")
			require.Eventually(t, func() bool { return !n.currentStatus().recovering }, 5*time.Second, 5*time.Millisecond)
			cl.kill(leader.name)
			cl.mustPropose(cl.awaitLeader(), "y") // The new leader needs the vote of the host that has caught up.
			cl.requireCommands(other, append(slices.Clone(done), "x", "y"))
			return []string{"x", "y"}
		}},
		{"reads while leaders change", func(t *testing.T, cl *cluster, done []string) []string {
			var mu sync.Mutex
			acked := slices.Clone(done)
			var extra []string
			stop := make(chan struct{})
			var wg sync.WaitGroup
			for _, n := range []*node{cl.nodes["a"], cl.nodes["b"], cl.nodes["c"]} {
				wg.Go(func() {
					for i := 0; ; i++ {
						select {
						case <-stop:
							return
						default:
						}
						id := n.name + commandIDs("", i+1)[i]
						cl.mustPropose(n, id)
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
							assert.Subset(t, n.machine.appliedCommands(), want, "read on %s", n.name)
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
				old := cl.awaitLeader()
				old.disconnected.Store(true)
				cl.awaitSuccessor(old)
				old.disconnected.Store(false)
				cl.awaitLeader()
			}
			close(stop)
			wg.Wait()
			return extra
		}},
		{"empty host joins by a snapshot in chunks", func(t *testing.T, cl *cluster, _ []string) []string {
			// More data than the leader retains in memory for replicas that are behind.
			want := commandIDs("more"+strings.Repeat("p", catchUpLogBytes/100), 200)
			for _, id := range want {
				cl.mustPropose(cl.awaitLeader(), id)
			}
			old := cl.kill(cl.others(cl.awaitLeader())[0].name)
			n := cl.startHost("d", t.TempDir(), nil)
			cl.connectAll()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			require.NoError(t, cl.awaitLeader().Replace(ctx, old.name, "d"))
			require.Contains(t, n.logs.text(), "snapshot received")
			return want
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reporter.SkipKnownFailures(t)
			t.Parallel()
			cl := newCluster(t, "a", "b", "c")
			done := commandIDs("before", 5)
			for _, id := range done {
				cl.mustPropose(cl.awaitLeader(), id)
			}
			done = append(done, c.do(t, cl, done)...)
			for _, n := range cl.nodes {
				cl.requireCommands(n, done)
				require.Zero(t, n.machine.duplicates(), "commands applied twice")
			}
		})
	}
}

// stoppedMember returns the name of a member that is not running.
func stoppedMember(cl *cluster) string {
	for _, m := range cl.awaitLeader().Members() {
		if cl.nodes[m.Name] == nil {
			return m.Name
		}
	}
	return ""
}

// Guards against hosts that never vote again after their disks were full for a while. After two of three hosts had a
// full disk, the cluster would have no majority.
func TestFullDisksHaveRoomAgain(t *testing.T) {
	cl := newClusterWith(t, true, "a", "b", "c")
	done := []string{"x"}
	cl.mustPropose(cl.awaitLeader(), "x")
	cl.awaitVoters()
	for range 3 {
		n := cl.awaitLeader()
		n.fs.diskFull.Store(true)
		id := fmt.Sprint("full-", n.name, len(done))
		cl.mustPropose(cl.others(n)[0], id)
		done = append(done, id)
		require.Eventually(t, func() bool { return n.currentStatus().failed }, 5*time.Second, time.Millisecond)
		n.fs.diskFull.Store(false)
		require.Eventually(t, func() bool { return !n.currentStatus().failed }, 5*time.Second, 5*time.Millisecond)
		cl.awaitLeader()
	}
	for _, n := range cl.nodes {
		cl.requireCommands(n, done)
		require.Zero(t, n.machine.duplicates())
		require.LessOrEqual(t, n.machine.repeatedCommands, 3, "only resent commands are committed twice")
	}
}

// awaitVoters waits until no host recovers its log. A host that has just started has a blank log, as one that has lost its
// disk, and votes only together with all others until a leader confirms that it has caught up.
func (cl *cluster) awaitVoters() {
	cl.t.Helper()
	require.Eventually(cl.t, func() bool {
		for _, n := range cl.nodes {
			if n.currentStatus().recovering {
				return false
			}
		}
		return true
	}, 10*time.Second, time.Millisecond, "hosts that have just started do not vote")
}

// Guards against elections that are never decided because a candidate gives up before slow disks have stored the votes.
func TestSlowDisksElectALeader(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, "a", "b", "c")
			cl.mustPropose(cl.awaitLeader(), "x")
			cl.awaitVoters()
			for _, n := range cl.nodes {
				n.fs.syncDelay.Store(int64(delay))
			}
			old := cl.awaitLeader()
			old.disconnected.Store(true)
			require.Eventually(t, func() bool {
				for _, n := range cl.others(old) {
					if name, _, _ := n.Leader(); name != "" && name != old.name {
						return true
					}
				}
				return false
			}, 15*time.Second, 5*time.Millisecond, "no leader")
			cl.mustPropose(cl.others(old)[0], "y")
			for _, n := range cl.nodes {
				n.fs.syncDelay.Store(0)
			}
			old.disconnected.Store(false)
			cl.requireCommands(old, []string{"x", "y"})
		})
	}
}

// Guards against a call that never returns on a host that has no majority.
func TestNoQuorum(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, "a", "b", "c")
	cl.awaitLeader()
	cl.kill("b")
	cl.kill("c")
	requireSteppedDown(t, cl.nodes["a"])
	require.Error(t, cl.nodes["a"].Replace(shortContext(t), "b", "d"))
}

// Guards against a single voter that waits for other voters.
func TestSingleHost(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, "a")
	cl.mustPropose(cl.awaitLeader(), "x")
	cl.requireCommands(cl.restart("a"), []string{"x"})
}

// Guards against a read that returns before this host has applied all commands that the leader had committed.
func TestReadWaitsForApply(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, "a", "b", "c")
	leader := cl.awaitLeader()
	slow := cl.others(leader)[0]
	slow.machine.applyDelayNanos.Store(int64(30 * time.Millisecond))
	for _, id := range commandIDs("x", 10) {
		cl.mustPropose(leader, id)
		_, err := slow.ReadIndex(t.Context())
		require.NoError(t, err)
		require.Contains(t, slow.machine.appliedCommands(), id)
	}
}
