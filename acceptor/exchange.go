package acceptor

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// exchange is a request and its response. It implements http.ResponseWriter and the methods that http.ResponseController
// uses.
type exchange struct {
	conn *conn
	req  *http.Request
	// previous is the exchange whose response is sent before this one; nil for the first, and after awaitTurn.
	previous *exchange
	// done is closed when the response is complete or aborted.
	done chan struct{}
	// bodyDone is closed when no more of the request body is read. bodyComplete is set if it was read to its end.
	bodyDone     chan struct{}
	bodyDoneOnce sync.Once
	bodyComplete bool

	header         http.Header
	headerWritten  bool
	chunked        bool
	noResponseBody bool
	// closeConn is set when the connection ends with this response.
	closeConn bool
	err       error
	// writeTimeout limits the time to write the response after its turn has come; 0 for no limit.
	writeTimeout time.Duration
}

func newExchange(c *conn, req *http.Request, previous *exchange) *exchange {
	x := &exchange{
		conn: c, previous: previous, done: make(chan struct{}), bodyDone: make(chan struct{}), header: make(http.Header),
	}
	if req.Body == http.NoBody || req.Body == nil {
		req.Body = http.NoBody
		x.markBodyDone(true)
	} else {
		req.Body = &requestBody{ReadCloser: req.Body, exchange: x, sendContinue: expectsContinue(req)}
	}
	x.req = req
	x.closeConn = req.Close
	return x
}

func expectsContinue(req *http.Request) bool {
	return req.ProtoAtLeast(1, 1) && strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

// requestBody is a request body that signals its end to the connection, which can then read the next request.
type requestBody struct {
	io.ReadCloser
	exchange     *exchange
	sendContinue bool
}

func (b *requestBody) Read(p []byte) (int, error) {
	if b.sendContinue {
		b.sendContinue = false
		if !b.exchange.headerWritten {
			// No other response is being written, since requests with a body are not served concurrently with others.
			_, _ = io.WriteString(b.exchange.conn.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
		}
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.exchange.markBodyDone(err == io.EOF)
	}
	return n, err
}

// Close does not read the rest of the body. If there is any, the connection ends with the response.
func (b *requestBody) Close() error { return nil }

// markBodyDone has an effect only once: a body may be read again after its end.
func (x *exchange) markBodyDone(complete bool) {
	x.bodyDoneOnce.Do(func() {
		x.bodyComplete = complete
		close(x.bodyDone)
	})
}

// awaitBody waits until the request body has been read. It returns false if it was not read completely.
func (x *exchange) awaitBody() bool {
	select {
	case <-x.bodyDone:
	case <-x.done:
	}
	select {
	case <-x.bodyDone:
		if x.bodyComplete {
			return true
		}
	default:
	}
	x.conn.requestUnread = true
	x.conn.stopReading()
	return false
}

// awaitDone waits until the response is complete and reports whether another one may follow on the connection.
func (x *exchange) awaitDone(ctx context.Context) bool {
	select {
	case <-x.done:
	case <-ctx.Done():
		return false
	}
	return !x.closeConn && x.err == nil
}

func (x *exchange) run() {
	defer close(x.done)
	defer x.markBodyDone(false)
	if aborted := x.runHandler(); aborted || x.finishResponse() != nil {
		x.abort()
		return
	}
	if x.closeConn {
		x.conn.stopReading()
	}
}

// runHandler runs the handler and reports whether it aborted the response by a panic.
func (x *exchange) runHandler() (aborted bool) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		aborted = true
		if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			x.conn.server.cfg.Log.Error(errors.Errorf("%v", p), "handler panicked", "stack", string(debug.Stack()))
		}
	}()
	ctx, cancel := context.WithCancel(x.conn.ctx)
	defer cancel()
	x.conn.server.cfg.Handler.ServeHTTP(x, x.req.WithContext(ctx))
	return false
}

// abort closes the connection after the preceding responses, so that the caller does not take an incomplete response for a
// complete one.
func (x *exchange) abort() {
	x.err = http.ErrAbortHandler
	_ = x.awaitTurn()
	x.conn.close()
}

// awaitTurn waits until all preceding responses are complete. It returns an error if this response cannot be sent.
func (x *exchange) awaitTurn() error {
	if x.previous == nil {
		return x.err
	}
	if !x.previous.awaitDone(x.conn.ctx) {
		x.err = http.ErrAbortHandler
	}
	x.previous = nil
	return x.err
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.headerWritten || x.awaitTurn() != nil {
		return
	}
	x.headerWritten = true
	x.applyWriteTimeout()
	x.noResponseBody = x.req.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	_, hasLength := x.header["Content-Length"]
	x.chunked = !hasLength && !x.noResponseBody
	closeWanted := x.conn.server.closing.Load() || strings.EqualFold(x.header.Get("Connection"), "close")
	if x.bodyUnread() || closeWanted && x.conn.tryCloseAfter(x) {
		x.closeConn = true
	}
	delete(x.header, "Connection")
	w := x.conn.writer
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = x.header.Write(w) // bufio.Writer keeps the error and returns it on later writes.
	if x.chunked {
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if x.closeConn {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, x.err = w.WriteString("\r\n")
}

// bodyUnread reports whether part of the request body has not been read.
func (x *exchange) bodyUnread() bool {
	select {
	case <-x.bodyDone:
		return !x.bodyComplete
	default:
		return true
	}
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	if !x.headerWritten {
		x.WriteHeader(http.StatusOK)
	}
	if x.err != nil {
		return 0, x.err
	}
	if x.noResponseBody || len(p) == 0 {
		return len(p), nil
	}
	if x.chunked {
		_, _ = x.conn.writer.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	}
	n, err := x.conn.writer.Write(p)
	if x.chunked && err == nil {
		_, err = x.conn.writer.WriteString("\r\n")
	}
	x.err = err
	return n, err
}

// finishResponse completes the response and flushes it.
func (x *exchange) finishResponse() error {
	if !x.headerWritten {
		x.header.Set("Content-Length", "0")
		x.WriteHeader(http.StatusOK)
	}
	if x.chunked && x.err == nil {
		_, x.err = x.conn.writer.WriteString("0\r\n\r\n")
	}
	return x.FlushError()
}

// FlushError is used by http.ResponseController.
func (x *exchange) FlushError() error {
	if x.err == nil {
		x.err = x.conn.writer.Flush()
	}
	return x.err
}

// EnableFullDuplex is used by http.ResponseController. Request bodies can always be read while the response is written.
func (x *exchange) EnableFullDuplex() error { return nil }

// SetReadDeadline sets the deadline for reading the request body. It has no effect after the end of the body.
func (x *exchange) SetReadDeadline(t time.Time) error {
	select {
	case <-x.bodyDone:
		return nil // The connection already reads the next request.
	default:
		return x.conn.netConn.SetReadDeadline(t)
	}
}

// SetWriteDeadline limits the time to write the response. The time until t starts to count when the preceding responses
// have been written.
func (x *exchange) SetWriteDeadline(t time.Time) error {
	x.writeTimeout = 0
	if !t.IsZero() {
		x.writeTimeout = max(time.Until(t), 1)
	}
	if x.headerWritten {
		x.applyWriteTimeout()
	}
	return x.err
}

func (x *exchange) applyWriteTimeout() {
	deadline := time.Time{}
	if x.writeTimeout > 0 {
		deadline = time.Now().Add(x.writeTimeout)
	}
	_ = x.conn.netConn.SetWriteDeadline(deadline)
}
