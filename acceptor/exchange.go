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

// exchange is one request with its answer. It implements http.ResponseWriter and what http.ResponseController uses.
type exchange struct {
	n   *conn
	req *http.Request
	// former is the exchange whose answer goes before this one; nil for the first.
	former *exchange
	// done is closed when the answer is complete.
	done chan struct{}
	// body is closed when the request body has been read.
	body     chan struct{}
	bodyOnce sync.Once
	whole    bool

	header  http.Header
	wrote   bool
	chunked bool
	bodyoff bool
	// closes is set when the connection ends with this answer.
	closes bool
	failed error
	// writeTime bounds the writing of the answer from its turn on; 0 for no bound.
	writeTime time.Duration
}

func newExchange(n *conn, req *http.Request, former *exchange) *exchange {
	x := &exchange{n: n, former: former, done: make(chan struct{}), body: make(chan struct{}), header: make(http.Header)}
	if req.Body == http.NoBody || req.Body == nil {
		req.Body = http.NoBody
		x.whole = true
		x.finishBody()
	} else {
		req.Body = &body{ReadCloser: req.Body, x: x, confirm: expects(req)}
	}
	x.req = req
	x.closes = req.Close
	return x
}

func expects(req *http.Request) bool {
	return req.ProtoAtLeast(1, 1) && strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

// body tells the connection when the next request can be read.
type body struct {
	io.ReadCloser
	x       *exchange
	confirm bool
}

func (b *body) Read(p []byte) (int, error) {
	if b.confirm {
		b.confirm = false
		if !b.x.wrote {
			_, _ = io.WriteString(b.x.n.net, "HTTP/1.1 100 Continue\r\n\r\n") // No other answer is due: bodies are read alone.
		}
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.x.whole = err == io.EOF
		b.x.finishBody()
	}
	return n, err
}

// Close does not read on; the connection ends with the answer when a part of the body is left.
func (b *body) Close() error { return nil }

func (x *exchange) finishBody() { x.bodyOnce.Do(func() { close(x.body) }) }

// bodyRead waits until the body has been read and reports false when it will not be.
func (x *exchange) bodyRead() bool {
	select {
	case <-x.body:
	case <-x.done:
	}
	select {
	case <-x.body:
		if x.whole {
			return true
		}
	default:
	}
	x.n.stop()
	return false
}

// ended waits until the answer is complete and reports whether a further one may follow.
func (x *exchange) ended(ctx context.Context) bool {
	select {
	case <-x.done:
	case <-ctx.Done():
		return false
	}
	return !x.closes && x.failed == nil
}

func (x *exchange) run() {
	defer close(x.done)
	defer x.finishBody()
	if aborted := x.handle(); aborted || x.finish() != nil {
		x.abort()
		return
	}
	if x.closes {
		x.n.stop()
	}
}

// handle runs the handler and reports whether it gave the answer up.
func (x *exchange) handle() (aborted bool) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		aborted = true
		if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			x.n.s.cfg.Log.Error(errors.Errorf("%v", p), "handler failed by a panic", "stack", string(debug.Stack()))
		}
	}()
	ctx, cancel := context.WithCancel(x.n.ctx)
	defer cancel()
	x.n.s.cfg.Handler.ServeHTTP(x, x.req.WithContext(ctx))
	return false
}

// abort ends the connection after the answers before this one, so that an incomplete answer does not look complete.
func (x *exchange) abort() {
	x.failed = http.ErrAbortHandler
	_ = x.turn()
	x.n.end()
}

// turn waits until all answers before this one are complete.
func (x *exchange) turn() error {
	if x.former == nil {
		return x.failed
	}
	if !x.former.ended(x.n.ctx) {
		x.failed = http.ErrAbortHandler
	}
	x.former = nil
	return x.failed
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.wrote || x.turn() != nil {
		return
	}
	x.wrote = true
	x.bound()
	x.bodyoff = x.req.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	_, length := x.header["Content-Length"]
	x.chunked = !length && !x.bodyoff
	wanted := x.n.s.closing.Load() || strings.EqualFold(x.header.Get("Connection"), "close")
	if x.unread() || wanted && x.n.closeAfter(x) {
		x.closes = true
	}
	delete(x.header, "Connection")
	w := x.n.w
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = x.header.Write(w) // An error stays with w.
	if x.chunked {
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if x.closes {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, x.failed = w.WriteString("\r\n")
}

// unread reports whether a part of the request body has not been read.
func (x *exchange) unread() bool {
	select {
	case <-x.body:
		return !x.whole
	default:
		return true
	}
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	if !x.wrote {
		x.WriteHeader(http.StatusOK)
	}
	if x.failed != nil {
		return 0, x.failed
	}
	if x.bodyoff || len(p) == 0 {
		return len(p), nil
	}
	if x.chunked {
		_, _ = x.n.w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	}
	n, err := x.n.w.Write(p)
	if x.chunked && err == nil {
		_, err = x.n.w.WriteString("\r\n")
	}
	x.failed = err
	return n, err
}

// finish completes the answer.
func (x *exchange) finish() error {
	if !x.wrote {
		x.header.Set("Content-Length", "0")
		x.WriteHeader(http.StatusOK)
	}
	if x.chunked && x.failed == nil {
		_, x.failed = x.n.w.WriteString("0\r\n\r\n")
	}
	return x.FlushError()
}

// FlushError is used by http.ResponseController.
func (x *exchange) FlushError() error {
	if x.failed == nil {
		x.failed = x.n.w.Flush()
	}
	return x.failed
}

// EnableFullDuplex is used by http.ResponseController; a request body can always be read beside the answer.
func (x *exchange) EnableFullDuplex() error { return nil }

// SetReadDeadline bounds reads of the request body.
func (x *exchange) SetReadDeadline(t time.Time) error {
	select {
	case <-x.body:
		return nil // The connection reads the next request.
	default:
		return x.n.net.SetReadDeadline(t)
	}
}

// SetWriteDeadline bounds the writing of the answer. Time in which the answers before this one are written does not
// count.
func (x *exchange) SetWriteDeadline(t time.Time) error {
	x.writeTime = 0
	if !t.IsZero() {
		x.writeTime = max(time.Until(t), 1)
	}
	if x.wrote {
		x.bound()
	}
	return x.failed
}

func (x *exchange) bound() {
	deadline := time.Time{}
	if x.writeTime > 0 {
		deadline = time.Now().Add(x.writeTime)
	}
	_ = x.n.net.SetWriteDeadline(deadline)
}
