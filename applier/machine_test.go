package applier

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/seeder"
)

// startMs is the time of the first command in the tests; Unix ms.
const startMs = int64(1_800_000_000_000)

func testConfig() *sycamorevane.Config {
	return &sycamorevane.Config{
		DCs:      []string{"a", "b", "c"},
		Services: []sycamorevane.Service{{Name: "flagboard"}, {Name: "corestore"}},
		Hosts:    []sycamorevane.Host{{Name: "h1", DC: "a"}, {Name: "h2", DC: "b"}},
	}
}

// testMachine applies commands to a machine in the same way as the replicator.
type testMachine struct {
	machine *Machine
	index   uint64
}

func newTestMachine(t require.TestingT) *testMachine {
	tm := &testMachine{machine: New()}
	expectResult(t, tm.apply(Command{ID: "config", Op: OpApply, Args: Args{Config: testConfig()}}), ResultApplied)
	return tm
}

func (tm *testMachine) apply(c Command) Outcome {
	if c.Actor == "" {
		c.Actor = "ann"
	}
	if c.AcceptedAt == 0 {
		c.AcceptedAt = startMs
	}
	data, err := Encode(c)
	if err != nil {
		panic(err)
	}
	tm.index++
	o, err := DecodeOutcome(tm.machine.Apply(sycamorevane.LogEntry{Index: tm.index, Data: data}))
	if err != nil {
		panic(err)
	}
	return o
}

func expectResult(t require.TestingT, o Outcome, want Result, reason ...string) {
	require.Equal(t, want, o.Result, o.Reason)
	for _, part := range reason {
		require.Contains(t, o.Reason, part)
	}
}

func drainDCCommand(id, dc string) Command { return Command{ID: id, Op: OpDrain, Args: Args{DC: dc}} }

func undrainDCCommand(id, dc string) Command {
	return Command{ID: id, Op: OpUndrain, Args: Args{DC: dc}}
}

func rolloutCommand(id, to string) Command {
	return Command{ID: id, Op: OpRollout, Args: Args{
		Service: "flagboard", ToVersion: to, Deadline: startMs + MinRolloutTime.Milliseconds(), Versions: map[string]int{"v1": 8, "v2": 4, "v3": 4},
	}}
}

func stepCommand(rollout string, fromPhase, phase sycamorevane.RolloutPhase, share float64) Command {
	return Command{Op: OpStep, Actor: "h1", Args: Args{
		Service: "flagboard", Step: &Step{Rollout: rollout, FromPhase: fromPhase, Phase: phase, Share: share, Reason: "test"},
	}}
}

func capacityRows(slots, busy int) []Capacity {
	var list []Capacity
	for _, dc := range []string{"a", "b", "c"} {
		list = append(list, Capacity{Service: "flagboard", DC: dc, Slots: slots, BusySlots: busy})
	}
	return list
}

// TestRefusals guards against applying commands that would make a service unavailable or that refer to unknown objects.
func TestRefusals(t *testing.T) {
	withCapacity := func(c Command, slots, use int) Command {
		c.Args.Capacity = capacityRows(slots, use)
		return c
	}
	force := func(c Command) Command {
		c.Force = true
		return c
	}
	server := func(id, op string, target *Target) Command {
		return Command{ID: id, Op: op, Args: Args{Server: "s1", Target: target}}
	}
	pastDeadline := rolloutCommand("x", "v2")
	pastDeadline.Args.Deadline = startMs - 1
	shortDeadline := rolloutCommand("x", "v2")
	shortDeadline.Args.Deadline--
	noService := rolloutCommand("x", "v2")
	noService.Args.Service = "none"
	badConfig := testConfig()
	badConfig.Hosts[0].DC = "nowhere"
	rollbackCommand := Command{ID: "x", Op: OpRollback, Args: Args{Service: "flagboard"}}
	tests := []struct {
		name   string
		before []Command
		cmd    Command
		want   Result
		reason string
	}{
		{"unknown data centre", nil, drainDCCommand("x", "d"), ResultRefused, `unknown data centre "d"`},
		{"undrain unknown data centre", nil, undrainDCCommand("x", "d"), ResultRefused, `unknown data centre "d"`},
		{"drain", nil, withCapacity(drainDCCommand("x", "a"), 4, 2), ResultApplied, ""},
		{"drain twice", []Command{drainDCCommand("1", "a")}, drainDCCommand("x", "a"), ResultUnchanged, "drained since"},
		{"undrain", []Command{drainDCCommand("1", "a")}, undrainDCCommand("x", "a"), ResultApplied, ""},
		{"undrain nothing", nil, undrainDCCommand("x", "a"), ResultUnchanged, "is not drained"},
		{"last data centre", []Command{drainDCCommand("1", "a"), drainDCCommand("2", "b")}, drainDCCommand("x", "c"), ResultRefused, "last one"},
		{"last data centre by force", []Command{drainDCCommand("1", "a"), drainDCCommand("2", "b")}, force(drainDCCommand("x", "c")), ResultApplied, ""},
		{"more than the rest carries", nil, withCapacity(drainDCCommand("x", "a"), 4, 3), ResultRefused, "uses 9 slots and would have 8, 1 short"},
		{"more than the rest carries by force", nil, force(withCapacity(drainDCCommand("x", "a"), 4, 3)), ResultApplied, ""},
		{"rest already drained", []Command{drainDCCommand("1", "b")}, withCapacity(drainDCCommand("x", "a"), 4, 2), ResultRefused, "would have 4, 2 short"},
		{"unknown server", nil, server("x", OpDrain, nil), ResultRefused, `unknown server "s1"`},
		{"undrain unknown server", nil, server("x", OpUndrain, nil), ResultRefused, `unknown server "s1"`},
		{"server", nil, server("x", OpDrain, &Target{Service: "flagboard", DC: "a", Slots: 4}), ResultRefused, "no slots left"},
		{"both targets", nil, Command{ID: "x", Op: OpDrain, Args: Args{DC: "a", Server: "s1"}}, ResultRefused, "both"},
		{"no target", nil, Command{ID: "x", Op: OpDrain}, ResultRefused, "neither"},
		{"rollout", nil, rolloutCommand("x", "v2"), ResultApplied, ""},
		{"unknown service", nil, noService, ResultRefused, `unknown service "none"`},
		{"unknown version", nil, rolloutCommand("x", "v9"), ResultRefused, `unknown version "v9"`},
		{"second rollout", []Command{rolloutCommand("1", "v2")}, rolloutCommand("x", "v3"), ResultRefused, "already has a rollout"},
		{"deadline past", nil, pastDeadline, ResultRefused, "in the past"},
		{"deadline too short", nil, shortDeadline, ResultRefused, "needs at least 5s"},
		{"rollback without rollout", nil, rollbackCommand, ResultRefused, "has no rollout"},
		{"rollback", []Command{rolloutCommand("1", "v2")}, rollbackCommand, ResultApplied, ""},
		{"unknown op", nil, Command{ID: "x", Op: "explode"}, ResultRefused, "unknown op"},
		{"no configuration", nil, Command{ID: "x", Op: OpApply}, ResultRefused, "no configuration"},
		{"host without data centre", nil, Command{ID: "x", Op: OpApply, Args: Args{Config: badConfig}}, ResultRefused, "nowhere"},
		{"replace unknown host", nil, Command{ID: "x", Op: OpReplace, Args: Args{Host: "h1", Counterpart: "h9"}}, ResultRefused, `unknown host "h9"`},
		{"service with rollout removed", []Command{rolloutCommand("1", "v2")}, Command{ID: "x", Op: OpApply, Args: Args{Config: &sycamorevane.Config{
			DCs: []string{"a"}, Services: []sycamorevane.Service{{Name: "other"}},
		}}}, ResultRefused, "has a rollout"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tm := newTestMachine(t)
			for _, c := range tt.before {
				expectResult(t, tm.apply(c), ResultApplied)
			}
			before := tm.machine.State()
			o := tm.apply(tt.cmd)
			expectResult(t, o, tt.want, tt.reason)
			require.Equal(t, before.Version, o.PreviousVersion)
			if tt.want == ResultApplied {
				require.Equal(t, tm.index, tm.machine.State().Version)
			} else {
				require.Same(t, before, tm.machine.State())
			}
			page := tm.machine.Audit(Query{ID: "x"})
			require.Len(t, page.Records, 1, "every command is in the audit trail")
			require.Equal(t, o, page.Records[0].Outcome)
		})
	}
}

// TestRolloutNeedsTimeForEvidence guards against accepting a rollout that cannot collect enough evidence before its
// deadline.
func TestRolloutNeedsTimeForEvidence(t *testing.T) {
	tm := newTestMachine(t)
	c := rolloutCommand("r1", "v2")
	c.Args.MinEvidenceTime = c.Args.Deadline + 1
	expectResult(t, tm.apply(c), ResultRefused, "the evidence needs at least")
}

// TestServe guards against a new version that gets requests alongside the serving version without a rollout.
func TestServe(t *testing.T) {
	serve := func(expected, version string) Command {
		return Command{Op: OpServe, Args: Args{Service: "flagboard", Counterpart: expected, ToVersion: version}}
	}
	tm := newTestMachine(t)
	expectResult(t, tm.apply(serve("", "v1")), ResultApplied)
	require.Equal(t, map[string]float64{"v1": 1}, tm.machine.State().VersionShares("flagboard"))
	expectResult(t, tm.apply(serve("", "v2")), ResultStale)
	expectResult(t, tm.apply(Command{ID: "back", Op: OpRollback, Args: Args{Service: "flagboard"}}), ResultRefused, "has no rollout")
	expectResult(t, tm.apply(rolloutCommand("r", "v1")), ResultRefused, "already runs")
	expectResult(t, tm.apply(rolloutCommand("r1", "v2")), ResultApplied)
	require.Equal(t, "v1", tm.machine.State().Rollouts["flagboard"].FromVersion)
	expectResult(t, tm.apply(serve("v1", "v2")), ResultRefused, "has a rollout")
	require.Equal(t, map[string]float64{"v1": 1}, tm.machine.State().VersionShares("flagboard"), "a waiting rollout does not change the shares")
}

// TestServerDrains guards against counting drained servers as capacity when the next drain is checked.
func TestServerDrains(t *testing.T) {
	tm := newTestMachine(t)
	drain := func(id, server string) Outcome {
		return tm.apply(Command{ID: id, Op: OpDrain, Args: Args{
			Server: server, Target: &Target{Service: "flagboard", DC: "a", Slots: 2}, Capacity: capacityRows(4, 3),
		}})
	}
	expectResult(t, drain("1", "s1"), ResultApplied)
	expectResult(t, drain("2", "s2"), ResultRefused, "uses 9 slots and would have 8, 1 short")
	expectResult(t, tm.apply(Command{ID: "gone", Op: OpForget, Args: Args{RemovedServers: []string{"s1"}}}), ResultApplied)
	require.Empty(t, tm.machine.State().DrainedServers)
	expectResult(t, drain("3", "s2"), ResultApplied)
	expectResult(t, tm.apply(Command{ID: "back", Op: OpUndrain, Args: Args{Server: "s2"}}), ResultApplied)
}

// TestConflict guards against applying a command to a state version that its sender has not seen.
func TestConflict(t *testing.T) {
	tm := newTestMachine(t)
	seen := tm.machine.State().Version
	c := drainDCCommand("1", "a")
	c.ExpectedVersion = &seen
	c.Actor = "bob"
	c.AcceptedAt = startMs + 7
	expectResult(t, tm.apply(c), ResultApplied)
	ahead := tm.machine.State().Version + 1
	c = drainDCCommand("ahead", "b")
	c.ExpectedVersion = &ahead
	expectResult(t, tm.apply(c), ResultConflict)
	c = drainDCCommand("2", "b")
	c.ExpectedVersion = &seen
	o := tm.apply(c)
	expectResult(t, o, ResultConflict)
	conflict := o.Conflict()
	require.Equal(t, tm.machine.State().Version, conflict.Version)
	require.Equal(t, "bob", conflict.Actor)
	require.Equal(t, startMs+7, conflict.Time.UnixMilli())
}

// TestSteps guards against a rollout step of a former control leader that overwrites a newer one.
func TestSteps(t *testing.T) {
	tm := newTestMachine(t)
	expectResult(t, tm.apply(rolloutCommand("r1", "v2")), ResultApplied)
	expectResult(t, tm.apply(stepCommand("r1", sycamorevane.RolloutWaiting, sycamorevane.RolloutTrial, 0.01)), ResultApplied)
	expectResult(t, tm.apply(stepCommand("r1", sycamorevane.RolloutWaiting, sycamorevane.RolloutTrial, 0.5)), ResultStale)
	expectResult(t, tm.apply(stepCommand("r0", sycamorevane.RolloutTrial, sycamorevane.RolloutMoving, 0.5)), ResultStale)
	otherShare := 0.02
	c := stepCommand("r1", sycamorevane.RolloutTrial, sycamorevane.RolloutTrial, 0.5)
	c.Args.Step.FromShare = &otherShare
	expectResult(t, tm.apply(c), ResultStale)
	expectResult(t, tm.apply(stepCommand("r1", sycamorevane.RolloutTrial, sycamorevane.RolloutWaiting, 0)), ResultRefused)
	expectResult(t, tm.apply(stepCommand("r1", sycamorevane.RolloutTrial, sycamorevane.RolloutMoving, 1.5)), ResultRefused)
	expectResult(t, tm.apply(stepCommand("r1", sycamorevane.RolloutTrial, sycamorevane.RolloutMoving, 0.5)), ResultApplied)
	expectResult(t, tm.apply(stepCommand("r1", sycamorevane.RolloutMoving, sycamorevane.RolloutDone, 1)), ResultApplied)
	require.Equal(t, map[string]float64{"v2": 1}, tm.machine.State().VersionShares("flagboard"))
	expectResult(t, tm.apply(rolloutCommand("r2", "v2")), ResultRefused, "already runs")
	expectResult(t, tm.apply(rolloutCommand("r3", "v3")), ResultApplied)
	require.Equal(t, "v2", tm.machine.State().Rollouts["flagboard"].FromVersion)
}

// TestSixteenOperators guards against resent commands that are applied twice and against outcomes that are not
// linearizable: 8 operators drain and 8 undrain the same data centre concurrently, and each resends at random.
func TestSixteenOperators(t *testing.T) {
	const rounds = 20
	tm := newTestMachine(t)
	var mu sync.Mutex
	send := func(c Command) Outcome {
		mu.Lock()
		defer mu.Unlock()
		return tm.apply(c)
	}
	var wg sync.WaitGroup
	outcomes := make([][]Outcome, 16)
	for op := range outcomes {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(1, uint64(op)))
			for round := range rounds {
				c := drainDCCommand(fmt.Sprintf("%d-%d", op, round), "a")
				c.Actor = fmt.Sprint("operator", op)
				if op >= 8 {
					c.Op = OpUndrain
				}
				first := send(c)
				for range r.IntN(4) {
					if again := send(c); again != first {
						first.Reason = "resend was answered differently"
					}
				}
				outcomes[op] = append(outcomes[op], first)
			}
		})
	}
	wg.Wait()
	var all []Outcome
	for op, list := range outcomes {
		for _, o := range list {
			require.NotEqual(t, "resend was answered differently", o.Reason)
			require.Contains(t, []Result{ResultApplied, ResultUnchanged}, o.Result)
			all = append(all, o)
			if o.Result == ResultApplied {
				require.Equal(t, fmt.Sprint("operator", op), o.Actor)
			}
		}
	}
	page := tm.machine.Audit(Query{Description: "dc=a"})
	require.Len(t, page.Records, 16*rounds, "each command is recorded once")
	slices.Reverse(page.Records)
	drained := false
	version := uint64(1)
	for _, r := range page.Records {
		require.Contains(t, all, r.Outcome)
		require.Equal(t, version, r.Outcome.PreviousVersion)
		changes := (r.Outcome.Op == OpDrain) != drained
		require.Equal(t, changes, r.Outcome.Result == ResultApplied)
		if changes {
			drained = !drained
			version = r.Index
		}
		require.Equal(t, version, r.Outcome.Version)
	}
	_, isDrained := tm.machine.State().DrainedDCs["a"]
	require.Equal(t, drained, isDrained)
}

func genCommand(t *rapid.T, version uint64) Command {
	dc := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	c := Command{
		ID: rapid.StringMatching(`[a-f]`).Draw(t, "id"), Actor: rapid.SampledFrom([]string{"ann", "bob"}).Draw(t, "by"),
		AcceptedAt: startMs + rapid.Int64Range(0, 1000).Draw(t, "at"), Force: rapid.Bool().Draw(t, "force"),
	}
	if rapid.IntRange(0, 3).Draw(t, "if") == 0 {
		want := version + rapid.Uint64Range(0, 1).Draw(t, "ahead")
		c.ExpectedVersion = &want
	}
	phases := rapid.SampledFrom(slices.Sorted(func(yield func(sycamorevane.RolloutPhase) bool) {
		for p := range nextPhases {
			if !yield(p) {
				return
			}
		}
	}))
	switch rapid.IntRange(0, 6).Draw(t, "op") {
	case 0:
		c.Op, c.Args.DC = OpDrain, dc.Draw(t, "dc")
	case 1:
		c.Op, c.Args.DC = OpUndrain, dc.Draw(t, "dc")
	case 2:
		c.Op, c.Args.Server = OpDrain, rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "server")
		c.Args.Target = &Target{Service: "flagboard", DC: "a", Slots: 1}
		c.Args.Capacity = capacityRows(rapid.IntRange(0, 4).Draw(t, "slots"), 1)
	case 3:
		r := rolloutCommand(c.ID, rapid.SampledFrom([]string{"v1", "v2", "v9"}).Draw(t, "to"))
		c.Op, c.Args = r.Op, r.Args
	case 4:
		c.Op, c.Args.Service = OpRollback, "flagboard"
	case 5:
		s := stepCommand(rapid.StringMatching(`[a-f]`).Draw(t, "rollout"), phases.Draw(t, "was"), phases.Draw(t, "phase"), 0.5)
		c.ID, c.Op, c.Args = "", s.Op, s.Args
	case 6:
		c.Op, c.Args.Config = OpApply, testConfig()
	}
	return c
}

// TestProperties guards against ids that are applied twice, versions that decrease, states that are modified in place
// and snapshots that lose data.
func TestProperties(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		tm := newTestMachine(t)
		restored := &testMachine{machine: New()}
		firstOutcomes := map[string]Outcome{}
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			before := tm.machine.State()
			stateJSON, err := json.Marshal(before)
			require.NoError(t, err)
			c := genCommand(t, before.Version)
			o := tm.apply(c)
			require.GreaterOrEqual(t, tm.machine.State().Version, before.Version)
			stateJSONAfter, err := json.Marshal(before)
			require.NoError(t, err)
			require.Equal(t, string(stateJSON), string(stateJSONAfter))
			if known, ok := firstOutcomes[c.ID]; ok && c.ID != "" {
				require.Equal(t, known, o)
				require.Same(t, before, tm.machine.State())
			}
			firstOutcomes[c.ID] = o
		}
		expectEqualAfterRestore(t, tm, restored)
		c := genCommand(t, tm.machine.State().Version)
		require.Equal(t, tm.apply(c), restored.apply(c), "a restored machine continues like the original")
	})
}

// expectEqualAfterRestore restores a snapshot of tm into another machine and compares their contents.
func expectEqualAfterRestore(t *rapid.T, tm, restored *testMachine) {
	data, err := tm.machine.Snapshot()
	require.NoError(t, err)
	require.NoError(t, restored.machine.Restore(data))
	restored.index = tm.index
	again, err := restored.machine.Snapshot()
	require.NoError(t, err)
	require.Equal(t, string(data), string(again))
	require.Equal(t, tm.machine.State(), restored.machine.State())
	require.Equal(t, tm.machine.Index(), restored.machine.Index())
}

// TestRestoreRefusesDamage guards against replacing a valid state by that of a damaged snapshot.
func TestRestoreRefusesDamage(t *testing.T) {
	tm := newTestMachine(t)
	good, err := tm.machine.Snapshot()
	require.NoError(t, err)
	lines := []string{
		"", "{", "null", `{"format":9}`, `{"format":1,"next":1}`, `{"format":1,"next":0,"state":{}}`,
		`{"format":1,"next":2,"state":{}}`, `{"format":1,"next":2,"count":1,"state":{}}`,
		`{"format":1,"next":2,"count":1,"state":{}}{"seq":2}`, `{"format":1,"next":1,"state":{}}{"seq":1}`,
	}
	damaged := [][]byte{nil, good[:len(good)-1], good[:len(good)/2]}
	for _, line := range lines {
		damaged = append(damaged, gzipped(t, line))
	}
	for i, data := range damaged {
		require.Error(t, tm.machine.Restore(data), i)
		same, err := tm.machine.Snapshot()
		require.NoError(t, err)
		require.Equal(t, good, same)
	}
}

// TestRestoreAfterBitFlips guards against restoring another state from a snapshot with a flipped bit. A flip in the
// padding of the compressed form may go undetected, because it does not change the content.
func TestRestoreAfterBitFlips(t *testing.T) {
	tm := newTestMachine(t)
	good, err := tm.machine.Snapshot()
	require.NoError(t, err)
	for i := range good {
		data := slices.Clone(good)
		data[i] ^= 0x10
		_ = tm.machine.Restore(data)
		same, err := tm.machine.Snapshot()
		require.NoError(t, err)
		require.Equal(t, good, same, i)
	}
}

func gzipped(t *testing.T, line string) []byte {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	_, err := z.Write([]byte(line))
	require.NoError(t, err)
	require.NoError(t, z.Close())
	return out.Bytes()
}

// TestConfigRoundTrip guards against a configuration that changes when an operator reads it and applies it again.
func TestConfigRoundTrip(t *testing.T) {
	cfg := twoYearConfig()
	cfg.Limits.ServerLease = 1500 * time.Microsecond
	cfg.Services[0].Timeout = 2 * time.Second
	cfg.Services[0].MaxBodyBytes = 1 << 40
	data, err := EncodeConfig(cfg)
	require.NoError(t, err)
	require.Contains(t, string(data), `"lease":1.5`)
	require.Contains(t, string(data), `"timeout":2000`)
	got, err := DecodeConfig(data)
	require.NoError(t, err)
	want, err := json.Marshal(cfg)
	require.NoError(t, err)
	require.Equal(t, string(want), string(mustMarshal(t, got)))
	_, err = DecodeConfig([]byte(`{"dcs":["a"],"DCs":["b"]}`))
	require.ErrorContains(t, err, "twice")
}

func mustMarshal(t *testing.T, v any) []byte {
	data, err := json.Marshal(v)
	require.NoError(t, err)
	return data
}

// FuzzDecode guards against log data that makes the state machine panic or that cannot be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, c := range []Command{drainDCCommand("1", "a"), rolloutCommand("2", "v2"), stepCommand("2", "waiting", "trial", 0.01)} {
		data, err := Encode(c)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"format":1,"id":"x","op":"apply","args":{"config":null},"by":"","at":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tm := newTestMachine(t)
		tm.index++
		outcome := tm.machine.Apply(sycamorevane.LogEntry{Index: tm.index, Data: data})
		_, err := DecodeOutcome(outcome)
		require.NoError(t, err)
		c, err := Decode(data)
		if err != nil {
			require.Equal(t, uint64(1), tm.machine.State().Version)
			return
		}
		again, err := Encode(c)
		require.NoError(t, err)
		_, err = Decode(again)
		require.NoError(t, err)
	})
}
