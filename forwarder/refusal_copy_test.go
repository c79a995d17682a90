package forwarder

import (
	"bufio"
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
	"sycamorevane.example/sycamorevane/faker"
)

// refusingServer refuses the first request on each connection, writes a copy of the refusal when the second one arrives, and then runs
// the second one.
type refusingServer struct {
	*scriptedServer
	server sycamorevane.Server
	runs   atomic.Int32
}

// newRefusingServer takes the refusal, in which ID stands for the ID of the refused request, and the point in the copy at which the
// server pauses; 0 for none.
func newRefusingServer(t *testing.T, refusal, response string, pauseAt int) *refusingServer {
	s := &refusingServer{}
	s.scriptedServer, s.server = newScriptedServer(t, func(scripted *scriptedServer, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		refused := ""
		for n := 0; ; n++ {
			req, ok := scripted.readRequest(r)
			if !ok {
				return
			}
			id := req.Header.Get("X-Request-Id")
			switch n {
			case 0:
				refused = strings.ReplaceAll(refusal, "ID", id)
				_, _ = io.WriteString(c, refused)
				continue
			case 1:
				_, _ = io.WriteString(c, refused[:pauseAt])
				time.Sleep(10 * time.Millisecond)
				_, _ = io.WriteString(c, refused[pauseAt:])
			}
			s.runs.Add(1)
			_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", id))
		}
	})
	return s
}

// expectTrueAnswer checks that an order ran once at most, and that the caller is not told that it has not run when it has.
func expectTrueAnswer(t *testing.T, status, runs int) {
	t.Helper()
	assert.LessOrEqual(t, runs, 1)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusMisdirectedRequest {
		assert.Zero(t, runs, "status %d promises that the order has not run", status)
	}
}

// Guards against a copy of an earlier refusal on a kept connection that is taken for the answer to the next order, also if this order
// has the ID of the refused one: the caller would be told that it has not run, or another server would run it as well.
func TestCopyOfARefusal(t *testing.T) {
	refusals := map[string]string{
		"503": "HTTP/1.1 503 No\r\nX-Request-Id: ID\r\nX-Rejected: 1\r\nContent-Length: 4\r\n\r\nbusy",
		"429": "HTTP/1.1 429 No\r\nX-Request-Id: ID\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
		"421": "HTTP/1.1 421 No\r\nX-Request-Id: ID\r\nContent-Length: 0\r\n\r\n",
	}
	for name, refusal := range refusals {
		for _, nextID := range []string{"q2", "q1"} {
			for _, pauseAt := range []int{0, 9, len(refusal) - 2} {
				t.Run(name+" then "+nextID, func(t *testing.T) {
					s := newRefusingServer(t, refusal, provenResponse, min(pauseAt, len(refusal)-2))
					r := newTestRig(t, withRules(func(_ *Config, st *sycamorevane.State) { st.Config.Rules[1].MaxAttempts = 1 }), s.server)
					resp, _, err := r.do("POST", "/set/x", "", "X-Request-Id", "q1")
					require.NoError(t, err)
					require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
					resp, _, err = r.do("POST", "/set/x", "", "X-Request-Id", nextID)
					require.NoError(t, err)
					expectTrueAnswer(t, resp.StatusCode, int(s.runs.Load()))
				})
			}
		}
	}
}

// Guards against the same with a second server, on which the order would run again.
func TestCopyOfARefusalCausesNoSecondRun(t *testing.T) {
	const refusal = "HTTP/1.1 503 No\r\nX-Request-Id: ID\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	s := newRefusingServer(t, refusal, provenResponse, 0)
	other, server := newScriptedServer(t, respondOnce(provenResponse, 0))
	r := newTestRig(t, withRules(), s.server)
	resp, _, err := r.do("POST", "/set/x", "", "X-Request-Id", "q1")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	r.limiter.addServer(server)
	r.limiter.startWith(0)
	resp, _, err = r.do("POST", "/set/x", "", "X-Request-Id", "q1")
	require.NoError(t, err)
	expectTrueAnswer(t, resp.StatusCode, int(s.runs.Load())+other.requestCount())
}

// Guards against a copy of a refusal that has no ID, from a server that does not echo IDs.
func TestCopyOfARefusalWithoutID(t *testing.T) {
	const (
		refusal  = "HTTP/1.1 503 No\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
		response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	)
	s := newRefusingServer(t, refusal, response, 0)
	r := newTestRig(t, nil, s.server)
	resp, _, err := r.do("POST", "/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	r.limiter.startWith(0)
	resp, _, err = r.do("POST", "/x", "")
	require.NoError(t, err)
	expectTrueAnswer(t, resp.StatusCode, int(s.runs.Load()))
}

// Guards against orders that open a connection each although their server echoes IDs and refuses now and then.
func TestRefusalKeepsTheConnection(t *testing.T) {
	backend, server := newBackend(t, faker.Behaviour{})
	r := newTestRig(t, nil, server)
	for range 5 {
		r.limiter.startWith(0)
		resp, _, err := r.do("POST", "/x", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.Len(t, backend.Runs(), 5)
	require.Equal(t, 1, r.f.pools.byID[server.ID].open)
}

// Guards against a refusal of an upload that is still being sent, and a copy of it that reaches the next request.
func TestCopyOfAnEarlyRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 No\r\nX-Request-Id: q1\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	var runs atomic.Int32
	_, server := newScriptedServer(t, func(s *scriptedServer, n int, c net.Conn) {
		r := bufio.NewReader(c)
		if n == 0 {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, refusal)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, refusal)
		}
		if req, ok := s.readRequest(r); ok && n > 0 {
			runs.Add(1)
			_, _ = io.WriteString(c, strings.ReplaceAll(provenResponse, "ID", req.Header.Get("X-Request-Id")))
		}
	})
	r := newTestRig(t, withRules(), server)
	resp, _, err := r.do("POST", "/set/x", strings.Repeat("x", 4<<20), "X-Request-Id", "q1")
	if err == nil {
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	}
	for _, id := range []string{"q1", "q2"} {
		before := runs.Load()
		r.limiter.startWith(0)
		resp, _, err := r.do("POST", "/set/x", "", "X-Request-Id", id)
		require.NoError(t, err)
		expectTrueAnswer(t, resp.StatusCode, int(runs.Load()-before))
	}
	require.Positive(t, runs.Load())
}
