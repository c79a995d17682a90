package recorder

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

func TestLogIsJSONLines(t *testing.T) {
	var buf bytes.Buffer
	log := NewLogger(&buf, false)
	log.Info("session opened", "peer", "e1")
	log.Error(errors.New("no route"), "dial failed")
	log.V(1).Info("not shown")
	lines := bytes.Split(bytes.TrimSpace(buf.Bytes()), []byte("\n"))
	require.Len(t, lines, 2)
	var line map[string]any
	require.NoError(t, json.Unmarshal(lines[0], &line))
	require.Equal(t, "e1", line["peer"])
	require.NoError(t, json.Unmarshal(lines[1], &line))
	require.Equal(t, "no route", line["err"])
}

// Guards against metric names that make the reporter panic, and against a registry shared by two instances.
func TestTwoProcessesExposeMetrics(t *testing.T) {
	for range 2 {
		m := NewMetrics("e1")
		m.Counter("calls-total").Inc(3)
		m.Histogram("latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 4)).RecordDuration(3 * time.Millisecond)
		require.Eventually(t, func() bool {
			w := httptest.NewRecorder()
			m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
			return bytes.Contains(w.Body.Bytes(), []byte(`sycamorevane_calls_total{host="e1"} 3`)) &&
				bytes.Contains(w.Body.Bytes(), []byte(`sycamorevane_latency_bucket{host="e1",le="0.004"} 1`))
		}, 3*time.Second, 20*time.Millisecond)
		require.NoError(t, m.Close())
	}
}
