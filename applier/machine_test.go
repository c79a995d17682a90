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

// start is the time of the first command in the tests.
const start = int64(1_800_000_000_000)

func testConfig() *sycamorevane.Config {
	return &sycamorevane.Config{
		DCs:      []string{"a", "b", "c"},
		Services: []sycamorevane.Service{{Name: "flagboard"}, {Name: "corestore"}},
		Hosts:    []sycamorevane.Host{{Name: "h1", DC: "a"}, {Name: "h2", DC: "b"}},
	}
}

// bench feeds commands to a machine as the replicator does.
type bench struct {
	m     *Machine
	index uint64
}

func newBench(t require.TestingT) *bench {
	b := &bench{m: New()}
	expectResult(t, b.do(Command{ID: "config", Op: OpApply, Args: Args{Config: testConfig()}}), ResultApplied)
	return b
}

func (b *bench) do(c Command) Outcome {
	if c.Actor == "" {
		c.Actor = "ann"
	}
	if c.AcceptedAt == 0 {
		c.AcceptedAt = start
	}
	data, err := Encode(c)
	if err != nil {
		panic(err)
	}
	b.index++
	o, err := DecodeOutcome(b.m.Apply(sycamorevane.LogEntry{Index: b.index, Data: data}))
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

func drainDC(id, dc string) Command   { return Command{ID: id, Op: OpDrain, Args: Args{DC: dc}} }
func undrainOf(id, dc string) Command { return Command{ID: id, Op: OpUndrain, Args: Args{DC: dc}} }

func rolloutOf(id, to string) Command {
	return Command{ID: id, Op: OpRollout, Args: Args{
		Service: "flagboard", ToVersion: to, Deadline: start + MinRollout.Milliseconds(), Versions: map[string]int{"v1": 8, "v2": 4, "v3": 4},
	}}
}

func stepOf(rollout string, was, phase sycamorevane.RolloutPhase, share float64) Command {
	return Command{Op: OpStep, Actor: "h1", Args: Args{
		Service: "flagboard", Step: &Step{Rollout: rollout, FromPhase: was, Phase: phase, Share: share, Reason: "test"},
	}}
}

func rows(slots, use int) []Capacity {
	var list []Capacity
	for _, dc := range []string{"a", "b", "c"} {
		list = append(list, Capacity{Service: "flagboard", DC: dc, Slots: slots, BusySlots: use})
	}
	return list
}

// TestRefusals guards against commands that would take the system out of service or that name nothing known.
func TestRefusals(t *testing.T) {
	withRows := func(c Command, slots, use int) Command {
		c.Args.Capacity = rows(slots, use)
		return c
	}
	force := func(c Command) Command {
		c.Force = true
		return c
	}
	server := func(id, op string, target *Target) Command {
		return Command{ID: id, Op: op, Args: Args{Server: "s1", Target: target}}
	}
	late := rolloutOf("x", "v2")
	late.Args.Deadline = start - 1
	short := rolloutOf("x", "v2")
	short.Args.Deadline--
	noService := rolloutOf("x", "v2")
	noService.Args.Service = "none"
	badConfig := testConfig()
	badConfig.Hosts[0].DC = "nowhere"
	rollbackOf := Command{ID: "x", Op: OpRollback, Args: Args{Service: "flagboard"}}
	tests := []struct {
		name   string
		before []Command
		cmd    Command
		want   Result
		reason string
	}{
		{"unknown data centre", nil, drainDC("x", "d"), ResultRefused, `unknown data centre "d"`},
		{"undrain unknown data centre", nil, undrainOf("x", "d"), ResultRefused, `unknown data centre "d"`},
		{"drain", nil, withRows(drainDC("x", "a"), 4, 2), ResultApplied, ""},
		{"drain twice", []Command{drainDC("1", "a")}, drainDC("x", "a"), ResultUnchanged, "drained since"},
		{"undrain", []Command{drainDC("1", "a")}, undrainOf("x", "a"), ResultApplied, ""},
		{"undrain nothing", nil, undrainOf("x", "a"), ResultUnchanged, "is not drained"},
		{"last data centre", []Command{drainDC("1", "a"), drainDC("2", "b")}, drainDC("x", "c"), ResultRefused, "last one"},
		{"last data centre by force", []Command{drainDC("1", "a"), drainDC("2", "b")}, force(drainDC("x", "c")), ResultApplied, ""},
		{"more than the rest carries", nil, withRows(drainDC("x", "a"), 4, 3), ResultRefused, "uses 9 slots and would have 8, 1 short"},
		{"more than the rest carries by force", nil, force(withRows(drainDC("x", "a"), 4, 3)), ResultApplied, ""},
		{"rest already drained", []Command{drainDC("1", "b")}, withRows(drainDC("x", "a"), 4, 2), ResultRefused, "would have 4, 2 short"},
		{"unknown server", nil, server("x", OpDrain, nil), ResultRefused, `unknown server "s1"`},
		{"undrain unknown server", nil, server("x", OpUndrain, nil), ResultRefused, `unknown server "s1"`},
		{"server", nil, server("x", OpDrain, &Target{Service: "flagboard", DC: "a", Slots: 4}), ResultRefused, "no slots left"},
		{"both targets", nil, Command{ID: "x", Op: OpDrain, Args: Args{DC: "a", Server: "s1"}}, ResultRefused, "both"},
		{"no target", nil, Command{ID: "x", Op: OpDrain}, ResultRefused, "neither"},
		{"rollout", nil, rolloutOf("x", "v2"), ResultApplied, ""},
		{"unknown service", nil, noService, ResultRefused, `unknown service "none"`},
		{"unknown version", nil, rolloutOf("x", "v9"), ResultRefused, `unknown version "v9"`},
		{"second rollout", []Command{rolloutOf("1", "v2")}, rolloutOf("x", "v3"), ResultRefused, "already has a rollout"},
		{"deadline past", nil, late, ResultRefused, "in the past"},
		{"deadline too short", nil, short, ResultRefused, "needs at least 5s"},
		{"rollback without rollout", nil, rollbackOf, ResultRefused, "has no rollout"},
		{"rollback", []Command{rolloutOf("1", "v2")}, rollbackOf, ResultApplied, ""},
		{"unknown op", nil, Command{ID: "x", Op: "explode"}, ResultRefused, "unknown op"},
		{"no configuration", nil, Command{ID: "x", Op: OpApply}, ResultRefused, "no configuration"},
		{"host without data centre", nil, Command{ID: "x", Op: OpApply, Args: Args{Config: badConfig}}, ResultRefused, "nowhere"},
		{"replace unknown host", nil, Command{ID: "x", Op: OpReplace, Args: Args{Host: "h1", Counterpart: "h9"}}, ResultRefused, `unknown host "h9"`},
		{"service with rollout removed", []Command{rolloutOf("1", "v2")}, Command{ID: "x", Op: OpApply, Args: Args{Config: &sycamorevane.Config{
			DCs: []string{"a"}, Services: []sycamorevane.Service{{Name: "other"}},
		}}}, ResultRefused, "has a rollout"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			for _, c := range tt.before {
				expectResult(t, b.do(c), ResultApplied)
			}
			before := b.m.State()
			o := b.do(tt.cmd)
			expectResult(t, o, tt.want, tt.reason)
			require.Equal(t, before.Version, o.PreviousVersion)
			if tt.want == ResultApplied {
				require.Equal(t, b.index, b.m.State().Version)
			} else {
				require.Same(t, before, b.m.State())
			}
			page := b.m.Audit(Query{ID: "x"})
			require.Len(t, page.Records, 1, "every command is in the audit trail")
			require.Equal(t, o, page.Records[0].Outcome)
		})
	}
}

// TestRolloutNeedsTimeForEvidence guards against a rollout that cannot be proved good before its deadline.
func TestRolloutNeedsTimeForEvidence(t *testing.T) {
	b := newBench(t)
	c := rolloutOf("r1", "v2")
	c.Args.MinEvidenceTime = c.Args.Deadline + 1
	expectResult(t, b.do(c), ResultRefused, "the evidence needs at least")
}

// TestServe guards against a new version that gets calls beside the serving one without a rollout.
func TestServe(t *testing.T) {
	serve := func(was, version string) Command {
		return Command{Op: OpServe, Args: Args{Service: "flagboard", Counterpart: was, ToVersion: version}}
	}
	b := newBench(t)
	expectResult(t, b.do(serve("", "v1")), ResultApplied)
	require.Equal(t, map[string]float64{"v1": 1}, b.m.State().VersionShares("flagboard"))
	expectResult(t, b.do(serve("", "v2")), ResultStale)
	expectResult(t, b.do(Command{ID: "back", Op: OpRollback, Args: Args{Service: "flagboard"}}), ResultRefused, "has no rollout")
	expectResult(t, b.do(rolloutOf("r", "v1")), ResultRefused, "already runs")
	expectResult(t, b.do(rolloutOf("r1", "v2")), ResultApplied)
	require.Equal(t, "v1", b.m.State().Rollouts["flagboard"].FromVersion)
	expectResult(t, b.do(serve("v1", "v2")), ResultRefused, "has a rollout")
	require.Equal(t, map[string]float64{"v1": 1}, b.m.State().VersionShares("flagboard"), "a waiting rollout moves nothing")
}

// TestServerDrains guards against drained servers that are counted as capacity for the next drain.
func TestServerDrains(t *testing.T) {
	b := newBench(t)
	drain := func(id, server string) Outcome {
		return b.do(Command{ID: id, Op: OpDrain, Args: Args{
			Server: server, Target: &Target{Service: "flagboard", DC: "a", Slots: 2}, Capacity: rows(4, 3),
		}})
	}
	expectResult(t, drain("1", "s1"), ResultApplied)
	expectResult(t, drain("2", "s2"), ResultRefused, "uses 9 slots and would have 8, 1 short")
	expectResult(t, b.do(Command{ID: "gone", Op: OpForget, Args: Args{RemovedServers: []string{"s1"}}}), ResultApplied)
	require.Empty(t, b.m.State().DrainedServers)
	expectResult(t, drain("3", "s2"), ResultApplied)
	expectResult(t, b.do(Command{ID: "back", Op: OpUndrain, Args: Args{Server: "s2"}}), ResultApplied)
}

// TestConflict guards against a command that is applied to a state its sender has not seen.
func TestConflict(t *testing.T) {
	b := newBench(t)
	seen := b.m.State().Version
	c := drainDC("1", "a")
	c.ExpectedVersion = &seen
	c.Actor = "bob"
	c.AcceptedAt = start + 7
	expectResult(t, b.do(c), ResultApplied)
	ahead := b.m.State().Version + 1
	c = drainDC("ahead", "b")
	c.ExpectedVersion = &ahead
	expectResult(t, b.do(c), ResultConflict)
	c = drainDC("2", "b")
	c.ExpectedVersion = &seen
	o := b.do(c)
	expectResult(t, o, ResultConflict)
	conflict := o.Conflict()
	require.Equal(t, b.m.State().Version, conflict.Version)
	require.Equal(t, "bob", conflict.Actor)
	require.Equal(t, start+7, conflict.Time.UnixMilli())
}

// TestSteps guards against a decision of a former control leader that overwrites a newer one.
func TestSteps(t *testing.T) {
	b := newBench(t)
	expectResult(t, b.do(rolloutOf("r1", "v2")), ResultApplied)
	expectResult(t, b.do(stepOf("r1", sycamorevane.RolloutWaiting, sycamorevane.RolloutTrial, 0.01)), ResultApplied)
	expectResult(t, b.do(stepOf("r1", sycamorevane.RolloutWaiting, sycamorevane.RolloutTrial, 0.5)), ResultStale)
	expectResult(t, b.do(stepOf("r0", sycamorevane.RolloutTrial, sycamorevane.RolloutMoving, 0.5)), ResultStale)
	held := 0.02
	c := stepOf("r1", sycamorevane.RolloutTrial, sycamorevane.RolloutTrial, 0.5)
	c.Args.Step.FromShare = &held
	expectResult(t, b.do(c), ResultStale)
	expectResult(t, b.do(stepOf("r1", sycamorevane.RolloutTrial, sycamorevane.RolloutWaiting, 0)), ResultRefused)
	expectResult(t, b.do(stepOf("r1", sycamorevane.RolloutTrial, sycamorevane.RolloutMoving, 1.5)), ResultRefused)
	expectResult(t, b.do(stepOf("r1", sycamorevane.RolloutTrial, sycamorevane.RolloutMoving, 0.5)), ResultApplied)
	expectResult(t, b.do(stepOf("r1", sycamorevane.RolloutMoving, sycamorevane.RolloutDone, 1)), ResultApplied)
	require.Equal(t, map[string]float64{"v2": 1}, b.m.State().VersionShares("flagboard"))
	expectResult(t, b.do(rolloutOf("r2", "v2")), ResultRefused, "already runs")
	expectResult(t, b.do(rolloutOf("r3", "v3")), ResultApplied)
	require.Equal(t, "v2", b.m.State().Rollouts["flagboard"].FromVersion)
}

// TestSixteenOperators guards against resends that are applied twice and against answers that no single order of
// the commands explains: 8 operators drain and 8 undrain the same data centre, each resending at random.
func TestSixteenOperators(t *testing.T) {
	const rounds = 20
	b := newBench(t)
	var mu sync.Mutex
	send := func(c Command) Outcome {
		mu.Lock()
		defer mu.Unlock()
		return b.do(c)
	}
	var wg sync.WaitGroup
	answers := make([][]Outcome, 16)
	for op := range answers {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(1, uint64(op)))
			for round := range rounds {
				c := drainDC(fmt.Sprintf("%d-%d", op, round), "a")
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
				answers[op] = append(answers[op], first)
			}
		})
	}
	wg.Wait()
	var all []Outcome
	for op, list := range answers {
		for _, o := range list {
			require.NotEqual(t, "resend was answered differently", o.Reason)
			require.Contains(t, []Result{ResultApplied, ResultUnchanged}, o.Result)
			all = append(all, o)
			if o.Result == ResultApplied {
				require.Equal(t, fmt.Sprint("operator", op), o.Actor)
			}
		}
	}
	page := b.m.Audit(Query{Description: "dc=a"})
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
	_, is := b.m.State().DrainedDCs["a"]
	require.Equal(t, drained, is)
}

func genCommand(t *rapid.T, version uint64) Command {
	dc := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	c := Command{
		ID: rapid.StringMatching(`[a-f]`).Draw(t, "id"), Actor: rapid.SampledFrom([]string{"ann", "bob"}).Draw(t, "by"),
		AcceptedAt: start + rapid.Int64Range(0, 1000).Draw(t, "at"), Force: rapid.Bool().Draw(t, "force"),
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
		c.Args.Capacity = rows(rapid.IntRange(0, 4).Draw(t, "slots"), 1)
	case 3:
		r := rolloutOf(c.ID, rapid.SampledFrom([]string{"v1", "v2", "v9"}).Draw(t, "to"))
		c.Op, c.Args = r.Op, r.Args
	case 4:
		c.Op, c.Args.Service = OpRollback, "flagboard"
	case 5:
		s := stepOf(rapid.StringMatching(`[a-f]`).Draw(t, "rollout"), phases.Draw(t, "was"), phases.Draw(t, "phase"), 0.5)
		c.ID, c.Op, c.Args = "", s.Op, s.Args
	case 6:
		c.Op, c.Args.Config = OpApply, testConfig()
	}
	return c
}

// TestProperties guards against ids applied twice, versions that decrease, states changed in place and snapshots
// that lose something.
func TestProperties(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t)
		twin := &bench{m: New()}
		first := map[string]Outcome{}
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			before := b.m.State()
			frozen, err := json.Marshal(before)
			require.NoError(t, err)
			c := genCommand(t, before.Version)
			o := b.do(c)
			require.GreaterOrEqual(t, b.m.State().Version, before.Version)
			unchanged, err := json.Marshal(before)
			require.NoError(t, err)
			require.Equal(t, string(frozen), string(unchanged))
			if known, ok := first[c.ID]; ok && c.ID != "" {
				require.Equal(t, known, o)
				require.Same(t, before, b.m.State())
			}
			first[c.ID] = o
		}
		expectTwin(t, b, twin)
		c := genCommand(t, b.m.State().Version)
		require.Equal(t, b.do(c), twin.do(c), "a restored machine goes on as the original")
	})
}

// expectTwin restores a snapshot into another machine and compares what both know.
func expectTwin(t *rapid.T, b, twin *bench) {
	data, err := b.m.Snapshot()
	require.NoError(t, err)
	require.NoError(t, twin.m.Restore(data))
	twin.index = b.index
	again, err := twin.m.Snapshot()
	require.NoError(t, err)
	require.Equal(t, string(data), string(again))
	require.Equal(t, b.m.State(), twin.m.State())
	require.Equal(t, b.m.Index(), twin.m.Index())
}

// TestRestoreRefusesDamage guards against a damaged snapshot that replaces a good state.
func TestRestoreRefusesDamage(t *testing.T) {
	b := newBench(t)
	good, err := b.m.Snapshot()
	require.NoError(t, err)
	lines := []string{
		"", "{", "null", `{"format":9}`, `{"format":1,"next":1}`, `{"format":1,"next":0,"state":{}}`,
		`{"format":1,"next":2,"state":{}}`, `{"format":1,"next":2,"count":1,"state":{}}`,
		`{"format":1,"next":2,"count":1,"state":{}}{"seq":2}`, `{"format":1,"next":1,"state":{}}{"seq":1}`,
	}
	damaged := [][]byte{nil, good[:len(good)-1], good[:len(good)/2]}
	for _, line := range lines {
		damaged = append(damaged, packed(t, line))
	}
	for i, data := range damaged {
		require.Error(t, b.m.Restore(data), i)
		same, err := b.m.Snapshot()
		require.NoError(t, err)
		require.Equal(t, good, same)
	}
}

// TestRestoreAfterBitFlips guards against a snapshot with one flipped bit that is restored as another state. A flip in
// the padding of the compressed form may go unnoticed, since it changes nothing.
func TestRestoreAfterBitFlips(t *testing.T) {
	b := newBench(t)
	good, err := b.m.Snapshot()
	require.NoError(t, err)
	for i := range good {
		data := slices.Clone(good)
		data[i] ^= 0x10
		_ = b.m.Restore(data)
		same, err := b.m.Snapshot()
		require.NoError(t, err)
		require.Equal(t, good, same, i)
	}
}

func packed(t *testing.T, line string) []byte {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	_, err := z.Write([]byte(line))
	require.NoError(t, err)
	require.NoError(t, z.Close())
	return out.Bytes()
}

// TestConfigRoundTrip guards against a configuration that changes when an operator reads it and applies it again.
func TestConfigRoundTrip(t *testing.T) {
	cfg := bigConfig()
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

// FuzzDecode guards against log data that panics the state machine or that changes when it is encoded again.
func FuzzDecode(f *testing.F) {
	for _, c := range []Command{drainDC("1", "a"), rolloutOf("2", "v2"), stepOf("2", "waiting", "trial", 0.01)} {
		data, err := Encode(c)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"format":1,"id":"x","op":"apply","args":{"config":null},"by":"","at":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := newBench(t)
		b.index++
		reply := b.m.Apply(sycamorevane.LogEntry{Index: b.index, Data: data})
		_, err := DecodeOutcome(reply)
		require.NoError(t, err)
		c, err := Decode(data)
		if err != nil {
			require.Equal(t, uint64(1), b.m.State().Version)
			return
		}
		again, err := Encode(c)
		require.NoError(t, err)
		_, err = Decode(again)
		require.NoError(t, err)
	})
}
