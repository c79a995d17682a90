package replicator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/reporter"
)

// roomAgainTime is how long after the last disk has room again changes may go unanswered and hosts unread.
const roomAgainTime = 5 * time.Second

// Guards against hosts that take no further part after their disks were full one after the other, never two at once: after the
// third of five, no majority would vote. The orders of the hosts differ, and so does what fails on a full disk.
func TestDisksFullInTurn(t *testing.T) {
	if testing.Short() {
		t.Skip("fills 30 disks for up to a second each; included in the full test run")
	}
	for kind := range int32(failureKinds) {
		t.Run(fmt.Sprint("kind ", kind), func(t *testing.T) {
			reporter.SkipKnownFailures(t)
			t.Parallel()
			fillDisksInTurn(t, kind, rand.New(rand.NewPCG(uint64(kind), 7)))
		})
	}
}

func fillDisksInTurn(t *testing.T, kind int32, r *rand.Rand) {
	names := []string{"a", "b", "c", "d", "e"}
	cl := newClusterWith(t, true, names...)
	cl.mustPropose(cl.awaitLeader(), "first")
	cl.awaitVoters()
	stop := cl.proposeContinuously(r.Uint64())
	for _, i := range r.Perm(len(names)) {
		n := cl.nodes[names[i]]
		if r.IntN(2) == 0 {
			n = cl.awaitLeader()
		}
		n.fs.failing.Store(kind)
		n.fs.diskFull.Store(true)
		time.Sleep(300*time.Millisecond + time.Duration(r.IntN(900))*time.Millisecond)
		n.fs.diskFull.Store(false)
		time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
	}
	since := time.Now()
	for _, name := range names {
		cl.expectAvailable(cl.nodes[name], since.Add(roomAgainTime))
	}
	want := append(stop(), "first")
	for _, name := range names {
		want = append(want, "last-"+name)
	}
	for _, name := range names {
		cl.requireAcknowledged(cl.nodes[name], want)
	}
}

// proposeContinuously proposes commands through all hosts until the returned function is called, which returns those that were
// acknowledged.
func (cl *cluster) proposeContinuously(seed uint64) (stop func() []string) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var acknowledged []string
	for i := range 3 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			for k := 0; ctx.Err() == nil; k++ {
				id := fmt.Sprintf("command-%d-%d", i, k)
				n := cl.nodes[[]string{"a", "b", "c", "d", "e"}[r.IntN(5)]]
				proposeCtx, cancel := context.WithTimeout(ctx, time.Second)
				_, err := n.Propose(proposeCtx, []byte(id))
				cancel()
				if err == nil {
					mu.Lock()
					acknowledged = append(acknowledged, id)
					mu.Unlock()
				}
				time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
			}
		})
	}
	stop = func() []string {
		cancel()
		wg.Wait()
		return acknowledged
	}
	cl.t.Cleanup(func() { stop() })
	return stop
}

// expectAvailable checks that the host takes a command and can be read before the deadline.
func (cl *cluster) expectAvailable(n *node, deadline time.Time) {
	cl.t.Helper()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	_, err := n.Propose(ctx, []byte("last-"+n.name))
	for ; err != nil && sleep(ctx, requestRetryInterval); _, err = n.Propose(ctx, []byte("last-"+n.name)) {
	}
	require.NoError(cl.t, err, "%s takes no change", n.name)
	_, err = n.ReadIndex(ctx)
	for ; err != nil && sleep(ctx, requestRetryInterval); _, err = n.ReadIndex(ctx) {
	}
	require.NoError(cl.t, err, "%s cannot be read", n.name)
}

// requireAcknowledged checks that the host has applied each acknowledged command once.
func (cl *cluster) requireAcknowledged(n *node, acknowledged []string) {
	cl.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), roomAgainTime)
	defer cancel()
	_, err := n.ReadIndex(ctx)
	require.NoError(cl.t, err)
	require.Subset(cl.t, n.machine.appliedCommands(), acknowledged, "host %s", n.name)
	require.Zero(cl.t, n.machine.duplicates())
}
