package publisher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/goldentester"
)

// Guards against a state that entries of another version cannot decode, for example because a renamed Go field changed
// its key.
func TestGoldenState(t *testing.T) {
	st := goldentester.Fill[sycamorevane.State]()
	require.Empty(t, goldentester.ZeroFields(st))
	data, err := EncodeState(&st)
	require.NoError(t, err)
	read, err := DecodeState(goldentester.CheckGzip(t, "state.json", data))
	require.NoError(t, err)
	require.Equal(t, &st, read)
}

// Guards against a change that entries of another version cannot decode, for example because a renamed Go field changed
// its key.
func TestGoldenChange(t *testing.T) {
	c := goldentester.Fill[change]()
	require.Empty(t, goldentester.ZeroFields(c))
	data, err := encodeGzip(&c)
	require.NoError(t, err)
	stored := goldentester.CheckGzip(t, "change.json", data)
	var read change
	require.NoError(t, decodeGzip(stored, &read))
	require.Equal(t, c, read)

	from := goldentester.Fill[sycamorevane.State]()
	from.DrainedServers = map[string]int64{c.RemovedDrainedServers[0]: 1}
	to, err := ApplyChange(&from, stored)
	require.NoError(t, err)
	require.Equal(t, &sycamorevane.State{
		Version: c.Version, Config: c.Config.Value, DrainedDCs: c.DrainedDCs.Value,
		DrainedServers: c.UpdatedDrainedServers, UndrainedDCs: c.UndrainedDCs.Value,
		Rollouts: c.Rollouts.Value, ServingVersions: c.ServingVersions.Value, Quarantined: c.Quarantined.Value,
	}, to)
}
