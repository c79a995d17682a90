package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxConcurrentExchanges limits the pipelined requests of a connection that are served at the same time.
	maxConcurrentExchanges = 8
	// errorWriteTimeout is the time limit for writing the response to a request that could not be read.
	errorWriteTimeout = time.Second
	// lingerTime is how long a connection stays open for the caller to receive the response to a request that has not been
	// read completely. lingerBytes limits what is read of the rest.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

var errHeaderTooLarge = errors.New("request header is too large")

// conn is a connection from a caller.
type conn struct {
	server  *Server
	netConn net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	ctx     context.Context
	// cancel cancels all requests of the connection.
	cancel context.CancelFunc
	// headerBytesLeft is how many bytes of the current request header may still be read; negative while no header is read.
	headerBytesLeft int
	// callerClosed is set when the caller has closed its side of the connection.
	callerClosed bool
	wg           sync.WaitGroup
	// exchangeSlots holds one element per running request.
	exchangeSlots chan struct{}

	mu sync.Mutex
	// awaitingRequest is set while the connection waits for the next request. lastEnd is when the last request ended.
	awaitingRequest bool
	lastEnd         time.Time
	running         int
	// newest is the exchange that was started last.
	newest *exchange
	// started is the number of requests whose handler has been started.
	started int
	// noMoreRequests is set when no further request is read, finalWait when a shutdown has granted the connection its last
	// wait for a request.
	noMoreRequests, finalWait bool
	// requestUnread is set when the last request has not been read completely.
	requestUnread bool
}

func newConn(s *Server, netConn net.Conn) *conn {
	c := &conn{
		server: s, netConn: netConn, exchangeSlots: make(chan struct{}, maxConcurrentExchanges), headerBytesLeft: -1,
		lastEnd: time.Now(),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.reader = bufio.NewReaderSize(headerLimitReader{c}, readBufferBytes)
	c.writer = bufio.NewWriterSize(netConn, writeBufferBytes)
	return c
}

// headerLimitReader reads from the connection and limits the size of a request header.
type headerLimitReader struct{ conn *conn }

func (h headerLimitReader) Read(p []byte) (int, error) {
	c := h.conn
	if c.headerBytesLeft == 0 {
		return 0, errHeaderTooLarge
	}
	if c.headerBytesLeft > 0 {
		p = p[:min(len(p), c.headerBytesLeft)]
	}
	n, err := c.netConn.Read(p)
	if c.headerBytesLeft > 0 {
		c.headerBytesLeft -= n
	}
	c.callerClosed = c.callerClosed || err == io.EOF
	return n, err
}

// close closes the connection and cancels its requests.
func (c *conn) close() {
	c.cancel()
	_ = c.netConn.Close()
}

// interruptWait interrupts the wait for the next request, so that its conditions and deadline are evaluated again. It does
// not affect the reading of a request.
func (c *conn) interruptWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingRequest && !c.finalWait {
		_ = c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// serve reads and serves requests until the caller disconnects or one of the sides requests the end of the connection.
func (c *conn) serve() {
	var previous *exchange
	for c.awaitRequest() {
		req, err := c.readRequest()
		if err != nil {
			c.writeError(previous, err)
			break
		}
		x := newExchange(c, req, previous)
		if previous != nil && !(canRunConcurrently(req) && canRunConcurrently(previous.req)) && !previous.awaitDone(c.ctx) {
			break
		}
		if !c.startExchange(x) {
			break
		}
		previous = x
		if !x.awaitBody() {
			break
		}
		if req.Close {
			c.awaitLastResponse(x)
			break
		}
	}
	c.finishRequests()
}

// finishRequests waits for the running requests and closes the connection. If the caller has disconnected, it cancels the
// requests first.
func (c *conn) finishRequests() {
	c.mu.Lock()
	noMoreRequests := c.noMoreRequests
	c.mu.Unlock()
	if !noMoreRequests {
		c.cancel() // The caller has disconnected and waits for no response.
	}
	c.wg.Wait()
	if noMoreRequests && c.requestUnread {
		c.linger()
	}
	c.close()
}

// linger reads the rest of the last request, so that the caller can receive the response. Closing a connection with unread
// bytes resets it, and many clients report a reset while they send a request instead of the response to it.
func (c *conn) linger() {
	deadline := time.Now().Add(lingerTime)
	_ = c.netConn.SetReadDeadline(deadline)
	if _, err := io.CopyN(io.Discard, c.netConn, lingerBytes); err != nil {
		return
	}
	select {
	case <-c.ctx.Done():
	case <-time.After(time.Until(deadline)):
	}
}

// canRunConcurrently reports whether the request may be served concurrently with others of its connection: it has no body,
// which would have to be read before the next request, and as GET or HEAD it does not depend on the order.
func canRunConcurrently(req *http.Request) bool {
	return req.Body == http.NoBody && (req.Method == http.MethodGet || req.Method == http.MethodHead)
}

// awaitRequest waits for the first byte of a request. It returns false if there will be no further request.
func (c *conn) awaitRequest() bool {
	for c.prepareWait() {
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		c.awaitingRequest = false
		c.mu.Unlock()
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if c.idleTimeoutPassed() {
			c.stopReading()
			return false
		}
	}
	return false
}

// prepareWait sets the deadline for the wait for the next request. It returns false if no further request is to be read.
func (c *conn) prepareWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	closing := c.server.closing.Load()
	if closing && c.finalWait {
		c.noMoreRequests = true
	}
	if c.noMoreRequests {
		return false
	}
	c.awaitingRequest = true
	deadline := time.Time{}
	switch {
	case closing && c.started == 0:
		c.finalWait = true
		deadline = time.Now().Add(firstRequestWait)
	case closing:
		c.finalWait = true
		deadline = time.Now().Add(nextRequestWait)
	case c.running == 0:
		deadline = c.lastEnd.Add(c.server.cfg.Limits().IdleTimeout)
	}
	_ = c.netConn.SetReadDeadline(deadline)
	return true
}

// awaitLastResponse waits for the response to the last request, and cancels the request if the caller disconnects first.
func (c *conn) awaitLastResponse(x *exchange) {
	c.mu.Lock()
	c.noMoreRequests = true
	c.awaitingRequest = c.running > 0
	hasRunning := c.awaitingRequest
	_ = c.netConn.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	if !hasRunning {
		return
	}
	_, err := c.reader.Peek(1)
	switch {
	case err == nil: // Data after the last request is ignored.
		x.awaitDone(c.ctx)
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.cancel()
	}
}

// idleTimeoutPassed reports whether the connection has had no request for IdleTimeout.
func (c *conn) idleTimeoutPassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running == 0 && time.Since(c.lastEnd) >= c.server.cfg.Limits().IdleTimeout
}

// stopReading makes the connection end after the running requests; no further ones are read.
func (c *conn) stopReading() {
	c.mu.Lock()
	c.noMoreRequests = true
	c.mu.Unlock()
}

// readRequest reads the header of a request and performs the checks that http.ReadRequest does not.
func (c *conn) readRequest() (*http.Request, error) {
	limits := c.server.cfg.Limits()
	c.headerBytesLeft = max(0, limits.MaxHeaderBytes-c.reader.Buffered())
	_ = c.netConn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req, err := http.ReadRequest(c.reader)
	c.headerBytesLeft = -1
	if err != nil {
		return nil, err
	}
	_ = c.netConn.SetReadDeadline(time.Time{})
	if err := validate(req); err != nil {
		return nil, err
	}
	req.RemoteAddr = c.netConn.RemoteAddr().String()
	return req, nil
}

// validate rejects requests that other HTTP implementations might parse differently; see RFC 9112, sections 3.2 and 5.
func validate(req *http.Request) error {
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

// writeError responds to a request that could not be read, after the responses to the preceding requests.
func (c *conn) writeError(previous *exchange, err error) {
	var timeout net.Error
	var malformedURL *url.Error // It is a net.Error as well, although nothing is wrong with the connection.
	if c.callerClosed || errors.Is(err, net.ErrClosed) {
		return
	}
	status := "400 Bad Request"
	switch {
	case errors.As(err, &malformedURL):
	case errors.Is(err, errHeaderTooLarge):
		status = "431 Request Header Fields Too Large"
	case errors.As(err, &timeout) && timeout.Timeout():
		status = "408 Request Timeout"
	case errors.As(err, &timeout):
		return // The connection is broken.
	case strings.Contains(err.Error(), "transfer encoding"):
		status = "501 Not Implemented"
	}
	c.stopReading()
	c.requestUnread = true
	if previous != nil && !previous.awaitDone(c.ctx) {
		return
	}
	_ = c.netConn.SetWriteDeadline(time.Now().Add(errorWriteTimeout))
	_, _ = c.writer.WriteString("HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	_ = c.writer.Flush()
}

// startExchange starts the handler for a request when a slot is free. It returns false if a preceding response has
// announced the end of the connection.
func (c *conn) startExchange(x *exchange) bool {
	c.exchangeSlots <- struct{}{}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noMoreRequests {
		return false
	}
	c.running++
	c.started++
	c.newest = x
	c.wg.Go(func() {
		x.run()
		c.mu.Lock()
		c.running--
		c.lastEnd = time.Now()
		c.mu.Unlock()
		<-c.exchangeSlots
		c.interruptWait() // Now the idle timeout applies to the wait for the next request.
	})
	return true
}

// tryCloseAfter reports whether the connection may end with the response of x, which is the case if no later request has
// been started. In this case it also prevents further requests from being started.
func (c *conn) tryCloseAfter(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest != x {
		return false
	}
	c.noMoreRequests = true
	return true
}
