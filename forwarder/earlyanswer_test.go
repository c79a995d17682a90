package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// earlyAnswer is a response to an upload that is sent before the upload has been read, and then broken off by a reset.
type earlyAnswer struct {
	// part is the size of the body that is sent.
	part int
	// chunked sends the body in chunks, without the last one. Otherwise it ends with the connection.
	chunked bool
	// wholeUpload resets the connection when the upload ends, not while it is being written.
	wholeUpload bool
}

// earlyServer breaks off its responses to uploads and answers requests without a body in full.
type earlyServer struct {
	sycamorevane.Server
	// answered receives a value when an early answer has been sent.
	answered chan struct{}
}

func newEarlyServer(t *testing.T, answer earlyAnswer) *earlyServer {
	s := &earlyServer{answered: make(chan struct{}, 1)}
	_, s.Server = newScriptedServer(t, func(_ *scriptedServer, _ int, c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if req.ContentLength == 0 {
			_, _ = io.WriteString(c, strings.ReplaceAll(provenResponse, "ID", req.Header.Get("X-Request-Id")))
			return
		}
		framing, body := "", strings.Repeat("x", answer.part)
		if answer.chunked {
			framing, body = "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", answer.part, body)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: %s\r\n%s\r\n%s", req.Header.Get("X-Request-Id"), framing, body)
		select {
		case s.answered <- struct{}{}:
		default:
		}
		if answer.wholeUpload {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	return s
}

// forEarlyAnswers runs the test with answers that the entry buffers and answers that it streams.
func forEarlyAnswers(t *testing.T, test func(t *testing.T, s *earlyServer)) {
	for _, part := range []int{1000, maxBufferedBytes + 1000} {
		for framing, chunked := range map[string]bool{"without length": false, "chunked": true} {
			for name, wholeUpload := range map[string]bool{"while it is written": false, "when it ends": true} {
				t.Run(fmt.Sprintf("%d/%s/%s", part, framing, name), func(t *testing.T) {
					test(t, newEarlyServer(t, earlyAnswer{part, chunked, wholeUpload}))
				})
			}
		}
	}
}

// requireIncomplete requires that a caller does not take the response for the whole answer to its request.
func requireIncomplete(t *testing.T, resp *http.Response, err error) {
	t.Helper()
	if err != nil {
		return
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	require.True(t, err != nil || resp.StatusCode == http.StatusBadGateway, "status %d, %d bytes", resp.StatusCode, len(text))
}

// Guards against a part of a response that looks complete.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	t.Parallel()
	forEarlyAnswers(t, func(t *testing.T, s *earlyServer) {
		for memory, limit := range map[string]int64{"buffered": 1 << 30, "streamed": 0} {
			t.Run(memory, func(t *testing.T) {
				r := newTestRig(t, withRules(func(_ *Config, st *sycamorevane.State) { st.Config.Rules[1].Timeout = 5 * time.Second }), s.Server)
				r.f.bodyMemory.maxBytes = limit
				for range 10 {
					body, w := io.Pipe()
					go func() {
						_, _ = io.WriteString(w, strings.Repeat("y", 2*maxPrefixBytes))
						<-s.answered
						_, _ = io.WriteString(w, strings.Repeat("y", maxPrefixBytes))
						_ = w.Close()
					}()
					req, err := http.NewRequest("POST", r.httpServer.URL+"/set/x", body)
					require.NoError(t, err)
					req.Host, req.ContentLength = "flagboard.test", 3*maxPrefixBytes
					req.Header["X-Request-Id"] = []string{"q"}
					resp, err := r.client.Do(req)
					_ = body.Close()
					requireIncomplete(t, resp, err)
				}
			})
		}
	})
}

// Guards against a part of a response that looks complete because a response to the next request on the connection follows,
// and against a response to the wrong request.
func TestEarlyAnswerBeforeRequestsSentAhead(t *testing.T) {
	t.Parallel()
	forEarlyAnswers(t, func(t *testing.T, s *earlyServer) {
		r := newTestRig(t, withRules(), s.Server)
		for range 10 {
			c, responses := serveEntry(t, r.f)
			upload := strings.Repeat("y", 3*maxPrefixBytes)
			go func() {
				_, _ = fmt.Fprintf(c, "POST /set/x HTTP/1.1\r\nHost: flagboard.test\r\nX-Request-Id: q1\r\nContent-Length: %d\r\n\r\n%s", len(upload), upload)
				_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: flagboard.test\r\nX-Request-Id: q2\r\n\r\n")
			}()
			resp, err := http.ReadResponse(responses, nil)
			requireIncomplete(t, resp, err)
			if resp, err = http.ReadResponse(responses, nil); err == nil {
				body, err := io.ReadAll(resp.Body)
				assert.NoError(t, err)
				assert.Equal(t, []string{"q2", "ok"}, []string{resp.Header.Get("X-Request-Id"), string(body)})
			}
		}
	})
}

// Guards against a part of a response that is kept for the key of its request, and returned to a caller that sends it again.
func TestEarlyAnswerIsNotRecorded(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	forEarlyAnswers(t, func(t *testing.T, s *earlyServer) {
		upload := strings.Repeat("y", 3*maxPrefixBytes)
		for i := range 5 {
			cluster.useServer(s.Server)
			key := fmt.Sprintf("%s %d", t.Name(), i)
			first, text, err := cluster.rigs["e0"].do("POST", "/raise", upload, headerIdempotencyKey, key)
			require.True(t, err != nil || first.StatusCode == http.StatusBadGateway, "%d bytes", len(text))
			cluster.useServer(cluster.proxiedServer)
			var resent *http.Response
			for range 10 { // net/http, which listens here, may reset the connection before the response is read.
				if resent, _, err = cluster.rigs["e2"].do("POST", "/raise", upload, headerIdempotencyKey, key); err == nil {
					break
				}
			}
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, resent.StatusCode, "the request has run")
			require.Equal(t, "false", resent.Header.Get(headerNotRun))
		}
	})
}
