package acceptor

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// describeRequest returns a request with its body as text.
func describeRequest(r *http.Request) (string, error) {
	body, err := io.ReadAll(r.Body)
	return fmt.Sprintf("%s %s %s %q", r.Method, r.Host, r.RequestURI, body), err
}

// expectedRequests parses the complete requests in data sequentially.
func expectedRequests(data []byte) []string {
	var list []string
	r := bufio.NewReader(bytes.NewReader(data))
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return list
		}
		text, err := describeRequest(req)
		if err != nil {
			return list
		}
		list = append(list, text)
	}
}

// Guards against requests that are parsed from bytes of another request, and against connections that never end.
func FuzzConnection(f *testing.F) {
	for _, text := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		"GET /a HTTP/1.0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	// The server treats a caller that closes its side as disconnected, so the connection may end before the last of its
	// requests does. A request that arrives late is checked during a later input, against the requests expected from the
	// address of its caller.
	var mu sync.Mutex
	var got [][2]string
	expectedByAddr := make(map[string][]string)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f, err)
	s := New(Config{Log: logr.Discard(), Limits: func() Limits {
		return Limits{MaxHeaderBytes: 8 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
	}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := describeRequest(r)
		if err != nil {
			return // The request was not complete.
		}
		mu.Lock()
		got = append(got, [2]string{r.RemoteAddr, text})
		mu.Unlock()
		_, _ = io.WriteString(w, "ok")
	})})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l)
	}()
	f.Cleanup(func() {
		_ = s.Close()
		<-ended
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		mu.Lock()
		expectedByAddr[c.LocalAddr().String()] = expectedRequests(data)
		mu.Unlock()
		defer func() { _ = c.Close() }()
		require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		_, _ = c.Write(data) // The server may already have closed the connection.
		_ = c.(*net.TCPConn).CloseWrite()
		_, err = io.Copy(io.Discard, c)
		var timeout net.Error
		if e, ok := err.(net.Error); ok {
			timeout = e
		}
		require.False(t, timeout != nil && timeout.Timeout(), "the connection does not end")
		mu.Lock()
		defer mu.Unlock()
		for _, g := range got {
			addr, text := g[0], g[1]
			i := slices.Index(expectedByAddr[addr], text)
			require.GreaterOrEqual(t, i, 0, "%q is none of the requests %q", text, expectedByAddr[addr])
			expectedByAddr[addr] = slices.Delete(expectedByAddr[addr], i, i+1) // Each request is served only once.
		}
		got = nil
	})
}
