package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
)

const testDrain = 2 * time.Second

func newNoticeCore(entries ...cataloger.ServerRecord) *core {
	c := newTestCore(entries...)
	c.bounds.Drain = testDrain
	c.update(entries)
	return c
}

var leaves = sycamorevane.ServerDirective{Leaving: true}

// Guards against requests to a server that has said in an answer that it leaves.
func TestLeavingServer(t *testing.T) {
	x, y := entry("x", "a", "v1"), entry("y", "b", "v1")
	at := func(d time.Duration) *view { return newView(start.Add(d)) }

	t.Run("gets nothing while another one can be used", func(t *testing.T) {
		c := newNoticeCore(x, y)
		require.True(t, c.applyDirective(start, "x", leaves))
		for range 50 {
			require.Equal(t, "y", c.pickID(at(0), newRequest()))
		}
		for range 20 {
			if got := c.pick(at(0), newRequest()); got.server != nil {
				require.Equal(t, "y", got.server.entry.Server.ID, "also when the other one is full")
				c.start(start, got.server)
			}
		}
	})
	t.Run("is used for a while when there is no other one", func(t *testing.T) {
		c := newNoticeCore(x)
		c.applyDirective(start, "x", leaves)
		require.Equal(t, "x", c.pickID(at(0), newRequest()))
		require.Empty(t, c.pickID(at(testDrain/2), newRequest()), "requests on their way need the rest of the time")
	})
	t.Run("stays so", func(t *testing.T) {
		c := newNoticeCore(x)
		c.applyDirective(start, "x", leaves)
		later := at(testDrain)
		c.update(nil)
		c.update([]cataloger.ServerRecord{x})
		require.Empty(t, c.pickID(later, newRequest()), "it was missing in the catalog")
		ready := x
		ready.Sequence, ready.ReportedAt = 9, later.now
		c.update([]cataloger.ServerRecord{ready})
		require.Empty(t, c.pickID(later, newRequest()), "it reports as ready")
		require.False(t, c.applyDirective(later.now, "x", leaves), "it says so again")
		require.Empty(t, c.pickID(later, newRequest()))
		c.applyDirective(start.Add(time.Minute), "y", leaves)
		require.Empty(t, c.pickID(at(time.Minute), newRequest()))
	})
	t.Run("may start again", func(t *testing.T) {
		c := newNoticeCore(x)
		c.applyDirective(start, "x", leaves)
		again := entry("x@2", "a", "v1")
		again.Server.InstanceName = "x"
		c.update([]cataloger.ServerRecord{again})
		require.Equal(t, "x@2", c.pickID(at(testDrain), newRequest()))
	})
	t.Run("of a single version", func(t *testing.T) {
		c := newNoticeCore(x, entry("z", "a", "v2"))
		c.applyDirective(start, "x", leaves)
		v := at(0)
		v.state.ServingVersions = map[string]string{"s": "v1"}
		require.Equal(t, "x", c.pickID(v, newRequest()))
	})
	t.Run("is not asked for its load", func(t *testing.T) {
		st := newState()
		d := newTestDispatcher(st, x)
		d.core.update([]cataloger.ServerRecord{x})
		d.core.pool("s").asked = time.Now()
		require.NotEmpty(t, d.DueProbes(time.Now()))
		d.HandleProbeResult(time.Now(), "x", ProbeResult{Answered: true, ColdRemaining: -1})
		d.HandleDirective("x", leaves)
		d.core.pool("s").asked = time.Now()
		require.Empty(t, d.DueProbes(time.Now().Add(time.Second/2)))
	})
}

// Guards against requests to a server that has asked for none for a while.
func TestServerThatAskedForNoRequests(t *testing.T) {
	x, y := entry("x", "a", "v1"), entry("y", "b", "v1")
	pause := sycamorevane.ServerDirective{Pause: 3 * time.Second}

	t.Run("it gets none until then", func(t *testing.T) {
		c := newNoticeCore(x, y)
		require.True(t, c.applyDirective(start, "x", pause))
		require.False(t, c.applyDirective(start, "x", sycamorevane.ServerDirective{Pause: time.Second}), "a shorter time changes nothing")
		for after := time.Duration(0); after < pause.Pause; after += 100 * time.Millisecond {
			require.Equal(t, "y", c.pickID(newView(start.Add(after)), newRequest()))
		}
		found := false
		for range 50 {
			found = found || c.pickID(newView(start.Add(pause.Pause)), newRequest()) == "x"
		}
		require.True(t, found)
	})
	t.Run("without another one requests are refused at once until then", func(t *testing.T) {
		d := newTestDispatcher(newState(), x)
		d.Update()
		d.HandleDirective("x", pause)
		began := time.Now()
		_, err := d.Acquire(context.Background(), deadlineAsk(time.Second))
		refused := expectRefused(t, err)
		require.Less(t, time.Since(began), 20*time.Millisecond)
		require.InDelta(t, pause.Pause.Seconds(), refused.RetryAfter.Seconds(), 1)
		require.GreaterOrEqual(t, refused.RetryAfter, pause.Pause-100*time.Millisecond)
	})
	t.Run("requests that wait already are refused, too", func(t *testing.T) {
		d := newTestDispatcher(newState(), x)
		d.Update()
		for range 3 {
			_, err := d.Acquire(context.Background(), deadlineAsk(time.Second))
			require.NoError(t, err)
		}
		ended := make(chan error, 1)
		go func() {
			_, err := d.Acquire(context.Background(), deadlineAsk(10*time.Second))
			ended <- err
		}()
		require.Eventually(t, func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return len(d.queue["s"]) == 1
		}, time.Second, time.Millisecond)
		d.HandleDirective("x", pause)
		select {
		case err := <-ended:
			expectRefused(t, err)
		case <-time.After(200 * time.Millisecond):
			t.Fatal("the request still waits")
		}
	})
	t.Run("it is not asked for its load", func(t *testing.T) {
		d := newTestDispatcher(newState(), x)
		d.Update()
		d.core.pool("s").asked = time.Now()
		d.HandleDirective("x", pause)
		require.Empty(t, d.DueProbes(time.Now()))
		d.core.byID["x"].tells = true
		quiet, list := d.quiet(time.Now(), "x")
		require.True(t, quiet)
		require.Empty(t, list)
	})
}

func deadlineAsk(d time.Duration) sycamorevane.Request {
	return sycamorevane.Request{Service: "s", Route: "r", Deadline: time.Now().Add(d)}
}

// Guards against a server that is only silent, or slow to report, and loses its running work for it: its requests go on, and
// others go there while no other server can take them.
func TestSilentServerKeepsItsWork(t *testing.T) {
	x := entry("x", "a", "v1")
	c := newNoticeCore(x)
	grant := c.start(start, c.byID["x"])
	x.LeaseExpired = true
	c.update([]cataloger.ServerRecord{x})
	require.Equal(t, "x", c.pickID(newView(start), newRequest()))
	require.Contains(t, c.byID["x"].started, grant)
	s, paused := c.finish(start.Add(10*time.Second), "s", "x", grant, sycamorevane.Outcome{Kind: sycamorevane.OutcomeOK, Latency: 10 * time.Second})
	require.NotNil(t, s)
	require.False(t, paused)
	require.Empty(t, s.started)
}
