package explainer

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const log = `  35.18 edge-b-2 {"time":"2026-05-24T23:03:51.2Z","level":"INFO","msg":"request late","host":"edge-b-2","request":"q1","ms":700}
not a line of ours
{"time":"2026-05-24T23:03:50.1Z","level":"INFO","msg":"request failed","host":"edge-a-1","request":"q1","status":503,"reason":"queue is full"}
{"time":"2026-05-24T23:03:50.1Z","level":"INFO","msg":"request failed","host":"edge-a-1","request":"q2","status":503}
{"broken`

// Guards against lines of several hosts in the wrong order, and against a report that fails because of one invalid line.
func TestFindsTheWayOfARequest(t *testing.T) {
	r, err := Find("q1", strings.NewReader(log))
	require.NoError(t, err)
	require.Equal(t, 5, r.LinesRead)
	require.Equal(t, 2, r.Unreadable)
	var buf bytes.Buffer
	require.NoError(t, r.Print(&buf))
	require.Equal(t, `23:03:50.100 edge-a-1 request failed: reason=queue is full status=503
23:03:51.200 edge-b-2 request late: ms=700
2 lines of this request; 5 lines read, 2 unreadable
`, buf.String())
}

const quarantineLog = `{"time":"2026-05-24T23:03:50.1Z","msg":"server died while it ran the request","host":"edge-a-1","request":"q0","fingerprint":"0a"}
{"time":"2026-05-24T23:03:50.2Z","msg":"server died with requests running","host":"edge-a-1","server":"s1","fingerprints":["0a","0b"]}
{"time":"2026-05-24T23:03:50.3Z","msg":"quarantine changed","host":"core-a-1","quarantined":["0a"],"released":null}
{"time":"2026-05-24T23:03:50.4Z","msg":"quarantine changed","host":"core-a-1","quarantined":["0c"]}
{"time":"2026-05-24T23:03:50.5Z","msg":"request failed","host":"edge-b-2","request":"q1","fingerprint":"0a","reason":"request has crashed servers"}
`

// Guards against a refusal whose cause, deaths of servers under other copies of the request, is not shown.
func TestFindsWhyARequestIsQuarantined(t *testing.T) {
	r, err := Find("q1", strings.NewReader(quarantineLog))
	require.NoError(t, err)
	var found []string
	for _, l := range r.Lines {
		found = append(found, l.Text)
	}
	require.Equal(t, []string{"server died with requests running", "quarantine changed", "request failed"}, found)
}
