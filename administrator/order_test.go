package administrator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// lateCommand is a command that one host has proposed and that is committed only when the test says so.
type lateCommand struct {
	commit func()
	done   chan error
}

// startLate calls send on a host whose proposals are delayed, and returns once the first one is made.
func startLate(current *Administrator, c *fakeControl, send func(*Administrator) error) *lateCommand {
	cfg := current.cfg
	proposed, committed := make(chan struct{}, 1), make(chan struct{})
	cfg.Propose = func(ctx context.Context, data []byte) ([]byte, error) {
		select {
		case proposed <- struct{}{}:
		default:
			return nil, errors.New("caller's time is over")
		}
		<-committed
		return c.propose(ctx, data)
	}
	late := &lateCommand{done: make(chan error, 1)}
	late.commit = func() {
		close(committed)
		<-late.done
	}
	go func() { late.done <- send(New(cfg)) }()
	for len(proposed) == 0 {
		time.Sleep(time.Millisecond)
	}
	return late
}

// expectDrained checks whether data centre a is drained.
func expectDrained(t *testing.T, c *fakeControl, drained bool) {
	t.Helper()
	if drained {
		require.Contains(t, c.machine.State().DrainedDCs, "a")
		return
	}
	require.NotContains(t, c.machine.State().DrainedDCs, "a")
}

// Guards against an order that takes effect after its caller has given it up and a later one was acknowledged: a data centre
// that operators have evacuated would serve again, or one that they have taken back would not.
func TestLateOrderDoesNotUndoALaterOne(t *testing.T) {
	ctx := context.Background()
	for _, first := range []bool{false, true} {
		evacuate := func(start bool) func(*Administrator) error {
			return func(a *Administrator) error { return a.Evacuate(ctx, "a", start) }
		}
		name := map[bool]string{false: "taking back", true: "evacuation"}[first]
		prepare := func(t *testing.T) (*Administrator, *fakeControl) {
			a, c := newAdministrator()
			require.NoError(t, a.Configure(ctx, testConfig(1, "/x/")))
			require.NoError(t, a.Evacuate(ctx, "a", !first))
			return a, c
		}
		t.Run(name+", resent and followed by the opposite", func(t *testing.T) {
			a, c := prepare(t)
			late := startLate(a, c, evacuate(first))
			require.NoError(t, a.Evacuate(ctx, "a", first))
			require.NoError(t, a.Evacuate(ctx, "a", !first))
			late.commit()
			expectDrained(t, c, !first)
		})
		t.Run(name+", given up for one that changes nothing", func(t *testing.T) {
			a, c := prepare(t)
			late := startLate(a, c, evacuate(first))
			require.NoError(t, a.Evacuate(ctx, "a", !first))
			late.commit()
			expectDrained(t, c, !first)
		})
		t.Run(name+", behind a snapshot", func(t *testing.T) {
			a, c := prepare(t)
			late := startLate(a, c, evacuate(first))
			require.NoError(t, a.Evacuate(ctx, "a", first))
			require.NoError(t, a.Evacuate(ctx, "a", !first))
			data, err := c.machine.Snapshot()
			require.NoError(t, err)
			require.NoError(t, c.machine.Restore(data))
			late.commit()
			expectDrained(t, c, !first)
		})
		t.Run(name+", the data centre is configured anew", func(t *testing.T) {
			a, c := prepare(t)
			late := startLate(a, c, evacuate(first))
			require.NoError(t, a.Evacuate(ctx, "a", !first))
			without := testConfig(2, "/x/")
			without.DCs = []string{"b"}
			require.NoError(t, a.Configure(ctx, without))
			require.NoError(t, a.Configure(ctx, testConfig(3, "/x/")))
			_, drained := c.machine.State().DrainedDCs["a"]
			late.commit()
			expectDrained(t, c, drained)
		})
		t.Run(name+", alone", func(t *testing.T) {
			a, c := prepare(t)
			late := startLate(a, c, evacuate(first))
			require.NoError(t, a.Evacuate(ctx, "b", true), "an order for another data centre")
			late.commit()
			expectDrained(t, c, first)
		})
	}
	t.Run("rollout", func(t *testing.T) {
		a, c := newAdministrator()
		require.NoError(t, a.Configure(ctx, testConfig(1, "/x/")))
		late := startLate(a, c, func(a *Administrator) error { return a.StartRollout(ctx, "s", "v2", time.Minute) })
		require.NoError(t, a.StartRollout(ctx, "s", "v3", time.Minute))
		revertRollout(t, c)
		late.commit()
		require.Equal(t, "v3", c.machine.State().Rollouts["s"].ToVersion)
		require.Equal(t, sycamorevane.RolloutReverted, c.machine.State().Rollouts["s"].Phase)
	})
}

// Guards against the same for an order that waited before the host read it.
func TestOrderOfACallerThatHasLeftIsDropped(t *testing.T) {
	ctx := context.Background()
	a, c := newAdministrator()
	require.NoError(t, a.Configure(ctx, testConfig(1, "/x/")))
	a.cfg.CallerWaits = func(context.Context) error { return errors.New("caller has closed the connection") }
	var unavailable *UnavailableError
	require.ErrorAs(t, a.Evacuate(ctx, "a", true), &unavailable)
	require.ErrorAs(t, a.StartRollout(ctx, "s", "v2", time.Minute), &unavailable)
	expectDrained(t, c, false)
	require.Empty(t, c.machine.State().Rollouts)
}

// Guards against a caller that gives up between two proposals of its order.
func TestCallerIsCheckedBeforeEachProposal(t *testing.T) {
	ctx := context.Background()
	lagging, current, c := newLaggingAdministrator(t, func(a *Administrator) {
		require.NoError(t, a.Configure(ctx, testConfig(1, "/x/")))
	})
	require.NoError(t, current.Evacuate(ctx, "a", true))
	checks := 0
	lagging.cfg.CallerWaits = func(context.Context) error {
		if checks++; checks > 1 {
			return errors.New("caller has closed the connection")
		}
		return nil
	}
	var unavailable *UnavailableError
	require.ErrorAs(t, lagging.Evacuate(ctx, "a", false), &unavailable)
	expectDrained(t, c, true)
}

// Guards against a check that costs orders which are not late.
func TestOrdersInSequenceAreAccepted(t *testing.T) {
	ctx := context.Background()
	configured := func(a *Administrator) { require.NoError(t, a.Configure(ctx, testConfig(1, "/x/"))) }
	t.Run("on hosts that lag", func(t *testing.T) {
		lagging, current, c := newLaggingAdministrator(t, configured)
		for n := range 6 {
			a := []*Administrator{current, lagging}[n%2]
			require.NoError(t, a.Evacuate(ctx, "a", n%3 != 1))
			expectDrained(t, c, n%3 != 1)
		}
	})
	t.Run("resent after a lost reply, also by the same host", func(t *testing.T) {
		a, c := newAdministrator()
		configured(a)
		for _, start := range []bool{true, false, true} {
			c.loseReplies = true
			var unavailable *UnavailableError
			require.ErrorAs(t, a.Evacuate(ctx, "a", start), &unavailable)
			c.loseReplies = false
			require.NoError(t, a.Evacuate(ctx, "a", start))
			expectDrained(t, c, start)
		}
	})
	t.Run("a rollout on a host that lags", func(t *testing.T) {
		lagging, current, c := newLaggingAdministrator(t, configured)
		require.NoError(t, current.StartRollout(ctx, "s", "v2", time.Minute))
		revertRollout(t, c)
		c.now = c.now.Add(2 * resendWindow)
		require.NoError(t, lagging.StartRollout(ctx, "s", "v2", time.Minute))
		require.False(t, c.machine.State().Rollouts["s"].Phase.Terminal())
	})
}
