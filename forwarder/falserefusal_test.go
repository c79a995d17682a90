package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"sycamorevane.example/sycamorevane"
)

// refusalStatuses are the statuses that callers of strictDialect take as a refusal.
var refusalStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// newRefusalRig returns a rig whose callers take refusalStatuses as refusals, and the server that it sends requests to.
func newRefusalRig(t *testing.T, response string, edits ...func(*Config, *sycamorevane.State)) (*testRig, *scriptedServer) {
	script, server := newScriptedServer(t, respondOnce(response, 0))
	return newTestRig(t, withRules(append(edits, func(cfg *Config, _ *sycamorevane.State) {
		cfg.Dialect.ExpectInstance = ""
		cfg.Dialect.NotRunStatuses = refusalStatuses
	})...), server), script
}

// expectNoRefusal checks that the response does not say that the request has not run, and is not taken for the server's own.
func expectNoRefusal(t *testing.T, resp *http.Response) {
	t.Helper()
	assert.Equal(t, http.StatusBadGateway, resp.StatusCode)
	assert.Empty(t, resp.Header.Get("X-Proof"))
}

// responseFramings are responses of a server, without the status line, that end in different ways.
func responseFramings() map[string]string {
	long := strings.Repeat("x", maxBufferedBytes+1)
	return map[string]string{
		"empty":                "Content-Length: 0\r\n\r\n",
		"length":               "Content-Length: 4\r\n\r\nbusy",
		"retry after":          "Retry-After: 1\r\nContent-Length: 4\r\n\r\nbusy",
		"chunks":               "Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n",
		"end of connection":    "\r\nbusy",
		"long, with length":    fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long),
		"long, to the end":     "\r\n" + long,
		"chunks without end":   "Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n",
		"length, then silence": "Content-Length: 400000\r\n\r\nbusy",
	}
}

// Guards against a server's 503 (or 408, 421, 429) that reaches the caller of an order although the server has run it: the caller would
// send the order again.
func TestServerStatusIsNoFalseRefusal(t *testing.T) {
	t.Parallel()
	for _, status := range refusalStatuses {
		for framing, rest := range responseFramings() {
			for name, body := range map[string]string{"order": "", "order with body": "raise", "upload": strings.Repeat("u", 200<<10)} {
				t.Run(fmt.Sprintf("%d/%s/%s", status, framing, name), func(t *testing.T) {
					t.Parallel()
					r, script := newRefusalRig(t, fmt.Sprintf("HTTP/1.1 %d No\r\nX-Request-Id: ID\r\nX-Proof: p\r\n%s", status, rest))
					resp, _, err := r.do("POST", "/set/x", body, "X-Request-Id", "q1")
					require.NoError(t, err)
					require.Equal(t, 1, script.requestCount())
					expectNoRefusal(t, resp)
				})
			}
		}
	}
}

// Guards against a check that also hides what callers need: refusals that are true, and responses to requests that may run again.
func TestTrueRefusalsAreForwarded(t *testing.T) {
	t.Parallel()
	t.Run("stated not run", func(t *testing.T) {
		r, _ := newRefusalRig(t, "HTTP/1.1 503 No\r\nX-Request-Id: ID\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
		resp, _, err := r.do("POST", "/set/x", "raise", "X-Request-Id", "q1")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get(headerRetryAfter))
	})
	for _, status := range refusalStatuses {
		t.Run(fmt.Sprintf("idempotent, %d", status), func(t *testing.T) {
			r, _ := newRefusalRig(t, fmt.Sprintf("HTTP/1.1 %d No\r\nX-Request-Id: ID\r\nX-Proof: p\r\nContent-Length: 4\r\n\r\nbusy", status))
			resp, body, err := r.do("GET", "/x", "", "X-Request-Id", "q1")
			require.NoError(t, err)
			require.Equal(t, status, resp.StatusCode)
			require.Equal(t, "p", resp.Header.Get("X-Proof"))
			require.Equal(t, "busy", body)
		})
	}
	t.Run("another failure of an order", func(t *testing.T) {
		r, _ := newRefusalRig(t, "HTTP/1.1 500 No\r\nX-Request-Id: ID\r\nX-Proof: p\r\nContent-Length: 4\r\n\r\nfail")
		resp, body, err := r.do("POST", "/set/x", "", "X-Request-Id", "q1")
		require.NoError(t, err)
		require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
		require.Equal(t, "fail", body)
	})
}

// Guards against a false refusal by the load balancer itself: the caller stalls in its body after a server has received a part
// of it and may have begun to run the request.
func TestStalledOrderIsNoFalseRefusal(t *testing.T) {
	t.Parallel()
	var received atomic.Int64
	_, server := newScriptedServer(t, func(_ *scriptedServer, _ int, c net.Conn) {
		n, _ := io.Copy(io.Discard, c)
		received.Add(n)
	})
	r := newTestRig(t, withRules(func(cfg *Config, st *sycamorevane.State) {
		cfg.Dialect.NotRunStatuses = refusalStatuses
		st.Config.Services[0].ProgressTimeout = 100 * time.Millisecond
		st.Config.Rules[1].Timeout = 2 * time.Second
	}), server)
	c, err := net.Dial("tcp", r.httpServer.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.WriteString(c, "POST /set/x HTTP/1.1\r\nHost: flagboard.test\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100_000))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	expectNoRefusal(t, resp)
	require.Eventually(t, func() bool { return received.Load() > 0 }, time.Second, time.Millisecond)
}

// recordedClaims is a Deduplicator that keeps the last response.
type recordedClaims struct {
	mu       sync.Mutex
	finished bool
	response *sycamorevane.RecordedResponse
}

func (d *recordedClaims) Claim(context.Context, sycamorevane.Claim) (sycamorevane.ClaimResult, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.finished:
		return sycamorevane.ClaimResult{State: sycamorevane.ClaimFresh}, nil
	case d.response == nil:
		return sycamorevane.ClaimResult{State: sycamorevane.ClaimUncertain}, nil
	}
	return sycamorevane.ClaimResult{State: sycamorevane.ClaimAnswered, Response: d.response}, nil
}

func (d *recordedClaims) Finish(_ context.Context, _ sycamorevane.Claim, resp *sycamorevane.RecordedResponse) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finished, d.response = true, resp
	return nil
}

func (d *recordedClaims) Abandon(context.Context, sycamorevane.Claim) error { return nil }

// Guards against the same with an idempotency key, where a resend gets the recorded response.
func TestRecordedStatusIsNoFalseRefusal(t *testing.T) {
	t.Parallel()
	for framing, rest := range responseFramings() {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			r, script := newRefusalRig(t, "HTTP/1.1 429 No\r\nX-Request-Id: ID\r\nX-Proof: p\r\n"+rest, func(cfg *Config, _ *sycamorevane.State) {
				cfg.Dialect.IdempotencyKey = headerIdempotencyKey
				cfg.Dedup = &recordedClaims{}
			})
			for range 2 {
				resp, _, err := r.do("GET", "/x", "", headerIdempotencyKey, "k")
				require.NoError(t, err)
				expectNoRefusal(t, resp)
			}
			assert.Equal(t, 1, script.requestCount())
		})
	}
}

// Guards against a replaced response that cannot be explained afterwards, or whose server counts as sound.
func TestReplacedStatusIsLoggedAndCounted(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var logs strings.Builder
	scope := tally.NewTestScope("", nil)
	r, _ := newRefusalRig(t, "HTTP/1.1 503 No\r\nX-Request-Id: ID\r\nX-Proof: p\r\nContent-Length: 0\r\n\r\n", func(cfg *Config, _ *sycamorevane.State) {
		cfg.Metrics = scope
		cfg.Log = funcr.New(func(_, args string) {
			mu.Lock()
			defer mu.Unlock()
			logs.WriteString(args)
		}, funcr.Options{})
	})
	resp, body, err := r.do("POST", "/set/x", "", "X-Request-Id", "q1")
	require.NoError(t, err)
	expectNoRefusal(t, resp)
	require.Contains(t, body, "does not show whether the request has run")
	mu.Lock()
	defer mu.Unlock()
	require.Contains(t, logs.String(), "server responded with status 503")
	require.Contains(t, logs.String(), `"request"="q1"`)
	require.Contains(t, logs.String(), r.limiter.servers[0].ID)
	require.EqualValues(t, 1, scope.Snapshot().Counters()["forwarder.false_refusals+"].Value())
	require.Equal(t, []sycamorevane.OutcomeKind{sycamorevane.OutcomeFailed}, r.limiter.kinds())
}
