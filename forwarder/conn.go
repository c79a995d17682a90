package forwarder

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout = time.Second
	// userTimeout is how long sent data may stay unacknowledged before the kernel ends the connection.
	userTimeout = 5 * time.Second
	// maxAnswerHeader bounds the status line and headers of an answer in bytes.
	maxAnswerHeader = 32 << 10
	readBuffer      = 4 << 10
	writeBuffer     = 4 << 10
)

var (
	errAnswerHeader = errors.New("answer header is too large")
	errNoAnswer     = errors.New("server sent bytes that are no answer")
)

// serverConn is one connection to a backend server. It carries one exchange at a time.
type serverConn struct {
	net.Conn
	pool *pool
	r    *bufio.Reader
	w    *bufio.Writer
	// answered is when the last exchange ended well; the time of the dial for a new connection.
	answered time.Time
	reused   bool
	// idleFor is after how long the server closes the connection when it is idle; 0 when it has not said.
	idleFor time.Duration
	// progress bounds each read and write of a body, until all reads of it; zero for no bound.
	progress time.Duration
	until    time.Time
	// head is the number of bytes that the header of the answer may still take; negative while the body is read.
	head int
	// sent counts bytes given to the kernel in the current exchange.
	sent atomic.Int64
	// usable holds the result of the last check; check is kept here so that a check allocates nothing.
	usable bool
	raw    syscall.RawConn
	check  func(fd uintptr) bool
}

func newServerConn(c net.Conn, p *pool, now time.Time) *serverConn {
	s := &serverConn{Conn: c, pool: p, answered: now, head: maxAnswerHeader}
	s.r = bufio.NewReaderSize((*connReader)(s), readBuffer)
	s.w = bufio.NewWriterSize((*connWriter)(s), writeBuffer)
	if sc, ok := c.(syscall.Conn); ok {
		s.raw, _ = sc.SyscallConn()
	}
	s.check = s.peek
	return s
}

// control sets the TCP user timeout, which ends connections to hosts that vanished without a reset.
func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// idleMargin is how long before the server closes an idle connection it is not used any more.
const idleMargin = 1500 * time.Millisecond

// idle returns how long the connection may have been idle for a use that allows age.
func (c *serverConn) idle(age time.Duration) time.Duration {
	if c.idleFor == 0 {
		return age
	}
	return min(age, max(0, c.idleFor-idleMargin))
}

// quiet reports whether the connection is open and has no unread bytes. Bytes that arrive between exchanges
// belong to no request, and a closed connection would make a request look as if it might have run.
func (c *serverConn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	c.usable = false
	if err := c.raw.Read(c.check); err != nil {
		return false
	}
	return c.usable
}

func (c *serverConn) peek(fd uintptr) bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	c.usable = errors.Is(err, unix.EAGAIN) // Neither data nor the end of the stream.
	return true
}

// begin prepares the connection for an exchange.
func (c *serverConn) begin(progress time.Duration) {
	c.progress, c.until = progress, time.Time{}
	c.head = maxAnswerHeader
	c.sent.Store(0)
}

// awaitAnswer waits for the beginning of an answer, and fails as soon as the bytes show that they are none.
func (c *serverConn) awaitAnswer() error {
	const begin = "HTTP/"
	for n := 1; n <= len(begin); n++ {
		b, err := c.r.Peek(n)
		if err != nil {
			return err
		}
		if string(b) != begin[:n] {
			return errNoAnswer
		}
	}
	return nil
}

// readAnswer reads the header of the next answer, which may be a provisional one.
func (c *serverConn) readAnswer(req *http.Request) (*http.Response, error) {
	if err := c.awaitAnswer(); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.r, req)
}

// connReader reads from the connection with the limits of the current phase.
type connReader serverConn

func (r *connReader) Read(p []byte) (int, error) {
	if r.head < 0 {
		deadline := time.Now().Add(r.progress)
		if !r.until.IsZero() && r.until.Before(deadline) {
			deadline = r.until
		}
		_ = r.Conn.SetReadDeadline(deadline)
		return r.Conn.Read(p)
	}
	if r.head == 0 {
		return 0, errAnswerHeader
	}
	n, err := r.Conn.Read(p[:min(len(p), r.head)])
	r.head -= n
	return n, err
}

// connWriter writes to the connection; each write must make progress within the limit.
type connWriter serverConn

func (w *connWriter) Write(p []byte) (int, error) {
	_ = w.Conn.SetWriteDeadline(time.Now().Add(w.progress))
	n, err := w.Conn.Write(p)
	w.sent.Add(int64(n))
	return n, err
}
