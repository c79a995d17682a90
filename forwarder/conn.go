package forwarder

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	defaultDialTimeout = time.Second
	// tcpUserTimeout is how long sent data may stay unacknowledged before the kernel closes the connection.
	tcpUserTimeout = 5 * time.Second
	// maxResponseHeaderBytes limits the status line and the header of a response.
	maxResponseHeaderBytes = 32 << 10
	readBufferBytes        = 4 << 10
	// maxRefusedIDs limits serverConn.refusedIDs; a connection with more is not reused.
	maxRefusedIDs    = 64
	writeBufferBytes = 4 << 10
)

var (
	errResponseHeaderTooLarge = errors.New("answer header is too large")
	errNotHTTP                = errors.New("server sent bytes that are no answer")
)

// serverConn is one connection to a backend server. It carries one exchange at a time.
type serverConn struct {
	net.Conn
	pool *connPool
	r    *bufio.Reader
	w    *bufio.Writer
	// idleSince is when the last exchange ended successfully, or when the connection was opened.
	idleSince time.Time
	reused    bool
	// probed is set when a probe was sent on the connection.
	probed bool
	// refusedIDs are the IDs of the requests that the server has refused on the connection. A faulty server may write a refusal
	// again, so that a request with one of these IDs must not be sent on it.
	refusedIDs []string
	// serverIdleTimeout is how long the server keeps an idle connection open; 0 when it has not said.
	serverIdleTimeout time.Duration
	// progressTimeout limits each read and write of a body. bodyDeadline limits all reads of a response body; nil for no
	// limit. It is atomic because it is changed while a prefixBuffer reads the body, and a time.Time because its monotonic
	// clock reading keeps it right when the wall clock jumps.
	progressTimeout time.Duration
	bodyDeadline    atomic.Pointer[time.Time]
	// headerRemaining is how many more bytes the response header may have; negative while the body is read.
	headerRemaining int
	// bytesSent counts the bytes passed to the kernel in the current exchange, and all of those that are being passed.
	bytesSent atomic.Int64
	// peekOK is the result of the last peek. peekFunc is stored so that peeking allocates nothing.
	peekOK   bool
	rawConn  syscall.RawConn
	peekFunc func(fd uintptr) bool
}

func newServerConn(c net.Conn, p *connPool, now time.Time) *serverConn {
	s := &serverConn{Conn: c, pool: p, idleSince: now, headerRemaining: maxResponseHeaderBytes}
	s.r = bufio.NewReaderSize((*connReader)(s), readBufferBytes)
	s.w = bufio.NewWriterSize((*connWriter)(s), writeBufferBytes)
	if sc, ok := c.(syscall.Conn); ok {
		s.rawConn, _ = sc.SyscallConn()
	}
	s.peekFunc = s.peek
	return s
}

// setTCPUserTimeout sets the TCP user timeout, which closes connections to hosts that disappeared without a reset.
func setTCPUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// serverIdleMargin is how long before the server would close an idle connection it is no longer reused.
const serverIdleMargin = 1500 * time.Millisecond

// maxIdleFor returns how long the connection may have been idle when it is reused: at most maxAge, and well below the
// idle timeout of the server if that is known.
func (c *serverConn) maxIdleFor(maxAge time.Duration) time.Duration {
	if c.serverIdleTimeout == 0 {
		return maxAge
	}
	return min(maxAge, max(0, c.serverIdleTimeout-serverIdleMargin))
}

// isReusable reports whether the connection is open and has no unread bytes. Bytes that arrive between exchanges belong
// to no request. On a closed connection, a request would fail with the outcome that it may have run.
func (c *serverConn) isReusable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if c.rawConn == nil {
		return true
	}
	c.peekOK = false
	if err := c.rawConn.Read(c.peekFunc); err != nil {
		return false
	}
	return c.peekOK
}

func (c *serverConn) peek(fd uintptr) bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	c.peekOK = errors.Is(err, unix.EAGAIN) // There is neither data nor the end of the stream.
	return true
}

// beginExchange resets the limits of the connection for a new exchange.
func (c *serverConn) beginExchange(progressTimeout time.Duration) {
	c.progressTimeout = progressTimeout
	c.bodyDeadline.Store(nil)
	c.headerRemaining = maxResponseHeaderBytes
	c.bytesSent.Store(0)
}

// setBodyDeadline limits all reads of a response body; the zero time means no limit.
func (c *serverConn) setBodyDeadline(t time.Time) {
	if t.IsZero() {
		c.bodyDeadline.Store(nil)
		return
	}
	c.bodyDeadline.Store(&t)
}

// awaitStatusLine waits for the start of a response and fails as soon as the bytes cannot be one.
func (c *serverConn) awaitStatusLine() error {
	const prefix = "HTTP/"
	for n := 1; n <= len(prefix); n++ {
		b, err := c.r.Peek(n)
		if err != nil {
			return err
		}
		if string(b) != prefix[:n] {
			return errNotHTTP
		}
	}
	return nil
}

// readResponse reads the header of the next response, which may be informational (1xx).
func (c *serverConn) readResponse(req *http.Request) (*http.Response, error) {
	if err := c.awaitStatusLine(); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.r, req)
	if err == nil && !isStatus(resp.StatusCode) {
		return nil, &statusCodeError{resp.StatusCode}
	}
	return resp, err
}

// isStatus reports whether the number is an HTTP status code. What follows a number that is none cannot be delimited either.
func isStatus(code int) bool { return code >= 100 && code <= 599 }

// statusCodeError means that the status line of a response contains a number that is no status code.
type statusCodeError struct{ code int }

func (e *statusCodeError) Error() string { return fmt.Sprintf("answer has the status %03d", e.code) }

// connReader reads from the connection with the limits for the header or for the body.
type connReader serverConn

func (r *connReader) Read(p []byte) (int, error) {
	if r.headerRemaining < 0 {
		deadline := time.Now().Add(r.progressTimeout)
		if t := r.bodyDeadline.Load(); t != nil && t.Before(deadline) {
			deadline = *t
		}
		_ = r.Conn.SetReadDeadline(deadline)
		return r.Conn.Read(p)
	}
	if r.headerRemaining == 0 {
		return 0, errResponseHeaderTooLarge
	}
	n, err := r.Conn.Read(p[:min(len(p), r.headerRemaining)])
	r.headerRemaining -= n
	return n, err
}

// connWriter writes to the connection with the progress timeout for each write.
type connWriter serverConn

func (w *connWriter) Write(p []byte) (int, error) {
	_ = w.Conn.SetWriteDeadline(time.Now().Add(w.progressTimeout))
	// They count from before they are written: the server may have some of them, and respond, while the call still waits.
	w.bytesSent.Add(int64(len(p)))
	n, err := w.Conn.Write(p)
	w.bytesSent.Add(int64(n - len(p)))
	return n, err
}
