package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// maxAhead bounds the requests of a connection that are served at the same time.
	maxAhead = 8
	// failTime bounds the writing of an answer to a request that cannot be read.
	failTime = time.Second
)

var errHeaderSize = errors.New("request header is too large")

// conn is one connection of a caller.
type conn struct {
	s   *Server
	net net.Conn
	r   *bufio.Reader
	w   *bufio.Writer
	ctx context.Context
	// cancel ends all requests of the connection.
	cancel context.CancelFunc
	// head is how many bytes the header may still take; negative while it does not matter.
	head int
	// gone is set when the caller has closed its side.
	gone bool
	wg   sync.WaitGroup
	// ahead holds a place for each running request.
	ahead chan struct{}

	mu sync.Mutex
	// waiting is set while the connection waits for a further request, since is when the last one ended.
	waiting bool
	since   time.Time
	active  int
	newest  *exchange
	// requests counts those that have begun.
	requests int
	// last is set when no further request is read, final when a shutdown has let the connection wait once more.
	last, final bool
}

func newConn(s *Server, c net.Conn) *conn {
	n := &conn{s: s, net: c, ahead: make(chan struct{}, maxAhead), head: -1, since: time.Now()}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.r = bufio.NewReaderSize(headReader{n}, readBuffer)
	n.w = bufio.NewWriterSize(c, writeBuffer)
	return n
}

// headReader bounds the bytes of a header.
type headReader struct{ n *conn }

func (h headReader) Read(p []byte) (int, error) {
	n := h.n
	if n.head == 0 {
		return 0, errHeaderSize
	}
	if n.head > 0 {
		p = p[:min(len(p), n.head)]
	}
	got, err := n.net.Read(p)
	if n.head > 0 {
		n.head -= got
	}
	n.gone = n.gone || err == io.EOF
	return got, err
}

// end closes the connection and ends its requests.
func (n *conn) end() {
	n.cancel()
	_ = n.net.Close()
}

// wake ends the wait for a further request, so that its reasons are looked at again. It does not disturb the reading of
// a request.
func (n *conn) wake() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.waiting && !n.final {
		_ = n.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// serve reads requests until the caller leaves, or one of the sides wants the connection to end.
func (n *conn) serve() {
	var former *exchange
	for n.await() {
		req, err := n.read()
		if err != nil {
			n.refuse(former, err)
			break
		}
		x := newExchange(n, req, former)
		if former != nil && !(alone(req) && alone(former.req)) && !former.ended(n.ctx) {
			break
		}
		if !n.begin(x) {
			break
		}
		former = x
		if !x.bodyRead() {
			break
		}
		if req.Close {
			n.watch(x)
			break
		}
	}
	n.drain()
}

// drain ends the requests of a caller that has left, and lets others be answered.
func (n *conn) drain() {
	n.mu.Lock()
	last := n.last
	n.mu.Unlock()
	if !last {
		n.cancel() // Nobody waits for the answers.
	}
	n.wg.Wait()
	n.end()
}

// alone reports whether the request may be served beside others of its connection: it has no body that must be read
// first, and its order does not matter.
func alone(req *http.Request) bool {
	return req.Body == http.NoBody && (req.Method == http.MethodGet || req.Method == http.MethodHead)
}

// await waits for the first byte of a request and reports false when there will be none.
func (n *conn) await() bool {
	for n.expect() {
		_, err := n.r.Peek(1)
		n.mu.Lock()
		n.waiting = false
		n.mu.Unlock()
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if n.idled() {
			n.stop()
			return false
		}
	}
	return false
}

// expect prepares the wait for a further request and reports false when none is to be read.
func (n *conn) expect() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	closing := n.s.closing.Load()
	if closing && n.final {
		n.last = true
	}
	if n.last {
		return false
	}
	n.waiting = true
	deadline := time.Time{}
	switch {
	case closing && n.requests == 0:
		n.final = true
		deadline = time.Now().Add(firstWait)
	case closing:
		n.final = true
		deadline = time.Now().Add(lastWait)
	case n.active == 0:
		deadline = n.since.Add(n.s.cfg.Limits().IdleTimeout)
	}
	_ = n.net.SetReadDeadline(deadline)
	return true
}

// watch waits for the end of the last request, and notices when its caller leaves before.
func (n *conn) watch(x *exchange) {
	n.mu.Lock()
	n.last = true
	n.waiting = n.active > 0
	running := n.waiting
	_ = n.net.SetReadDeadline(time.Time{})
	n.mu.Unlock()
	if !running {
		return
	}
	_, err := n.r.Peek(1)
	switch {
	case err == nil: // What follows the last request is not read.
		x.ended(n.ctx)
	case !errors.Is(err, os.ErrDeadlineExceeded):
		n.cancel()
	}
}

// idled reports whether the connection has had no request for the idle time.
func (n *conn) idled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.active == 0 && time.Since(n.since) >= n.s.cfg.Limits().IdleTimeout
}

// stop lets the running requests be answered without reading further ones.
func (n *conn) stop() {
	n.mu.Lock()
	n.last = true
	n.mu.Unlock()
}

// read reads the header of a request and checks what http.ReadRequest leaves to its caller.
func (n *conn) read() (*http.Request, error) {
	limits := n.s.cfg.Limits()
	n.head = max(0, limits.MaxHeaderBytes-n.r.Buffered())
	_ = n.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req, err := http.ReadRequest(n.r)
	n.head = -1
	if err != nil {
		return nil, err
	}
	_ = n.net.SetReadDeadline(time.Time{})
	if err := check(req); err != nil {
		return nil, err
	}
	req.RemoteAddr = n.net.RemoteAddr().String()
	return req, nil
}

// check refuses requests that others might read differently, RFC 9112 sections 3.2 and 5.
func check(req *http.Request) error {
	if req.ProtoAtLeast(1, 1) && req.Host == "" || !httpguts.ValidHostHeader(req.Host) {
		return errors.New("Host header is missing or malformed")
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.New("a header name is malformed")
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errors.New("a header value is malformed")
			}
		}
	}
	return nil
}

// refuse answers a request that cannot be read, after the answers to those before it.
func (n *conn) refuse(former *exchange, err error) {
	var timeout net.Error
	if n.gone || errors.Is(err, net.ErrClosed) {
		return
	}
	status := "400 Bad Request"
	switch {
	case errors.Is(err, errHeaderSize):
		status = "431 Request Header Fields Too Large"
	case errors.As(err, &timeout) && timeout.Timeout():
		status = "408 Request Timeout"
	case errors.As(err, &timeout):
		return // The connection is broken.
	case strings.Contains(err.Error(), "transfer encoding"):
		status = "501 Not Implemented"
	}
	n.stop()
	if former != nil && !former.ended(n.ctx) {
		return
	}
	_ = n.net.SetWriteDeadline(time.Now().Add(failTime))
	_, _ = n.w.WriteString("HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	_ = n.w.Flush()
}

// begin runs the handler for a request. It reports false when an earlier answer has said that it is the last one.
func (n *conn) begin(x *exchange) bool {
	n.ahead <- struct{}{}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.last {
		return false
	}
	n.active++
	n.requests++
	n.newest = x
	n.wg.Go(func() {
		x.run()
		n.mu.Lock()
		n.active--
		n.since = time.Now()
		n.mu.Unlock()
		<-n.ahead
		n.wake() // The wait for a further request goes on with the idle time.
	})
	return true
}

// closeAfter reports whether the connection may end with the answer of x: no later request is being served. None is
// begun after that.
func (n *conn) closeAfter(x *exchange) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.newest != x {
		return false
	}
	n.last = true
	return true
}
