package administrator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
)

// fakeControl is a state machine with its own log. loseReplies makes commands fail after they were applied;
// disconnected makes them fail before.
type fakeControl struct {
	machine      *applier.Machine
	index        uint64
	loseReplies  bool
	disconnected bool
	now          time.Time
}

func (c *fakeControl) Now() time.Time { return c.now }

func (c *fakeControl) propose(_ context.Context, data []byte) ([]byte, error) {
	if c.disconnected {
		return nil, errors.New("no leader")
	}
	c.index++
	outcome := c.machine.Apply(sycamorevane.LogEntry{Index: c.index, Data: data})
	if c.loseReplies {
		return nil, errors.New("answer lost")
	}
	return outcome, nil
}

func newAdministrator() (*Administrator, *fakeControl) {
	c := &fakeControl{machine: applier.New(), now: time.UnixMilli(1_000_000)}
	return New(Config{
		State: c.machine.State, AppliedIndex: c.machine.Index, Propose: c.propose, Clock: c, Log: logr.Discard(),
		ReadBarrier: func(context.Context) error {
			if c.disconnected {
				return errors.New("no leader")
			}
			return nil
		},
		Versions: func(string) map[string]int { return map[string]int{"v1": 40} },
	}), c
}

func testConfig(number uint64, prefixes ...string) *sycamorevane.Config {
	cfg := &sycamorevane.Config{
		SequenceNumber: number, DCs: []string{"a", "b"}, Services: []sycamorevane.Service{{Name: "s"}}, Document: []byte("sent"),
	}
	for _, p := range prefixes {
		cfg.Rules = append(cfg.Rules, sycamorevane.Rule{
			Name: p, Host: "h.example", Prefix: p, Timeout: time.Second, Destinations: []sycamorevane.Destination{{Service: "s", Weight: 1}},
		})
	}
	return cfg
}

func expectSequenceNumber(t *testing.T, a *Administrator, want uint64) {
	t.Helper()
	cfg, err := a.Configuration(context.Background())
	require.NoError(t, err)
	require.Equal(t, want, cfg.SequenceNumber)
}

func TestConfigure(t *testing.T) {
	ctx := context.Background()
	t.Run("the highest number takes effect, and each is accepted", func(t *testing.T) {
		a, _ := newAdministrator()
		for _, number := range []uint64{3, 9, 5, 9} {
			require.NoError(t, a.Configure(ctx, testConfig(number, "/x/")))
		}
		expectSequenceNumber(t, a, 9)
	})
	t.Run("other content under the number held changes nothing", func(t *testing.T) {
		a, c := newAdministrator()
		require.NoError(t, a.Configure(ctx, testConfig(3, "/x/")))
		require.NoError(t, a.Configure(ctx, testConfig(3, "/y/")))
		require.Equal(t, "/x/", c.machine.State().Config.Rules[0].Prefix)
	})
	t.Run("services get the deployment's policy", func(t *testing.T) {
		a, c := newAdministrator()
		a.cfg.Policy = NewPolicy(0.2, 0.1)
		cfg := testConfig(3, "/x/")
		cfg.Services = append(cfg.Services, sycamorevane.Service{Name: "own", RetryRatio: 0.01})
		require.NoError(t, a.Configure(ctx, cfg))
		got := c.machine.State().Config.Services
		require.InDelta(t, 0.15, got[0].RetryRatio, 1e-9)
		require.InDelta(t, 0.12, got[0].HedgeRatio, 1e-9)
		require.InDelta(t, 0.08, got[0].MaxTrialShare, 1e-9)
		require.InDelta(t, 0.01, got[1].RetryRatio, 1e-9)
		require.Zero(t, cfg.Services[0].RetryRatio, "the caller's configuration is not modified")
	})
	t.Run("an order whose answer was lost is accepted again", func(t *testing.T) {
		a, c := newAdministrator()
		c.loseReplies = true
		var unavailable *UnavailableError
		require.ErrorAs(t, a.Configure(ctx, testConfig(3, "/x/")), &unavailable)
		c.loseReplies = false
		require.NoError(t, a.Configure(ctx, testConfig(3, "/x/")))
		expectSequenceNumber(t, a, 3)
	})
	t.Run("an invalid one is refused whole, also while control is away", func(t *testing.T) {
		a, c := newAdministrator()
		c.disconnected = true
		cases := map[string]func(*sycamorevane.Config){
			"no number":        func(cfg *sycamorevane.Config) { cfg.SequenceNumber = 0 },
			"unknown service":  func(cfg *sycamorevane.Config) { cfg.Rules[0].Destinations[0].Service = "other" },
			"same place twice": func(cfg *sycamorevane.Config) { cfg.Rules = append(cfg.Rules, cfg.Rules[0]) },
			"same place in other letters": func(cfg *sycamorevane.Config) {
				cfg.Rules = append(cfg.Rules, cfg.Rules[0])
				cfg.Rules[1].Host = "H.EXAMPLE"
			},
			"no weight":      func(cfg *sycamorevane.Config) { cfg.Rules[0].Destinations[0].Weight = 0 },
			"negative share": func(cfg *sycamorevane.Config) { cfg.Rules[0].Destinations[0].Weight = -1 },
			"no timeout":     func(cfg *sycamorevane.Config) { cfg.Rules[0].Timeout = 0 },
			"long timeout":   func(cfg *sycamorevane.Config) { cfg.Rules[0].Timeout = sycamorevane.MaxRuleTimeout + 1 },
			"no host":        func(cfg *sycamorevane.Config) { cfg.Rules[0].Host = "" },
			"broken prefix":  func(cfg *sycamorevane.Config) { cfg.Rules[0].Prefix = "/x" },
		}
		for name, change := range cases {
			cfg := testConfig(4, "/x/")
			change(cfg)
			var invalid *InvalidError
			require.ErrorAs(t, a.Configure(ctx, cfg), &invalid, name)
		}
		require.Zero(t, c.machine.State().Config.SequenceNumber)
	})
	t.Run("a host that cannot be sure reads nothing out", func(t *testing.T) {
		a, c := newAdministrator()
		var unavailable *UnavailableError
		_, err := a.Configuration(ctx)
		require.ErrorAs(t, err, &unavailable, "before the first configuration")
		require.NoError(t, a.Configure(ctx, testConfig(3, "/x/")))
		c.disconnected = true
		_, err = a.Configuration(ctx)
		require.ErrorAs(t, err, &unavailable)
	})
}

func TestEvacuate(t *testing.T) {
	ctx := context.Background()
	a, c := newAdministrator()
	require.NoError(t, a.Configure(ctx, testConfig(1, "/x/")))
	for range 2 {
		require.NoError(t, a.Evacuate(ctx, "a", true))
		require.Contains(t, c.machine.State().DrainedDCs, "a")
	}
	for range 2 {
		require.NoError(t, a.Evacuate(ctx, "a", false))
		require.NotContains(t, c.machine.State().DrainedDCs, "a")
		require.Contains(t, c.machine.State().UndrainedDCs, "a")
	}
	var invalid *InvalidError
	require.ErrorAs(t, a.Evacuate(ctx, "nowhere", true), &invalid)
}

func TestRollout(t *testing.T) {
	ctx := context.Background()
	a, c := newAdministrator()
	require.NoError(t, a.Configure(ctx, testConfig(1, "/x/")))
	require.NoError(t, a.StartRollout(ctx, "s", "v2", 3*time.Second), "the version's servers may start later")
	require.NoError(t, a.StartRollout(ctx, "s", "v2", 3*time.Second), "a resent command")
	r, ok, err := a.Rollout(ctx, "s")
	require.NoError(t, err)
	require.True(t, ok)
	require.True(t, r.Irreversible)
	require.Equal(t, "v1", r.FromVersion)
	var conflict *ConflictError
	require.ErrorAs(t, a.StartRollout(ctx, "s", "v3", 3*time.Second), &conflict)
	var invalid *InvalidError
	require.ErrorAs(t, a.StartRollout(ctx, "other", "v2", 3*time.Second), &invalid)

	t.Run("the same order sent twice at once is not refused", func(t *testing.T) {
		outcome := c.machine.Apply(sycamorevane.LogEntry{Index: c.index + 1, Data: mustEncode(t, applier.Command{
			ID: "second", Op: applier.OpRollout, Force: true, AcceptedAt: c.now.UnixMilli(),
			Args: applier.Args{Service: "s", ToVersion: "v2", Deadline: c.now.Add(3 * time.Second).UnixMilli(), Irreversible: true},
		})})
		o, err := applier.DecodeOutcome(outcome)
		require.NoError(t, err)
		require.Equal(t, applier.ResultUnchanged, o.Result)
	})
}

func mustEncode(t *testing.T, c applier.Command) []byte {
	t.Helper()
	data, err := applier.Encode(c)
	require.NoError(t, err)
	return data
}

func TestLeave(t *testing.T) {
	ctx := context.Background()
	a, c := newAdministrator()
	require.NoError(t, a.RecordLeaving(ctx, []string{"x", "y"}))
	require.NoError(t, a.RecordLeaving(ctx, []string{"x"}))
	require.Len(t, c.machine.State().DrainedServers, 2)
	t.Run("a later record counts", func(t *testing.T) {
		first := c.machine.State().DrainedServers["x"]
		c.now = c.now.Add(time.Second)
		require.NoError(t, a.RecordLeaving(ctx, []string{"x"}))
		require.Equal(t, first+1000, c.machine.State().DrainedServers["x"])
	})
	data, err := c.machine.Snapshot()
	require.NoError(t, err)
	restored := applier.New()
	require.NoError(t, restored.Restore(data))
	require.Len(t, restored.State().DrainedServers, 2, "acknowledged records are in the snapshot")
}

// newLaggingAdministrator returns an administrator on a host that has applied no command since the call, and one on a host
// that is up to date. ReadBarrier lets the former catch up.
func newLaggingAdministrator(t *testing.T, prepare func(*Administrator)) (lagging, current *Administrator, c *fakeControl) {
	t.Helper()
	current, c = newAdministrator()
	prepare(current)
	applied, index := c.machine.State(), c.machine.Index()
	cfg := current.cfg
	cfg.State = func() *sycamorevane.State { return applied }
	cfg.AppliedIndex = func() uint64 { return index }
	cfg.ReadBarrier = func(context.Context) error {
		if c.disconnected {
			return errors.New("no leader")
		}
		applied, index = c.machine.State(), c.machine.Index()
		return nil
	}
	return New(cfg), current, c
}

// revertRollout records that the rollout of service s was reverted.
func revertRollout(t *testing.T, c *fakeControl) {
	t.Helper()
	r := c.machine.State().Rollouts["s"]
	_, err := c.propose(context.Background(), mustEncode(t, applier.Command{Op: applier.OpStep, AcceptedAt: c.now.UnixMilli(), Args: applier.Args{
		Service: "s", Step: &applier.Step{Rollout: r.ID, FromPhase: r.Phase, Phase: sycamorevane.RolloutReverted},
	}}))
	require.NoError(t, err)
	require.Equal(t, sycamorevane.RolloutReverted, c.machine.State().Rollouts["s"].Phase)
}

// Guards against commands that a host acknowledges from a state in which they are in force, although they were taken back
// since.
func TestCommandsOnALaggingHost(t *testing.T) {
	ctx := context.Background()
	drained := func(a *Administrator) {
		require.NoError(t, a.Configure(ctx, testConfig(1, "/x/")))
		require.NoError(t, a.Evacuate(ctx, "a", true))
	}
	t.Run("a data centre is drained again", func(t *testing.T) {
		lagging, current, c := newLaggingAdministrator(t, drained)
		require.NoError(t, current.Evacuate(ctx, "a", false))
		require.NoError(t, lagging.Evacuate(ctx, "a", true))
		require.Contains(t, c.machine.State().DrainedDCs, "a")
	})
	t.Run("a data centre is drained again without contact", func(t *testing.T) {
		lagging, current, c := newLaggingAdministrator(t, drained)
		require.NoError(t, current.Evacuate(ctx, "a", false))
		c.disconnected = true
		var unavailable *UnavailableError
		require.ErrorAs(t, lagging.Evacuate(ctx, "a", true), &unavailable)
	})
	rolledOut := func(a *Administrator) {
		require.NoError(t, a.Configure(ctx, testConfig(1, "/x/")))
		require.NoError(t, a.StartRollout(ctx, "s", "v2", 3*time.Second))
	}
	revert := func(c *fakeControl) {
		revertRollout(t, c)
		c.now = c.now.Add(2 * resendWindow)
	}
	t.Run("a version is rolled out again", func(t *testing.T) {
		lagging, _, c := newLaggingAdministrator(t, rolledOut)
		revert(c)
		require.NoError(t, lagging.StartRollout(ctx, "s", "v2", 3*time.Second))
		require.False(t, c.machine.State().Rollouts["s"].Phase.Terminal())
	})
	t.Run("another version is rolled out", func(t *testing.T) {
		lagging, _, c := newLaggingAdministrator(t, rolledOut)
		revert(c)
		require.NoError(t, lagging.StartRollout(ctx, "s", "v3", 3*time.Second))
		require.Equal(t, "v3", c.machine.State().Rollouts["s"].ToVersion)
	})
	t.Run("a version is rolled out again without contact", func(t *testing.T) {
		lagging, _, c := newLaggingAdministrator(t, rolledOut)
		c.disconnected = true
		var unavailable *UnavailableError
		require.ErrorAs(t, lagging.StartRollout(ctx, "s", "v2", 3*time.Second), &unavailable)
	})
	leaving := func(a *Administrator) { require.NoError(t, a.RecordLeaving(ctx, []string{"x"})) }
	t.Run("a record of a leaving server that is kept", func(t *testing.T) {
		lagging, _, _ := newLaggingAdministrator(t, leaving)
		require.True(t, lagging.LeavingRecorded(ctx, "x"))
		require.False(t, lagging.LeavingRecorded(ctx, "y"))
	})
	t.Run("a record of a leaving server that was removed", func(t *testing.T) {
		lagging, _, c := newLaggingAdministrator(t, leaving)
		_, err := c.propose(ctx, mustEncode(t, applier.Command{Op: applier.OpForget, Args: applier.Args{RemovedServers: []string{"x"}}}))
		require.NoError(t, err)
		require.False(t, lagging.LeavingRecorded(ctx, "x"))
	})
	t.Run("a record of a leaving server without contact", func(t *testing.T) {
		lagging, _, c := newLaggingAdministrator(t, leaving)
		c.disconnected = true
		require.False(t, lagging.LeavingRecorded(ctx, "x"))
	})
}
