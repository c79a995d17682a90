package parser

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const discoverySettings = `[host]
name = core-midlands-a-1
dc = midlands-a
address = 10.1.0.13
ports = 7720,7735
memory = 280

[cluster]
key = sycamorevane-open-deployment
seeds = 10.1.0.13:8166,10.2.0.43:8166
first = true
dcs = midlands-a,midlands-b

[control]
data = /data/control
listen = 10.1.0.13:8166
directory = 10.1.0.13:8164

[bounds]
heartbeat = 1500
losses = 2
grace = 6
drain = 2500
ttl = 5
retryshare = 0.2
retryslack = 60
coldfactor = 1.5
coldslack = 5
trialshare = 0.1
trialslack = 50
`

func TestOpenSettings(t *testing.T) {
	s, err := ParseDiscovery("host.ini", []byte(discoverySettings))
	require.NoError(t, err)
	require.Equal(t, "10.1.0.13:7720", s.MeshAddr())
	require.Equal(t, []string{"10.1.0.13:7720", "10.2.0.43:7720"}, s.SeedMeshAddrs())
	require.Equal(t, 1500*time.Millisecond, s.Bounds.HeartbeatInterval)
	require.Equal(t, 2, s.Bounds.LostHosts)
	require.Equal(t, 6*time.Second, s.Bounds.GracePeriod)
	require.Equal(t, 2500*time.Millisecond, s.Bounds.DrainTime)
	require.InDelta(t, 0.1, s.Bounds.MaxTrialShare, 0)
	require.InDelta(t, 50, s.Bounds.TrialSlack, 0)
	require.True(t, s.FirstStart)
	require.Nil(t, s.Entry)
	require.Equal(t, "/data/control", s.Control.DataDir)
}

// Guards against a process that starts with invalid or unknown settings.
func TestRefusedOpenSettings(t *testing.T) {
	cases := map[string]struct{ from, to, fault string }{
		"no role":           {"[control]\ndata = /data/control\nlisten = 10.1.0.13:8166\ndirectory = 10.1.0.13:8164\n", "", "needs the section entry, control or both"},
		"unknown section":   {"[bounds]", "[extra]\n[bounds]", "unknown section"},
		"unknown key":       {"memory = 280", "memory = 280\ndisk = 1", "unknown key"},
		"missing key":       {"dcs = midlands-a,midlands-b\n", "", "key is missing"},
		"name as address":   {"address = 10.1.0.13", "address = core", "must be an IP number"},
		"port range":        {"ports = 7720,7735", "ports = 7735,7720", "first and last port"},
		"seed without port": {"10.2.0.43:8166", "10.2.0.43", "is not IP:PORT"},
		"short key":         {"key = sycamorevane-open-deployment", "key = short", "at least"},
		"other data centre": {"dc = midlands-a", "dc = plateau-a", "is not among the data centres"},
		"negative bound":    {"coldslack = 5", "coldslack = -5", "0 or more"},
		"bound not given":   {"heartbeat = 1500\n", "", "key is missing"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, discoverySettings, tc.from)
			_, err := ParseDiscovery("host.ini", []byte(strings.Replace(discoverySettings, tc.from, tc.to, 1)))
			require.ErrorContains(t, err, tc.fault)
			require.ErrorContains(t, err, "host.ini")
		})
	}
}

// Guards against settings that pass validation but cannot be used, and against panics in the validation.
func FuzzParseOpen(f *testing.F) {
	f.Add([]byte(discoverySettings))
	f.Add([]byte("[host]\nports = 1,2\naddress = ::1\n[cluster]\nseeds = x\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseDiscovery("f.ini", data)
		if err != nil {
			require.Nil(t, s)
			return
		}
		require.True(t, s.Entry != nil || s.Control != nil)
		require.Contains(t, s.DCs, s.DC)
		_, _, err = net.SplitHostPort(s.MeshAddr())
		require.NoError(t, err)
		require.Len(t, s.SeedMeshAddrs(), len(s.Seeds))
	})
}
