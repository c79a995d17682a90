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

	"github.com/juju/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// cutPause is the time in which the bytes before a reset arrive.
const cutPause = 2 * time.Millisecond

// cuttingServer writes the first bytes of a response and closes the connection after a pause, with a reset if reset is set.
type cuttingServer struct {
	*scriptedServer
	server   sycamorevane.Server
	response string
	reset    bool
	// length is the number of bytes; pause is in ns. orders counts the orders that have arrived.
	length, pause, orders atomic.Int64
}

func newCuttingServer(t *testing.T, response string, reset bool) *cuttingServer {
	s := &cuttingServer{response: response, reset: reset}
	s.pause.Store(int64(cutPause))
	s.scriptedServer, s.server = newScriptedServer(t, func(scripted *scriptedServer, _ int, c net.Conn) {
		req, ok := scripted.readRequest(bufio.NewReader(c))
		if !ok {
			return
		}
		if req.Method == http.MethodPost {
			s.orders.Add(1)
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", req.Header.Get("X-Request-Id"))[:s.length.Load()])
		time.Sleep(time.Duration(s.pause.Load()))
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	return s
}

// respondAlways responds to all requests on a connection.
func respondAlways(text string) func(*scriptedServer, int, net.Conn) {
	return func(s *scriptedServer, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		for req, ok := s.readRequest(r); ok; req, ok = s.readRequest(r) {
			_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", req.Header.Get("X-Request-Id")))
		}
	}
}

// Guards against a response whose header or framing ends in the middle and that reaches the caller as a success or with a body that
// looks complete, and against a second run of an order that may have run.
func TestResponseCutAtEachByte(t *testing.T) {
	t.Parallel()
	const proof = "X-Request-Id: ID\r\nX-Proof: p\r\n"
	responses := map[string]string{
		"length":        "HTTP/1.1 200 OK\r\n" + proof + "Content-Length: 2\r\n\r\nok",
		"length first":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + proof + "\r\nok",
		"no body":       "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + proof + "\r\n",
		"no content":    "HTTP/1.1 204 No Content\r\n" + proof + "\r\n",
		"chunks":        "HTTP/1.1 200 OK\r\n" + proof + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1;x=y\r\nk\r\n0\r\nX-Trailer: t\r\n\r\n",
		"informational": "HTTP/1.1 100 Continue\r\nX-Note: n\r\n\r\nHTTP/1.1 200 OK\r\n" + proof + "Content-Length: 2\r\n\r\nok",
		"folded":        "HTTP/1.1 200 OK\r\nX-Long: a\r\n b\r\n" + proof + "Content-Length: 2\r\n\r\nok",
		"bare newlines": "HTTP/1.1 200 OK\n" + strings.ReplaceAll(proof, "\r", "") + "Content-Length: 2\n\nok",
		"long length":   "HTTP/1.1 200 OK\r\n" + proof + "Content-Length: 12\r\n\r\nok ok ok ok.",
	}
	for name, response := range responses {
		for _, reset := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				cut := newCuttingServer(t, response, reset)
				_, good := newScriptedServer(t, respondAlways(provenResponse))
				orders, reads := newTestRig(t, withRules(), cut.server), newTestRig(t, withRules(), cut.server, good)
				for n := range len(response) {
					cut.length.Store(int64(n))
					expectOrderUncertain(t, cut, orders)
					expectReadElsewhere(t, cut, reads)
				}
				cut.pause.Store(int64(3 * bufferTimeout))
				expectOrderUncertain(t, cut, orders)
				expectReadElsewhere(t, cut, reads)
			})
		}
	}
}

func expectOrderUncertain(t *testing.T, cut *cuttingServer, r *testRig) {
	t.Helper()
	before := cut.orders.Load()
	r.limiter.startWith(0)
	resp, body, err := r.do("POST", "/set/x", "", "X-Request-Id", "ID")
	if err == nil {
		assert.Equal(t, http.StatusBadGateway, resp.StatusCode, "%d bytes, reset %v, body %q", cut.length.Load(), cut.reset, body)
	}
	assert.Equal(t, int64(1), cut.orders.Load()-before, "%d bytes", cut.length.Load())
}

func expectReadElsewhere(t *testing.T, cut *cuttingServer, r *testRig) {
	t.Helper()
	start := time.Now()
	r.limiter.startWith(0)
	resp, body, err := r.do("GET", "/x", "", "X-Request-Id", "ID")
	if errors.Is(err, io.ErrUnexpectedEOF) && strings.Contains(cut.response, "chunked") && time.Since(start) > bufferTimeout {
		return // A response of unknown length is streamed after bufferTimeout. The caller then sees that it has been cut.
	}
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, resp.StatusCode, "%d bytes", cut.length.Load())
	assert.Equal(t, "ok", body, "%d bytes", cut.length.Load())
}

// Guards against a probe that is taken for answered although its response ends in the middle.
func TestProbeResponseCutAtEachByte(t *testing.T) {
	t.Parallel()
	const response = "HTTP/1.1 200 OK\r\nX-Instance: i\r\nContent-Length: 2\r\n\r\nok"
	for _, reset := range []bool{false, true} {
		cut := newCuttingServer(t, response, reset)
		r := newTestRig(t, withRules(), cut.server)
		for n := range len(response) {
			cut.length.Store(int64(n))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, _, err := r.f.Probe(ctx, cut.server, "/health")
			cancel()
			assert.Error(t, err, "%d bytes", n)
		}
	}
}
