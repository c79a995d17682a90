package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// Guards against long uploads that end, and thus start to run, while the host of the server is slow.
func TestEndOfALongBodyWaitsForAQuietMachine(t *testing.T) {
	t.Parallel()
	const size, pause, delay, timeout = 100 << 10, 3 * maxSelectionAge, 100 * time.Millisecond, 20 * time.Second
	cases := map[string]struct {
		size    int
		median  time.Duration
		chunked bool
		delayed bool
	}{
		"long":                     {size, 10 * time.Second, false, true},
		"short":                    {1 << 10, 10 * time.Second, false, false},
		"too late to be in time":   {size, timeout, false, false},
		"of unknown length":        {size, 10 * time.Second, true, false},
		"of unknown length, whole": {minDelayedBodyBytes, 10 * time.Second, true, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var receivedAt, delayEndedAt atomic.Int64
			server, target := newScriptedServer(t, func(s *scriptedServer, _ int, c net.Conn) {
				if req, ok := s.readRequest(bufio.NewReader(c)); ok {
					receivedAt.Store(time.Now().UnixNano())
					_, _ = io.WriteString(c, strings.ReplaceAll(provenResponse, "ID", req.Header.Get("X-Request-Id")))
				}
			})
			r := newTestRig(t, withRules(func(cfg *Config, st *sycamorevane.State) {
				st.Config.Rules[1].SoftTimeout, st.Config.Rules[1].Timeout = time.Millisecond, timeout
				cfg.WaitWhileSlow = func(_ context.Context, id string, until time.Time) {
					assert.Equal(t, target.ID, id)
					assert.True(t, until.Before(time.Now().Add(timeout-tc.median)))
					if time.Now().Before(until) {
						time.Sleep(delay)
						delayEndedAt.Store(time.Now().UnixNano())
					}
				}
			}), target)
			x := r.f.current()
			x.ruleStates[x.findRule("flagboard.test", "/set/x")].medianLatency.value = tc.median.Seconds()
			body, w := io.Pipe()
			go func() {
				_, _ = io.WriteString(w, strings.Repeat("x", tc.size-1))
				// The selection of the server must be older than pause when the body ends. It happens once the prefix has arrived.
				for tc.size == size && server.requestCount() == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(pause)
				_, _ = io.WriteString(w, "y")
				_ = w.Close()
			}()
			req, err := http.NewRequest("POST", r.httpServer.URL+"/set/x", body)
			require.NoError(t, err)
			req.Host = "flagboard.test"
			req.Header["X-Request-Id"] = []string{"q1"}
			if !tc.chunked {
				req.ContentLength = int64(tc.size)
			}
			resp, err := r.client.Do(req)
			require.NoError(t, err)
			_ = resp.Body.Close()
			require.Equal(t, 200, resp.StatusCode)
			require.Equal(t, 1, server.requestCount())
			require.Equal(t, tc.delayed, delayEndedAt.Load() != 0)
			require.GreaterOrEqual(t, receivedAt.Load(), delayEndedAt.Load(), "the server must get the last byte only after the delay")
		})
	}
}
