package parser

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/pinner"
)

func stored(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	require.NoError(t, err)
	return data
}

// Guards against a configuration file that another version reads or writes otherwise: a renamed Go field changes the
// bytes that another version or a stored file holds. What the writer gives is the file, so that the file has every key
// that it writes. The files are written by hand only.
func TestGoldenConfig(t *testing.T) {
	c, err := ParseConfig("config.ini", stored(t, "config.ini"))
	require.NoError(t, err)
	require.Equal(t, string(stored(t, "config.ini")), string(FormatConfig(c)))
	data, err := json.Marshal(c)
	require.NoError(t, err)
	var read sycamorevane.Config
	require.NoError(t, json.Unmarshal(pinner.Check(t, "config.json", data), &read))
	require.Equal(t, c, &read)

	// The first of each list has every key. Each key sets one field; the rest cannot be set by a file.
	full := *c
	full.Workspaces, full.Hosts, full.Services = c.Workspaces[:1], c.Hosts[:1], c.Services[:1]
	full.Services[0].Routes = full.Services[0].Routes[:1]
	require.Equal(t, []string{
		"Config.Services[0].HedgeRatio", "Config.Services[0].HealthPath", "Config.Services[0].MaxConns", "Config.Services[0].ColdPeriod",
		"Config.Services[0].ColdRate", "Config.Limits.HeaderTimeout", "Config.Limits.IdleTimeout", "Config.SequenceNumber", "Config.Rules",
		"Config.Document",
	}, pinner.Unfilled(full))
}

// Guards against a settings file that another version reads or writes otherwise.
func TestGoldenSettings(t *testing.T) {
	s, err := ParseSettings("settings.ini", stored(t, "settings.ini"))
	require.NoError(t, err)
	require.Empty(t, pinner.Unfilled(*s))
	require.Equal(t, string(stored(t, "settings.ini")), string(FormatSettings(s)))
	pinner.Check(t, "settings.json", pinner.Nameless(t, s))
}

// Guards against a settings file of an open deployment that another version reads otherwise. Only the system's users
// write such files.
func TestGoldenOpen(t *testing.T) {
	s, err := ParseDiscovery("open.ini", stored(t, "open.ini"))
	require.NoError(t, err)
	require.Empty(t, pinner.Unfilled(*s))
	pinner.Check(t, "open.json", pinner.Nameless(t, s))
}
