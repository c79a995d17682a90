package acceptor

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/reporter"
)

// closeNoticeTime is the users' bound for what still runs after a caller has closed its connection.
const closeNoticeTime = 500 * time.Millisecond

// Guards against requests that run, or are started, after their caller has closed the connection: what it had sent ahead hides the
// close, because it is not read while the connection waits.
func TestCloseBehindRequestsSentAhead(t *testing.T) {
	const post = "POST /10000 HTTP/1.1\nHost: h\nContent-Length: 3\n\nabc"
	for name, c := range map[string]struct {
		sent    string
		started int64
	}{
		"more requests than run at once":    {strings.Repeat(get("/10000"), maxConcurrentExchanges+4), maxConcurrentExchanges},
		"a request that must run alone":     {get("/10000") + post, 1},
		"a request behind one with a body":  {post + get("/10000"), 1},
		"data behind the last request":      {"GET /10000 HTTP/1.1\nHost: h\nConnection: close\n\n" + get("/1"), 1},
		"a body that the handler has left":  {"POST /10000 HTTP/1.1\nHost: h\nContent-Length: 9\n\nabc", 1},
		"a body longer than what is stored": {"POST /10000 HTTP/1.1\nHost: h\nContent-Length: 200000\n\n" + strings.Repeat("x", 100_000), 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reporter.SkipKnownFailures(t)
			var started, ended atomic.Int64
			_, addr := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
				started.Add(1)
				defer ended.Add(1)
				if r.Method == http.MethodPost && r.ContentLength == 3 {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				select {
				case <-time.After(10 * time.Second):
				case <-r.Context().Done():
				}
			})
			caller := dial(t, addr)
			caller.send(c.sent)
			require.Eventually(t, func() bool { return started.Load() == c.started }, time.Second, time.Millisecond)
			require.NoError(t, caller.Close())
			require.Eventually(t, func() bool { return ended.Load() == c.started }, closeNoticeTime, time.Millisecond)
			require.Equal(t, c.started, started.Load())
		})
	}
}

// Guards against a caller that is taken to have left while it only waits.
func TestCallerThatWaitsIsServed(t *testing.T) {
	_, addr := newServer(t, sleepHandler)
	c := dial(t, addr)
	const requests = 2*maxConcurrentExchanges + 3
	c.send(strings.Repeat(get("/250"), requests))
	for range requests {
		c.expect(200, "/250")
	}
}

// Guards against a response that a client never sees, because the connection is reset while it still sends the request.
func TestResponseBeforeTheUploadIsRead(t *testing.T) {
	_, addr := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for name, size := range map[string]int{"that fits the buffers of the connection": 50_000, "that does not": 10 << 20} {
		t.Run("an upload "+name, func(t *testing.T) {
			for range 50 {
				resp, err := http.Post("http://"+addr+"/x", "text/plain", strings.NewReader(strings.Repeat("y", size)))
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				require.Equal(t, "1", resp.Header.Get("Retry-After"))
			}
		})
	}
}
