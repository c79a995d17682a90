package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/acceptor"
)

// targetRig records the request line that a server receives.
type targetRig struct {
	addr string
	mu   sync.Mutex
	line string
}

func newTargetRig(t *testing.T) *targetRig {
	rig := &targetRig{}
	_, server := newScriptedServer(t, func(s *scriptedServer, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			rig.mu.Lock()
			rig.line = strings.TrimSuffix(line, "\r\n")
			rig.mu.Unlock()
			req, ok := s.readRequest(bufio.NewReader(io.MultiReader(strings.NewReader("GET / HTTP/1.1\r\n"), r)))
			if !ok {
				return
			}
			_, _ = io.WriteString(c, strings.ReplaceAll(provenResponse, "ID", req.Header.Get("X-Request-Id")))
		}
	})
	f := newTestRig(t, withRules(), server).f
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := acceptor.New(acceptor.Config{Handler: f, Log: logr.Discard(), Limits: func() acceptor.Limits {
		return acceptor.Limits{MaxHeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	}})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(RejectAmbiguousFraming(l))
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-ended
	})
	rig.addr = l.Addr().String()
	return rig
}

// send sends a request for the target and returns the status of the response, and the line that the server has received.
func (rig *targetRig) send(t *testing.T, target string) (status int, line string) {
	t.Helper()
	c, err := net.Dial("tcp", rig.addr)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetDeadline(time.Now().Add(3*time.Second)))
	rig.mu.Lock()
	rig.line = ""
	rig.mu.Unlock()
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: flagboard.test\r\nX-Request-Id: q1\r\nX-Left-Ms: 400\r\n\r\n", target)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err, "target %q", target)
	rig.mu.Lock()
	defer rig.mu.Unlock()
	return resp.StatusCode, rig.line
}

// expectUnchanged checks that a server gets the target as it was sent, or that the request is answered with an error and sent to none.
// It returns the status.
func (rig *targetRig) expectUnchanged(t *testing.T, target string) int {
	t.Helper()
	status, line := rig.send(t, target)
	if line == "" {
		require.GreaterOrEqual(t, status, 400, "target %q", target)
		return status
	}
	require.Equal(t, "GET "+target+" HTTP/1.1", line)
	return status
}

// Guards against paths and queries that are changed on their way to a server, and against a connection that is closed without a response
// to a URL that cannot be parsed.
func TestTargetReachesTheServerAsItWasSent(t *testing.T) {
	rig := newTargetRig(t)
	for target, status := range map[string]int{
		"/plain": http.StatusOK, "/a|b": http.StatusOK, `/a"b`: http.StatusOK, "/a^b`c": http.StatusOK, "/{id}": http.StatusOK, "/a<b>c": http.StatusOK, `/a\b`: http.StatusOK, "/grün": http.StatusOK, "/\xff\xfe": http.StatusOK,
		"/a%7Cb": http.StatusOK, "/a%2fb": http.StatusOK, "/a/../b": http.StatusOK, "/a//b": http.StatusOK, "/a;b": http.StatusOK, "/a[0]": http.StatusOK, "/a#b": http.StatusOK, "/a?": http.StatusOK, "/a??b": http.StatusOK,
		"/a?b|c=\"d\"": http.StatusOK, "/a?grün": http.StatusOK, "/a|b?c#d": http.StatusOK, "/a?b=%zz": http.StatusOK,
		"//a/b": http.StatusOK, "//a|b": http.StatusBadRequest, "/%zz": http.StatusBadRequest, "/%": http.StatusBadRequest, "a|b": http.StatusBadRequest,
	} {
		require.Equal(t, status, rig.expectUnchanged(t, target), "target %q", target)
	}
}

// Guards against the same for any bytes.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{"/a|b", "/%zz", "/grün?x=|", "//a|b", "/a?", "/a#b?c", "/\x80?"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if strings.ContainsAny(target, " \r\n") || !strings.HasPrefix(target, "/") {
			t.Skip("ends the request line, or is not a path")
		}
		received, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil {
			return // Answered with 400.
		}
		u, err := requestTarget(received)
		if err != nil {
			return
		}
		var sent strings.Builder
		require.NoError(t, (&http.Request{Method: http.MethodGet, URL: u, Host: "h"}).Write(&sent))
		line, _, _ := strings.Cut(sent.String(), "\r\n")
		require.Equal(t, "GET "+target+" HTTP/1.1", line)
	})
}
