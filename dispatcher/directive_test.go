package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
)

const testDrainTime = 2 * time.Second

func newDirectiveCore(records ...cataloger.ServerRecord) *core {
	c := newTestCore(records...)
	c.bounds.DrainTime = testDrainTime
	c.update(records)
	return c
}

var leavingDirective = sycamorevane.ServerDirective{Leaving: true}

// Guards against requests to a server that has announced in a response that it is leaving.
func TestLeavingServer(t *testing.T) {
	x, y := newRecord("x", "a", "v1"), newRecord("y", "b", "v1")
	at := func(d time.Duration) *view { return newView(start.Add(d)) }

	t.Run("gets nothing while another one can be used", func(t *testing.T) {
		c := newDirectiveCore(x, y)
		require.True(t, c.applyDirective(start, "x", leavingDirective))
		for range 50 {
			require.Equal(t, "y", c.pickID(at(0), newRequest()))
		}
		for range 20 {
			if got := c.pick(at(0), newRequest()); got.server != nil {
				require.Equal(t, "y", got.server.record.Server.ID, "even when the other one is full")
				c.startRequest(start, got.server)
			}
		}
	})
	t.Run("is used for a while when there is no other one", func(t *testing.T) {
		c := newDirectiveCore(x)
		c.applyDirective(start, "x", leavingDirective)
		require.Equal(t, "x", c.pickID(at(0), newRequest()))
		require.Empty(t, c.pickID(at(testDrainTime/2), newRequest()), "the rest of the time is for requests under way")
	})
	t.Run("stays so", func(t *testing.T) {
		c := newDirectiveCore(x)
		c.applyDirective(start, "x", leavingDirective)
		later := at(testDrainTime)
		c.update(nil)
		c.update([]cataloger.ServerRecord{x})
		require.Empty(t, c.pickID(later, newRequest()), "it was missing from the catalog for a while")
		ready := x
		ready.Sequence, ready.ReportedAt = 9, later.now
		c.update([]cataloger.ServerRecord{ready})
		require.Empty(t, c.pickID(later, newRequest()), "it reports as ready")
		require.False(t, c.applyDirective(later.now, "x", leavingDirective), "it announces it again")
		require.Empty(t, c.pickID(later, newRequest()))
		c.applyDirective(start.Add(time.Minute), "y", leavingDirective)
		require.Empty(t, c.pickID(at(time.Minute), newRequest()))
	})
	t.Run("may start again", func(t *testing.T) {
		c := newDirectiveCore(x)
		c.applyDirective(start, "x", leavingDirective)
		again := newRecord("x@2", "a", "v1")
		again.Server.InstanceName = "x"
		c.update([]cataloger.ServerRecord{again})
		require.Equal(t, "x@2", c.pickID(at(testDrainTime), newRequest()))
	})
	t.Run("of a single version", func(t *testing.T) {
		c := newDirectiveCore(x, newRecord("z", "a", "v2"))
		c.applyDirective(start, "x", leavingDirective)
		v := at(0)
		v.state.ServingVersions = map[string]string{"s": "v1"}
		require.Equal(t, "x", c.pickID(v, newRequest()))
	})
	t.Run("is not asked for its load", func(t *testing.T) {
		st := newState()
		d := newTestDispatcher(st, x)
		d.core.update([]cataloger.ServerRecord{x})
		d.core.pool("s").lastRequest = time.Now()
		require.NotEmpty(t, d.DueProbes(time.Now()))
		d.HandleProbeResult(time.Now(), "x", ProbeResult{Answered: true, ColdRemaining: -1})
		d.HandleDirective("x", leavingDirective)
		d.core.pool("s").lastRequest = time.Now()
		require.Empty(t, d.DueProbes(time.Now().Add(time.Second/2)))
	})
}

// Guards against requests to a server that has asked for a pause.
func TestServerThatAskedForNoRequests(t *testing.T) {
	x, y := newRecord("x", "a", "v1"), newRecord("y", "b", "v1")
	pause := sycamorevane.ServerDirective{Pause: 3 * time.Second}

	t.Run("it gets none until then", func(t *testing.T) {
		c := newDirectiveCore(x, y)
		require.True(t, c.applyDirective(start, "x", pause))
		require.False(t, c.applyDirective(start, "x", sycamorevane.ServerDirective{Pause: time.Second}), "a shorter pause changes nothing")
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
		_, err := d.Acquire(context.Background(), requestWithDeadline(time.Second))
		refused := expectRefused(t, err)
		require.Less(t, time.Since(began), 20*time.Millisecond)
		require.InDelta(t, pause.Pause.Seconds(), refused.RetryAfter.Seconds(), 1)
		require.GreaterOrEqual(t, refused.RetryAfter, pause.Pause-100*time.Millisecond)
	})
	t.Run("requests that wait already are refused, too", func(t *testing.T) {
		d := newTestDispatcher(newState(), x)
		d.Update()
		for range 3 {
			_, err := d.Acquire(context.Background(), requestWithDeadline(time.Second))
			require.NoError(t, err)
		}
		ended := make(chan error, 1)
		go func() {
			_, err := d.Acquire(context.Background(), requestWithDeadline(10*time.Second))
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
		d.core.pool("s").lastRequest = time.Now()
		d.HandleDirective("x", pause)
		require.Empty(t, d.DueProbes(time.Now()))
		d.core.byID["x"].reportsLoad = true
		ready, probes := d.mayStart(time.Now(), "x")
		require.True(t, ready)
		require.Empty(t, probes)
	})
}

func requestWithDeadline(d time.Duration) sycamorevane.Request {
	return sycamorevane.Request{Service: "s", Route: "r", Deadline: time.Now().Add(d)}
}

// Guards against a server that loses its running requests because its lease expired: it may only be slow to report.
// Its requests continue, and it gets new ones while no other server can take them.
func TestSilentServerKeepsItsWork(t *testing.T) {
	x := newRecord("x", "a", "v1")
	c := newDirectiveCore(x)
	grant := c.startRequest(start, c.byID["x"])
	x.LeaseExpired = true
	c.update([]cataloger.ServerRecord{x})
	require.Equal(t, "x", c.pickID(newView(start), newRequest()))
	require.Contains(t, c.byID["x"].startTimes, grant)
	s, paused := c.finishRequest(start.Add(10*time.Second), "s", "x", grant, sycamorevane.Outcome{Kind: sycamorevane.OutcomeOK, Latency: 10 * time.Second})
	require.NotNil(t, s)
	require.False(t, paused)
	require.Empty(t, s.startTimes)
}
