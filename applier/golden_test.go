package applier

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/pinner"
)

// filledMachine returns a machine whose snapshot has a value in every field.
func filledMachine(t *testing.T) *Machine {
	m := New()
	st := pinner.Fill[sycamorevane.State]()
	require.Empty(t, pinner.ZeroFields(st))
	m.state.Store(&st)
	m.index, m.actor, m.changedAt = 9001, "alice", 1700000000123
	m.targets = pinner.Fill[map[string]Target]()
	for i := range 2 {
		r := pinner.Fill[Record]()
		require.Empty(t, pinner.ZeroFields(r))
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
	stored := pinner.CheckGzip(t, "snapshot.json", data)
	h, err := readSnapshotHeader(json.NewDecoder(bytes.NewReader(pinner.Gunzip(t, stored))))
	require.NoError(t, err)
	require.Empty(t, pinner.ZeroFields(h))

	read := New()
	require.NoError(t, read.Restore(stored))
	require.Equal(t, m.State(), read.State())
	require.Equal(t, []any{m.index, m.actor, m.changedAt, m.targets}, []any{read.index, read.actor, read.changedAt, read.targets})
	require.Equal(t, m.trail, read.trail)
}

// Guards against a log that another version cannot decode, for example because a renamed Go field changed its key in
// the stored or sent form.
func TestGoldenCommand(t *testing.T) {
	c := pinner.Fill[Command]()
	c.Format = FormatVersion
	require.Empty(t, pinner.ZeroFields(c))
	data, err := Encode(c)
	require.NoError(t, err)
	read, err := Decode(pinner.Check(t, "command.json", data))
	require.NoError(t, err)
	require.Equal(t, c, read)
}

// Guards against an outcome that another version cannot decode, for example because a renamed Go field changed its key
// in the stored or sent form. The second outcome comes from Apply.
func TestGoldenOutcome(t *testing.T) {
	o := pinner.Fill[Outcome]()
	require.Empty(t, pinner.ZeroFields(o))
	data, err := json.Marshal(o)
	require.NoError(t, err)
	read, err := DecodeOutcome(pinner.Check(t, "outcome.json", data))
	require.NoError(t, err)
	require.Equal(t, o, read)

	m := filledMachine(t)
	c := pinner.Fill[Command]()
	c.Op = OpConfigure
	c.ExpectedVersion = &m.State().Version
	c.Args.Config.Services[0].RetryRatio = 2
	cmd, err := Encode(c)
	require.NoError(t, err)
	outcome := m.Apply(sycamorevane.LogEntry{Index: m.index + 1, Data: cmd})
	read, err = DecodeOutcome(pinner.Check(t, "refusal.json", outcome))
	require.NoError(t, err)
	require.Equal(t, ResultRefused, read.Result)
	require.Empty(t, pinner.ZeroFields(read))
}

// Guards against a page of the audit trail that clients cannot decode, for example because a renamed Go field changed
// its key in the response.
func TestGoldenPage(t *testing.T) { pinner.CheckJSON(t, "page.json", pinner.Fill[Page]()) }

// Guards against a configuration that another version decodes differently, for example because a renamed Go field
// changed its key. config.json has the form of commands and states, config-operator.json the external form for
// operators.
func TestGoldenConfig(t *testing.T) {
	cfg := pinner.Fill[sycamorevane.Config]()
	pinner.CheckJSON(t, "config.json", cfg)

	data, err := EncodeConfig(&cfg)
	require.NoError(t, err)
	read, err := DecodeConfig(pinner.Check(t, "config-operator.json", data))
	require.NoError(t, err)
	require.Equal(t, &cfg, read)
}
