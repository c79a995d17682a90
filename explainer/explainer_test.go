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
