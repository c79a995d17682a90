package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newServer(t *testing.T, h http.HandlerFunc) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(Config{Handler: h, Log: logr.Discard(), Limits: func() Limits {
		return Limits{MaxHeaderBytes: 8 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
	}})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-ended
	})
	return s, l.Addr().String()
}

// testCaller is a raw connection to the server.
type testCaller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *testCaller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return &testCaller{t, c, bufio.NewReader(c)}
}

func (c *testCaller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	require.NoError(c.t, err)
}

func (c *testCaller) expect(status int, body string) *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	require.NoError(c.t, err)
	got, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	require.Equal(c.t, status, resp.StatusCode)
	require.Equal(c.t, body, string(got))
	return resp
}

func (c *testCaller) expectEnd() {
	c.t.Helper()
	_, err := c.r.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

// sleepHandler waits for the number of milliseconds in the path and responds with the path.
func sleepHandler(w http.ResponseWriter, r *http.Request) {
	ms, _ := strconv.Atoi(r.URL.Path[1:])
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, r.URL.Path)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\nHost: h\n\n" }

// Guards against pipelined requests that wait for the preceding ones, and against responses in a different order.
func TestPipelinedRequestsAreServedAtOnce(t *testing.T) {
	_, addr := newServer(t, sleepHandler)
	c := dial(t, addr)
	startTime := time.Now()
	c.send(get("/200") + get("/150") + get("/100") + get("/1"))
	for _, want := range []string{"/200", "/150", "/100", "/1"} {
		c.expect(200, want)
	}
	require.Less(t, time.Since(startTime), 400*time.Millisecond)
	c.send(get("/2"))
	c.expect(200, "/2")
}

// Guards against starting a request that may change state before the preceding responses are complete.
func TestRequestsWithABodyAreServedAlone(t *testing.T) {
	var running, maxRunning atomic.Int64
	_, addr := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		defer running.Add(-1)
		sleepHandler(w, r)
	})
	c := dial(t, addr)
	c.send("POST /50 HTTP/1.1\nHost: h\nContent-Length: 3\n\nabc" + "POST /1 HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n3\nabc\n0\n\n" + get("/1"))
	for _, want := range []string{"/50", "/1", "/1"} {
		c.expect(200, want)
	}
	require.Equal(t, int64(1), maxRunning.Load())
}

// Guards against continuing requests of callers that have disconnected, including when more of their requests wait.
func TestCallerLeaves(t *testing.T) {
	for name, text := range map[string]string{
		"one request":     get("/9000"),
		"several":         strings.Repeat(get("/9000"), 4),
		"after a body":    "POST /9000 HTTP/1.1\nHost: h\nContent-Length: 3\n\nabc",
		"its last one":    "GET /9000 HTTP/1.1\nHost: h\nConnection: close\n\n",
		"within a header": get("/9000") + "GET /x HT",
	} {
		t.Run(name, func(t *testing.T) {
			canceled := make(chan struct{}, 8)
			_, addr := newServer(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				canceled <- struct{}{}
			})
			c := dial(t, addr)
			c.send(text)
			time.Sleep(30 * time.Millisecond)
			require.NoError(t, c.Close())
			select {
			case <-canceled:
			case <-time.After(400 * time.Millisecond):
				require.Fail(t, "the request was not canceled")
			}
		})
	}
}

// Guards against an incomplete response that looks complete, and against a response that is sent for the wrong request.
func TestAbortedAnswerEndsTheConnection(t *testing.T) {
	_, addr := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/cut":
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "cut")
			panic(http.ErrAbortHandler)
		case "/panic":
			panic("unexpected")
		}
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	for _, path := range []string{"/cut", "/panic"} {
		c := dial(t, addr)
		c.send(get("/first") + get(path) + get("/last"))
		c.expect(200, "/first")
		rest, _ := io.ReadAll(c.r)
		require.NotContains(t, string(rest), "/last")
	}
}

// Guards against a connection that stays open although the caller has sent Connection: close.
func TestLastRequestOfACaller(t *testing.T) {
	_, addr := newServer(t, sleepHandler)
	for _, path := range []string{"/0", "/50"} {
		c := dial(t, addr)
		c.send(get("/20") + "GET " + path + " HTTP/1.1\nHost: h\nConnection: close\n\n")
		c.expect(200, "/20")
		require.True(t, c.expect(200, path).Close)
		c.expectEnd()
	}
}

func TestFormOfAnswers(t *testing.T) {
	_, addr := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/none":
		case "/status":
			w.WriteHeader(http.StatusNoContent)
		case "/stream":
			rc := http.NewResponseController(w)
			for i := range 3 {
				_, _ = fmt.Fprint(w, i)
				_ = rc.Flush()
			}
		case "/close":
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "bye")
		case "/length":
			w.Header().Set("Content-Length", "2")
			_, _ = io.WriteString(w, "ok")
		}
	})
	c := dial(t, addr)
	c.send(get("/none") + get("/status") + get("/stream") + get("/length") + get("/close"))
	require.Equal(t, int64(0), c.expect(200, "").ContentLength)
	c.expect(204, "")
	require.Equal(t, []string{"chunked"}, c.expect(200, "012").TransferEncoding)
	require.Equal(t, int64(2), c.expect(200, "ok").ContentLength)
	require.True(t, c.expect(200, "bye").Close)
	c.expectEnd()
	c = dial(t, addr)
	c.send("HEAD /length HTTP/1.1\nHost: h\n\n")
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodHead})
	require.NoError(t, err)
	require.Equal(t, int64(2), resp.ContentLength)
}

// Guards against requests that two HTTP implementations could parse differently, and against callers that keep connections
// open without sending complete requests.
func TestRefusedRequests(t *testing.T) {
	_, addr := newServer(t, sleepHandler)
	for name, tc := range map[string]struct {
		text   string
		status int
	}{
		"not HTTP":        {"hello\n\n", 400},
		"no Host":         {"GET /1 HTTP/1.1\n\n", 400},
		"two Hosts":       {"GET /1 HTTP/1.1\nHost: a\nHost: b\n\n", 400},
		"broken name":     {"GET /1 HTTP/1.1\nHost: h\nX Y: 1\n\n", 400},
		"two lengths":     {"POST /1 HTTP/1.1\nHost: h\nContent-Length: 1\nContent-Length: 2\n\nab", 400},
		"unknown coding":  {"POST /1 HTTP/1.1\nHost: h\nTransfer-Encoding: gzip\n\n", 501},
		"large header":    {"GET /1 HTTP/1.1\nHost: h\nX: " + strings.Repeat("x", 16<<10) + "\n\n", 431},
		"slow header":     {"GET /1 HTTP/1.1\nHost:", 408},
		"after a request": {get("/50") + "hello\n\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, addr)
			c.send(tc.text)
			if name == "after a request" {
				c.expect(200, "/50")
			}
			require.True(t, c.expect(tc.status, "").Close)
		})
	}
	t.Run("an idle connection ends", func(t *testing.T) {
		c := dial(t, addr)
		c.send(get("/1"))
		c.expect(200, "/1")
		c.expectEnd()
	})
}

func TestBodies(t *testing.T) {
	_, addr := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/early" {
			w.Header().Set("Content-Length", "5")
			_, _ = io.WriteString(w, "early")
			return
		}
		got, err := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%d %v", len(got), err)
	})
	t.Run("a confirmation is sent when the body is wanted", func(t *testing.T) {
		c := dial(t, addr)
		c.send("POST / HTTP/1.1\nHost: h\nExpect: 100-continue\nContent-Length: 3\n\n")
		line, err := c.r.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
		_, _ = c.r.ReadString('\n')
		c.send("abc")
		c.expect(200, "3 <nil>")
	})
	t.Run("an answer before the end of the body ends the connection", func(t *testing.T) {
		c := dial(t, addr)
		c.send("POST /early HTTP/1.1\nHost: h\nContent-Length: 100\n\nabc")
		require.True(t, c.expect(200, "early").Close)
		c.expectEnd()
	})
	t.Run("a body that ends early is no whole body", func(t *testing.T) {
		c := dial(t, addr)
		c.send("POST / HTTP/1.1\nHost: h\nContent-Length: 100\n\nabc")
		require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
		resp, err := http.ReadResponse(c.r, nil)
		if err == nil {
			got, _ := io.ReadAll(resp.Body)
			require.Contains(t, string(got), "unexpected EOF")
		}
	})
}

// Guards against a shutdown that interrupts requests or waits for idle connections.
func TestShutdown(t *testing.T) {
	s, addr := newServer(t, sleepHandler)
	idle, busy := dial(t, addr), dial(t, addr)
	idle.send(get("/1"))
	idle.expect(200, "/1")
	busy.send(get("/200") + get("/150"))
	time.Sleep(50 * time.Millisecond)
	startTime := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	busy.expect(200, "/200")
	busy.expect(200, "/150")
	busy.expectEnd()
	idle.expectEnd()
	require.NoError(t, <-done)
	require.Less(t, time.Since(startTime), time.Second)
	_, err := net.Dial("tcp", addr)
	require.Error(t, err)
}
