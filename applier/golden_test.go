package applier

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/goldentester"
)

// filledMachine returns a machine whose snapshot has a value in every field.
func filledMachine(t *testing.T) *Machine {
	m := New()
	st := goldentester.Fill[sycamorevane.State]()
	require.Empty(t, goldentester.ZeroFields(st))
	m.state.Store(&st)
	m.index, m.actor, m.changedAt = 9001, "alice", 1700000000123
	m.targets = goldentester.Fill[map[string]Target]()
	usage := goldentester.Fill[UsageState]()
	m.usage.Store(&usage)
	m.orders = goldentester.Fill[orderIndex]()
	for i := range 2 {
		r := goldentester.Fill[Record]()
		require.Empty(t, goldentester.ZeroFields(r))
		r.Index += uint64(i)
		r.Outcome.ID += string(rune('a' + i))
		m.trail.add(r)
	}
	return m
}

// Guards against a snapshot that another version cannot decode, for example because a renamed Go field changed its key
// in the stored or sent form.
func TestGoldenSnapshot(t *testing.T) {
	m := filledMachine(t)
	data, err := m.Snapshot()
	require.NoError(t, err)
	stored := goldentester.CheckGzip(t, "snapshot.json", data)
	h, err := readSnapshotHeader(json.NewDecoder(bytes.NewReader(goldentester.Gunzip(t, stored))))
	require.NoError(t, err)
	require.Empty(t, goldentester.ZeroFields(h))

	read := New()
	require.NoError(t, read.Restore(stored))
	require.Equal(t, m.State(), read.State())
	require.Equal(t, m.Usage(), read.Usage())
	require.Equal(t, []any{m.index, m.actor, m.changedAt, m.targets}, []any{read.index, read.actor, read.changedAt, read.targets})
	require.Equal(t, m.trail, read.trail)
	require.Equal(t, m.orders, read.orders)
}

// Guards against a log that another version cannot decode, for example because a renamed Go field changed its key in
// the stored or sent form.
func TestGoldenCommand(t *testing.T) {
	c := goldentester.Fill[Command]()
	c.Format = FormatVersion
	require.Empty(t, goldentester.ZeroFields(c))
	data, err := Encode(c)
	require.NoError(t, err)
	read, err := Decode(goldentester.Check(t, "command.json", data))
	require.NoError(t, err)
	require.Equal(t, c, read)
}

// Guards against an outcome that another version cannot decode, for example because a renamed Go field changed its key
// in the stored or sent form. The second outcome comes from Apply.
func TestGoldenOutcome(t *testing.T) {
	o := goldentester.Fill[Outcome]()
	require.Empty(t, goldentester.ZeroFields(o))
	data, err := json.Marshal(o)
	require.NoError(t, err)
	read, err := DecodeOutcome(goldentester.Check(t, "outcome.json", data))
	require.NoError(t, err)
	require.Equal(t, o, read)

	m := filledMachine(t)
	c := goldentester.Fill[Command]()
	c.Op = OpConfigure
	c.ExpectedVersion = &m.State().Version
	c.Args.Config.Services[0].RetryRatio = 2
	cmd, err := Encode(c)
	require.NoError(t, err)
	outcome := m.Apply(sycamorevane.LogEntry{Index: m.index + 1, Data: cmd})
	read, err = DecodeOutcome(goldentester.Check(t, "refusal.json", outcome))
	require.NoError(t, err)
	require.Equal(t, ResultRefused, read.Result)
	require.Empty(t, goldentester.ZeroFields(read))
}

// Guards against a page of the audit trail that clients cannot decode, for example because a renamed Go field changed
// its key in the response.
func TestGoldenPage(t *testing.T) { goldentester.CheckJSON(t, "page.json", goldentester.Fill[Page]()) }

// Guards against a configuration that another version decodes differently, for example because a renamed Go field
// changed its key. config.json has the form of commands and states, config-operator.json the external form for
// operators.
func TestGoldenConfig(t *testing.T) {
	cfg := goldentester.Fill[sycamorevane.Config]()
	goldentester.CheckJSON(t, "config.json", cfg)

	data, err := EncodeConfig(&cfg)
	require.NoError(t, err)
	read, err := DecodeConfig(goldentester.Check(t, "config-operator.json", data))
	require.NoError(t, err)
	require.Equal(t, &cfg, read)
}
