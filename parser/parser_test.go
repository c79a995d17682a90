package parser

import (
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

const validConfig = `
[limits]
lease = 2s
[dc midlands-a]
[firm north]
weight = 2
[service flagboard]
timeout = 2s
retry = 0.2
[route flagboard/raise]
method = POST
prefix = /flags
idempotent = false
[host e1]
dc = midlands-a
roles = entry, control
mesh = 127.0.0.1:7000
caller = 127.0.0.1:8000
announce = 127.0.0.1:8001
operator = 127.0.0.1:9000
`

const validSettings = `
[host]
name = e1
dc = midlands-a
mesh = 127.0.0.1:7000
[cluster]
key = 0123456789abcdef
control = e1@127.0.0.1:7000
[entry]
caller = 127.0.0.1:8000
announce = 127.0.0.1:8001
[control]
data = data
listen = 127.0.0.1:9000
[operator alice]
token = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
`

func requireFault(t *testing.T, err error, section, key string) {
	t.Helper()
	var faults Faults
	require.True(t, errors.As(err, &faults), "got %v", err)
	for _, f := range faults {
		if f.Section == section && f.Key == key {
			require.Equal(t, "f.ini", f.File)
			require.NotEmpty(t, f.Reason)
			return
		}
	}
	t.Fatalf("no fault for [%s] %s in:\n%v", section, key, err)
}

func TestConfigRoundTrip(t *testing.T) {
	c, err := ParseConfig("f.ini", []byte(validConfig))
	require.NoError(t, err)
	require.Equal(t, 0.2, c.Services[0].RetryRatio)
	require.False(t, c.Services[0].Routes[0].Idempotent)
	again, err := ParseConfig("f.ini", FormatConfig(c))
	require.NoError(t, err)
	require.Equal(t, c, again)
}

func TestSettingsRoundTrip(t *testing.T) {
	s, err := ParseSettings("f.ini", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, "e1", s.ControlHosts[0].Name)
	again, err := ParseSettings("f.ini", FormatSettings(s))
	require.NoError(t, err)
	require.Equal(t, s, again)
}

// Each row guards against one kind of invalid input being accepted, or rejected without naming its section and key.
func TestConfigFaults(t *testing.T) {
	rows := []struct{ name, from, to, section, key string }{
		{"unknown key", "weight = 2", "wieght = 2", "firm north", "wieght"},
		{"unknown section", "[dc midlands-a]", "[dc midlands-a]\n[zone b]", "zone b", ""},
		{"key twice", "weight = 2", "weight = 2\nweight = 3", "firm north", "weight"},
		{"section twice", "[firm north]", "[firm north]\n[firm north]", "firm north", ""},
		{"bad duration", "timeout = 2s", "timeout = 2", "service flagboard", "timeout"},
		{"share above one", "retry = 0.2", "retry = 1.2", "service flagboard", "retry"},
		{"share not a number", "retry = 0.2", "retry = nan", "service flagboard", "retry"},
		{"lease above limit", "lease = 2s", "lease = 4s", "limits", "lease"},
		{"unknown data centre", "dc = midlands-a\n", "dc = midlands-z\n", "host e1", "dc"},
		{"unknown role", "roles = entry, control", "roles = entry, control, spare", "host e1", "roles"},
		{"host name as address", "mesh = 127.0.0.1:7000", "mesh = localhost:7000", "host e1", "mesh"},
		{"address twice", "announce = 127.0.0.1:8001", "announce = 127.0.0.1:8000", "host e1", ""},
		{"missing key", "prefix = /flags\n", "", "route flagboard/raise", "prefix"},
		{"route of no service", "[route flagboard/raise]", "[route flagbord/raise]", "route flagbord/raise", ""},
		{"reserved prefix", "prefix = /flags", "prefix = /.vane/x", "route flagboard/raise", "prefix"},
		{"no control host", "roles = entry, control", "roles = entry", "host NAME", "roles"},
		{"bad name", "[firm north]", "[firm North!]", "firm North!", ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			require.Contains(t, validConfig, row.from)
			_, err := ParseConfig("f.ini", []byte(strings.Replace(validConfig, row.from, row.to, 1)))
			if row.name == "address twice" {
				require.ErrorContains(t, err, "already belongs to")
				return
			}
			requireFault(t, err, row.section, row.key)
		})
	}
}

func TestSettingsFaults(t *testing.T) {
	rows := []struct{ name, from, to, section, key string }{
		{"no host section", "[host]", "[hsot]", "host", ""},
		{"short key", "key = 0123456789abcdef", "key = 0123", "cluster", "key"},
		{"bad contact", "control = e1@127.0.0.1:7000", "control = e1", "cluster", "control"},
		{"clear token", "token = 9f86", "token = secret", "operator alice", "token"},
		{"no operator", "[operator alice]\ntoken = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n", "", "operator NAME", "token"},
		{"unknown key", "data = data", "date = data", "control", "date"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			require.Contains(t, validSettings, row.from)
			_, err := ParseSettings("f.ini", []byte(strings.Replace(validSettings, row.from, row.to, 1)))
			requireFault(t, err, row.section, row.key)
		})
	}
}

// Guards against validation that stops at the first error.
func TestAllFaultsAreReported(t *testing.T) {
	bad := strings.NewReplacer("weight = 2", "weight = 0", "retry = 0.2", "retry = 7", "lease = 2s", "lease = soon").Replace(validConfig)
	_, err := ParseConfig("f.ini", []byte(bad))
	var faults Faults
	require.True(t, errors.As(err, &faults))
	require.GreaterOrEqual(t, len(faults), 3)
}

// Guards against a configuration sent over the operator API with values outside the ranges of the file format.
func TestCheckAppliesRanges(t *testing.T) {
	c, err := ParseConfig("f.ini", []byte(validConfig))
	require.NoError(t, err)
	c.Services[0].MaxQueued = 0
	c.Limits.EntriesTTL = 0
	faults := Check("command", c)
	require.Len(t, faults, 2)
}

func TestDefaultRouteIsIdempotentByMethod(t *testing.T) {
	s := DefaultService("x")
	require.True(t, s.Route("GET", "/").Idempotent)
	require.False(t, s.Route("POST", "/").Idempotent)
	s.Routes = []sycamorevane.Route{{Name: "read", Method: "POST", Prefix: "/search", Idempotent: true}}
	require.True(t, s.Route("POST", "/search/x").Idempotent)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := ParseConfig("f.ini", data); err == nil {
			_, err = ParseConfig("f.ini", FormatConfig(c))
			require.NoError(t, err)
		}
		_, _ = ParseSettings("f.ini", data)
	})
}
