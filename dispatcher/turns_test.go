package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
)

// newFullDispatcher returns a dispatcher whose only server is full, and the grants of its requests.
func newFullDispatcher(workspaces ...string) (*Dispatcher, []uint64) {
	record := newRecord("x", "a", "v1")
	record.ReportedAt = time.Now()
	st := newState()
	for _, name := range workspaces {
		st.Config.Workspaces = append(st.Config.Workspaces, sycamorevane.Workspace{Name: name, Weight: 1})
	}
	d := newTestDispatcher(st, []cataloger.ServerRecord{record}...)
	var grants []uint64
	for range 3 {
		grants = append(grants, d.core.startRequest(time.Now(), d.core.byID["x"]))
	}
	return d, grants
}

// enqueueRequest adds a waiting request of a workspace. All requests can be in time and have not waited for long.
func enqueueRequest(d *Dispatcher, now time.Time, workspace string, priority int) *waiter {
	w := &waiter{result: make(chan placement, 1), latestStart: now.Add(time.Minute), req: &sycamorevane.Request{
		Service: "s", Route: "r", Workspace: workspace, Priority: priority, Deadline: now.Add(time.Minute),
	}}
	d.enqueue(w)
	w.queuedAt = now
	return w
}

// serveAll ends one request at a time and returns the waiting requests in the order in which they are served.
func serveAll(t *testing.T, d *Dispatcher, now time.Time, grants []uint64, waiters []*waiter) []*waiter {
	t.Helper()
	var order []*waiter
	for range waiters {
		require.NotEmpty(t, grants)
		d.core.finishRequest(now, "s", "x", grants[0], sycamorevane.Outcome{Kind: sycamorevane.OutcomeCancelled})
		grants = grants[1:]
		d.serveQueue(now, "s")
		for _, w := range waiters {
			select {
			case p := <-w.result:
				require.NoError(t, p.err)
				order = append(order, w)
				grants = append(grants, p.grant.ID)
			default:
			}
		}
	}
	return order
}

func workspacesOf(waiters []*waiter) (names []string) {
	for _, w := range waiters {
		names = append(names, fmt.Sprintf("%s%d", w.req.Workspace, w.req.Priority))
	}
	return names
}

// Guards against a workspace with many waiting requests that delays the few requests of others, and against turns that
// override priorities.
func TestWorkspacesAreServedInTurn(t *testing.T) {
	now := time.Now()
	add := func(d *Dispatcher) []*waiter {
		var waiters []*waiter
		for _, r := range []struct {
			workspace string
			priority  int
		}{{"a", 1}, {"a", 1}, {"a", 1}, {"a", 1}, {"b", 1}, {"b", 1}, {"", 1}, {"c", 2}, {"a", 2}, {"c", 0}} {
			waiters = append(waiters, enqueueRequest(d, now, r.workspace, r.priority))
		}
		return waiters
	}
	d, grants := newFullDispatcher("a", "b", "c")
	require.Equal(t, []string{"c0", "a1", "b1", "1", "a1", "b1", "a1", "a1", "c2", "a2"}, workspacesOf(serveAll(t, d, now, grants, add(d))))
	require.Empty(t, d.core.pool("s").turns.lastServed, "no turns are kept without waiting requests")

	t.Run("without workspaces the order of arrival holds", func(t *testing.T) {
		d, grants := newFullDispatcher()
		waiters := add(d)
		want := slices.Clone(waiters)
		slices.SortStableFunc(want, func(a, b *waiter) int { return a.req.Priority - b.req.Priority })
		require.Equal(t, workspacesOf(want), workspacesOf(serveAll(t, d, now, grants, waiters)))
		require.Nil(t, d.core.pool("s").turns.lastServed)
	})
	t.Run("the turn continues when requests arrive", func(t *testing.T) {
		d, grants := newFullDispatcher("a", "b")
		waiters := []*waiter{enqueueRequest(d, now, "a", 1), enqueueRequest(d, now, "a", 1), enqueueRequest(d, now, "a", 1)}
		d.core.finishRequest(now, "s", "x", grants[0], sycamorevane.Outcome{Kind: sycamorevane.OutcomeCancelled})
		d.serveQueue(now, "s")
		first := <-waiters[0].result
		waiters = append(waiters[1:], enqueueRequest(d, now, "b", 1))
		require.Equal(t, []string{"b1", "a1", "a1"}, workspacesOf(serveAll(t, d, now, append(grants[1:], first.grant.ID), waiters)))
	})
}

// Guards against a workspace that gets two requests served while another one of the same priority waits, with random
// arrivals of workspaces and priorities.
func TestTurnsAreFair(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var queue []*waiter
		var order turns
		// servedWhileWaiting counts the requests that others got since a workspace has been waiting.
		servedWhileWaiting := make(map[turnKey]map[turnKey]int)
		for range 300 {
			if r.IntN(2) == 0 || len(queue) == 0 {
				// The smaller of two draws makes some workspaces much larger than others.
				name := string(rune('a' + min(r.IntN(5), r.IntN(5))))
				queue = append(queue, &waiter{req: &sycamorevane.Request{Workspace: name, Priority: r.IntN(2)}})
				continue
			}
			slices.SortStableFunc(queue, func(a, b *waiter) int { return a.req.Priority - b.req.Priority })
			list := slices.Clone(queue)
			order.sort(list)
			served := turnOf(list[0].req)
			order.recordServed(list[0].req)
			queue = slices.DeleteFunc(queue, func(w *waiter) bool { return w == list[0] })
			delete(servedWhileWaiting, served)
			waiting := make(map[turnKey]bool)
			for _, w := range queue {
				require.GreaterOrEqual(t, w.req.Priority, served.priority)
				if key := turnOf(w.req); key != served && key.priority == served.priority {
					waiting[key] = true
				}
			}
			for key := range waiting {
				if servedWhileWaiting[key] == nil {
					servedWhileWaiting[key] = make(map[turnKey]int)
				}
				servedWhileWaiting[key][served]++
				require.Equal(t, 1, servedWhileWaiting[key][served], "seed %d: %v waits while %v is served again", seed, key, served)
			}
		}
	}
}

// Guards against a workspace that fills the queue and so keeps the requests of others out.
func TestFullQueueMakesRoomForOtherWorkspaces(t *testing.T) {
	now := time.Now()
	fill := func(d *Dispatcher) []*waiter {
		var waiters []*waiter
		for i := range maxQueued {
			waiters = append(waiters, enqueueRequest(d, now, "a", 1+i%2))
		}
		return waiters
	}
	acquire := func(d *Dispatcher, workspace string, priority int) error {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		_, err := d.Acquire(ctx, sycamorevane.Request{
			Service: "s", Route: "r", Workspace: workspace, Priority: priority, Deadline: now.Add(time.Minute),
		})
		return err
	}
	d, _ := newFullDispatcher("a", "b")
	waiters := fill(d)
	require.ErrorIs(t, acquire(d, "b", 2), context.DeadlineExceeded, "it waits")
	p := <-waiters[maxQueued-1].result
	require.Equal(t, "queue is full of requests of its workspace", expectRefused(t, p.err).Reason)
	require.Len(t, d.queue["s"], maxQueued-1, "the request that gave up has left the queue")

	enqueueRequest(d, now, "a", 2)
	require.Equal(t, "queue is full", expectRefused(t, acquire(d, "a", 1)).Reason, "the workspace itself gets no more room")
	require.Equal(t, "queue is full", expectRefused(t, acquire(d, "b", 3)).Reason, "more urgent requests do not give way")
	d, _ = newFullDispatcher()
	fill(d)
	require.Equal(t, "queue is full", expectRefused(t, acquire(d, "b", 1)).Reason, "as before without workspaces")
}
