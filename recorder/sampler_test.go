package recorder

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against logs that grow with the load, and against skipped lines that are not reported.
func TestSamplerBoundsEachKind(t *testing.T) {
	var buf bytes.Buffer
	s := NewSampler(NewLogger(&buf, false))
	now := time.Unix(1_000, 0)
	for range 1000 {
		s.Info(now, "request failed", "status", 503)
	}
	s.Info(now, "server paused")
	require.Equal(t, SampleBurstLines, strings.Count(buf.String(), "request failed"))
	require.Equal(t, 1, strings.Count(buf.String(), "server paused"), "each message has its own limit")
	s.Info(now.Add(time.Second), "request failed", "status", 503)
	require.Contains(t, buf.String(), `"skipped":960`)
}
