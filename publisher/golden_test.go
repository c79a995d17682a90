package publisher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/pinner"
)

// Guards against a state that entries of another version cannot read: a renamed Go field changes the bytes that another
// version or a stored file holds.
func TestGoldenState(t *testing.T) {
	st := pinner.Fill[sycamorevane.State]()
	require.Empty(t, pinner.Unfilled(st))
	data, err := Encode(&st)
	require.NoError(t, err)
	read, err := Decode(pinner.CheckZipped(t, "state.json", data))
	require.NoError(t, err)
	require.Equal(t, &st, read)
}

// Guards against a change that entries of another version cannot read: a renamed Go field changes the bytes that another
// version or a stored file holds.
func TestGoldenChange(t *testing.T) {
	c := pinner.Fill[change]()
	require.Empty(t, pinner.Unfilled(c))
	data, err := pack(&c)
	require.NoError(t, err)
	stored := pinner.CheckZipped(t, "change.json", data)
	var read change
	require.NoError(t, unpack(stored, &read))
	require.Equal(t, c, read)

	from := pinner.Fill[sycamorevane.State]()
	from.DrainedServers = map[string]int64{c.Forgotten[0]: 1}
	to, err := Apply(&from, stored)
	require.NoError(t, err)
	require.Equal(t, &sycamorevane.State{
		Version: c.Version, Config: c.Config.Now, DrainedDCs: c.DrainedDCs.Now, DrainedServers: c.Left, UndrainedDCs: c.UndrainedDCs.Now,
		Rollouts: c.Rollouts.Now, ServingVersions: c.ServingVersions.Now,
	}, to)
}
