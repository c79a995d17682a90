package parser

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/goldentester"
)

func readTestdata(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	require.NoError(t, err)
	return data
}

// Guards against a change of the configuration's file or JSON format, which other versions and stored files rely on; a
// renamed Go field without a tag changes the JSON. The output of FormatConfig must equal the file, so the file contains
// every key that FormatConfig writes. The files in testdata are only edited by hand.
func TestGoldenConfig(t *testing.T) {
	c, err := ParseConfig("config.ini", readTestdata(t, "config.ini"))
	require.NoError(t, err)
	require.Equal(t, string(readTestdata(t, "config.ini")), string(FormatConfig(c)))
	data, err := json.Marshal(c)
	require.NoError(t, err)
	var read sycamorevane.Config
	require.NoError(t, json.Unmarshal(goldentester.Check(t, "config.json", data), &read))
	require.Equal(t, c, &read)

	// The first item of each list has every key, and each key sets one field. The fields listed here cannot be set in a
	// file.
	full := *c
	full.Workspaces, full.Hosts, full.Services = c.Workspaces[:1], c.Hosts[:1], c.Services[:1]
	full.Services[0].Routes = full.Services[0].Routes[:1]
	require.Equal(t, []string{
		"Config.Services[0].HedgeRatio", "Config.Services[0].HealthPath", "Config.Services[0].MaxConns", "Config.Services[0].ColdPeriod",
		"Config.Services[0].ColdRate", "Config.Workspaces[0].Priority", "Config.Limits.HeaderTimeout", "Config.Limits.IdleTimeout", "Config.SequenceNumber", "Config.Rules",
		"Config.Document",
	}, goldentester.ZeroFields(full))
}

// Guards against a change of the format of settings files, which other versions rely on.
func TestGoldenSettings(t *testing.T) {
	s, err := ParseSettings("settings.ini", readTestdata(t, "settings.ini"))
	require.NoError(t, err)
	require.Empty(t, goldentester.ZeroFields(*s))
	require.Equal(t, string(readTestdata(t, "settings.ini")), string(FormatSettings(s)))
	goldentester.Check(t, "settings.json", goldentester.MarshalValues(t, s))
}

// Guards against a change of how settings files of deployments with discovery are read. There is no FormatDiscovery to
// compare with, since only users of the system write such files.
func TestGoldenOpen(t *testing.T) {
	s, err := ParseDiscovery("open.ini", readTestdata(t, "open.ini"))
	require.NoError(t, err)
	require.Empty(t, goldentester.ZeroFields(*s))
	goldentester.Check(t, "open.json", goldentester.MarshalValues(t, s))
}
