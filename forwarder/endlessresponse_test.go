package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/reporter"
)

// endlessServer sends prefix and then repeated until the connection closes. It reports to closed how long that took.
type endlessServer struct {
	prefix, repeated string
	pause            time.Duration
	closed           chan time.Duration
}

func (e *endlessServer) serve(s *scriptedServer, _ int, c net.Conn) {
	req, ok := s.readRequest(bufio.NewReader(c))
	if !ok {
		return
	}
	start := time.Now()
	_, err := io.WriteString(c, strings.ReplaceAll(e.prefix, "ID", req.Header.Get("X-Request-Id")))
	for err == nil {
		time.Sleep(e.pause)
		_, err = io.WriteString(c, e.repeated)
	}
	e.closed <- time.Since(start)
}

const provenHeader = "HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: ID\r\n"

// endlessResponses are byte streams that never become a complete response, at full speed or slowly.
func endlessResponses() map[string]*endlessServer {
	const slowInterval = 20 * time.Millisecond
	chunk := strings.Repeat("x", 4096)
	line := "X-Fill: " + strings.Repeat("x", 100) + "\r\n"
	cases := map[string]*endlessServer{
		"no answer at all":                {"", chunk, 0, nil},
		"no answer at all, slowly":        {"", "x", slowInterval, nil},
		"status line":                     {"HTTP/1.1 200 ", chunk, 0, nil},
		"status line, slowly":             {"HTTP/1.1 200 ", "x", slowInterval, nil},
		"header":                          {provenHeader, line, 0, nil},
		"header, slowly":                  {provenHeader, "X-Fill: x\r\n", slowInterval, nil},
		"provisional answers":             {"", "HTTP/1.1 102 Processing\r\n\r\n", 0, nil},
		"provisional answers, slowly":     {"", "HTTP/1.1 102 Processing\r\n\r\n", slowInterval, nil},
		"chunk header":                    {provenHeader + "Transfer-Encoding: chunked\r\n\r\n", "0", 0, nil},
		"chunk header, slowly":            {provenHeader + "Transfer-Encoding: chunked\r\n\r\n", "0", slowInterval, nil},
		"chunk extension":                 {provenHeader + "Transfer-Encoding: chunked\r\n\r\n1;a=", chunk, 0, nil},
		"trailer":                         {provenHeader + "Transfer-Encoding: chunked\r\n\r\n0\r\n", line, 0, nil},
		"trailer, slowly":                 {provenHeader + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Fill: x\r\n", slowInterval, nil},
		"body that never reaches its end": {provenHeader + "Content-Length: 200000\r\n\r\n", "x", slowInterval, nil},
		"refusal that does not end":       {"HTTP/1.1 503 Unavailable\r\nX-Rejected: 1\r\nX-Request-Id: ID\r\nContent-Length: 9000\r\n\r\n", "x", slowInterval, nil},
		"refusal without length":          {"HTTP/1.1 503 Unavailable\r\nX-Rejected: 1\r\nX-Request-Id: ID\r\n\r\n", chunk, 0, nil},
		"failure without length":          {"HTTP/1.1 500 Error\r\nX-Request-Id: ID\r\n\r\n", "x", slowInterval, nil},
		"belated answer":                  {provenHeader + "Content-Length: 2\r\n\r\nok" + "HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: other\r\n\r\n", chunk, 0, nil},
	}
	for _, e := range cases {
		e.closed = make(chan time.Duration, 64)
	}
	return cases
}

// Guards against servers that send an invalid response without end: a caller must not wait beyond its timeout, the
// memory of a small host must not fill up, and the bytes must not be forwarded.
func TestEndlessBytes(t *testing.T) {
	t.Parallel()
	const limit = 500 * time.Millisecond // The timeout of the rules of withRules.
	for name, e := range endlessResponses() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, server := newScriptedServer(t, e.serve)
			r := newTestRig(t, withRules(func(cfg *Config, st *sycamorevane.State) {
				cfg.ResponseGrace = 50 * time.Millisecond
				st.Config.Services[0].ProgressTimeout = 100 * time.Millisecond
			}), server)
			start := time.Now()
			resp, body, err := r.do("POST", "/set/x", "")
			took := time.Since(start)
			assert.Less(t, took, limit+250*time.Millisecond)
			if strings.HasPrefix(name, "chunk") || strings.HasPrefix(name, "trailer") {
				assert.True(t, err != nil || resp.StatusCode >= http.StatusBadGateway, "the caller must see that the response is incomplete")
				return
			}
			require.NoError(t, err)
			switch name {
			case "refusal that does not end", "refusal without length":
				assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "the server has stated that the request has not run")
				assert.Less(t, took, limit/2, "the body must not be awaited")
			case "belated answer":
				assert.Equal(t, "ok", body)
			case "failure without length":
				assert.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError}, resp.StatusCode)
			default:
				assert.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, resp.StatusCode)
				assert.NotContains(t, body, "xxx")
			}
			if name == "no answer at all" || name == "no answer at all, slowly" {
				assert.Less(t, took, limit/2, "the first byte must suffice to reject the response")
			}
			if name == "belated answer" {
				return // The connection is closed when it is next checked; see TestBytesOnIdleConnections.
			}
			select {
			case <-e.closed:
			case <-time.After(limit):
				t.Error("the connection is still open")
			}
		})
	}
}

// Guards against endless bytes in responses to probes.
func TestEndlessBytesInAnswersToQuestions(t *testing.T) {
	t.Parallel()
	const limit = 150 * time.Millisecond
	for name, e := range endlessResponses() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, server := newScriptedServer(t, e.serve)
			r := newTestRig(t, withRules(), server)
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			start := time.Now()
			_, _, err := r.f.Probe(ctx, server, "/health")
			assert.Less(t, time.Since(start), limit+100*time.Millisecond)
			if name != "belated answer" && !strings.HasPrefix(name, "trailer") {
				assert.Error(t, err)
			}
		})
	}
}

// Guards against idle connections that keep receiving bytes that belong to no request.
func TestBytesOnIdleConnections(t *testing.T) {
	t.Parallel()
	e := &endlessServer{provenHeader + "Content-Length: 2\r\n\r\nok", "x", 10 * time.Millisecond, make(chan time.Duration, 1)}
	_, server := newScriptedServer(t, e.serve)
	r := newTestRig(t, withRules(), server)
	_, body, err := r.do("POST", "/set/x", "")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	select {
	case took := <-e.closed:
		require.Less(t, took, sweepInterval+time.Second)
	case <-time.After(sweepInterval + 2*time.Second):
		t.Fatal("the connection is still open")
	}
}

// Guards against endless headers that fill the memory of a host with 184 MB, half of which is for the heap. All of 1,000
// concurrent requests get such a header.
func TestMemoryOfEndlessHeaders(t *testing.T) {
	if testing.Short() {
		t.Skip("sends several hundred MB")
	}
	reporter.SkipKnownFailures(t)
	const requests, maxHeapBytes = 1000, 92 << 20
	e := &endlessServer{provenHeader, "X-Fill: " + strings.Repeat("x", 4000) + "\r\n", time.Millisecond, make(chan time.Duration, requests)}
	_, server := newScriptedServer(t, e.serve)
	server.MaxConns = requests
	r := newTestRig(t, withRules(), server)
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() { _, _, _ = r.do("POST", "/set/x", "") })
	}
	peakHeap := uint64(0)
	for range 20 {
		time.Sleep(25 * time.Millisecond)
		runtime.ReadMemStats(&now)
		peakHeap = max(peakHeap, now.HeapInuse)
	}
	wg.Wait()
	require.Less(t, peakHeap-before.HeapInuse, uint64(maxHeapBytes), "including the callers and servers of the test")
}
